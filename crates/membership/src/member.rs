//! A controller as the others know it, and which of two statements about it holds.

use std::net::SocketAddrV4;

/// Where a controller is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of its machine.
    pub node: String,
    /// Where it listens for other controllers and for agents; tells members apart.
    pub peer: SocketAddrV4,
    /// Where it serves the control API.
    pub control: SocketAddrV4,
    pub zone: String,
}

/// What is said about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Alive,
    /// It did not answer `by`, neither directly nor through third parties.
    Suspect {
        by: SocketAddrV4,
    },
    /// It was suspected for so long that it is taken for dead.
    Down,
    /// It said that it ends.
    Left,
}

impl Status {
    /// Which statement holds of two about the same incarnation: the greater.
    fn rank(self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect { .. } => 1,
            Status::Down => 2,
            Status::Left => 3,
        }
    }
}

/// A statement about a member, passed on from one to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    pub member: Member,
    /// Goes up with each start of the member and with each suspicion that it refutes.
    pub incarnation: u64,
    pub status: Status,
}

impl Update {
    /// Whether this statement replaces `known`, which is about the same member.
    pub fn replaces(&self, known: &Update) -> bool {
        (self.incarnation, self.status.rank()) > (known.incarnation, known.status.rank())
    }
}
