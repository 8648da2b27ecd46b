//! Errors, each with its remedy.

use quick_error::quick_error;

quick_error! {
    /// Why bytes are not a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// Fewer bytes than the header says.
        Truncated { expected: usize, found: usize } {
            display("register message: {} bytes of {}; wait for the rest, then decode", found, expected)
        }
        /// A header of another protocol version.
        Version { found: u8 } {
            display("register message: version {} is unknown; run the same release on all core machines", found)
        }
        /// A body over the limit.
        TooLong { length: usize, limit: usize } {
            display("register message: {} bytes are over {}; close the connection to this peer", length, limit)
        }
        /// A body that does not parse.
        Malformed { cause: String } {
            display("register message: {}; close the connection to this peer", cause)
        }
    }
}

quick_error! {
    /// Why stored entries are not the state of an acceptor.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// An entry that does not parse.
        Entry { slot: u16, cause: String } {
            display("stored entry {}: {}; wipe the data directory, the machine then joins as a new acceptor",
                slot, cause)
        }
        /// An entry of no known kind.
        UnknownSlot { slot: u16 } {
            display("stored entry {} is of no known kind; start the release that wrote it, or wipe the data \
                directory", slot)
        }
        /// An entry that must be there.
        Missing { slot: u16 } {
            display("stored entry {} is missing; wipe the data directory, the machine then joins as a new \
                acceptor", slot)
        }
    }
}
