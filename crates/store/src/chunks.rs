//! Entries in pieces: the first piece begins with the length and the checksum of the whole.

/// The longest piece with its head. Pieces of one page and more are kept in runs of pages of powers of two, so
/// this leaves little unused.
const PIECE_BYTES: usize = 60 << 10;

/// Length and checksum before the first piece.
const HEAD_BYTES: usize = 8;

/// The pieces of an entry, in order.
pub(crate) fn split(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut whole = Vec::with_capacity(HEAD_BYTES + bytes.len());
    whole.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    whole.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    whole.extend_from_slice(bytes);
    whole.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect()
}

/// The entry that `whole`, its pieces one after the other, stands for.
pub(crate) fn join(whole: &[u8]) -> Result<&[u8], String> {
    let (head, bytes) = whole.split_at_checked(HEAD_BYTES).ok_or("its head is cut off")?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if bytes.len() != word(0) as usize {
        return Err(format!("{} bytes where its head says {}", bytes.len(), word(0)));
    }
    if crc32fast::hash(bytes) != word(4) {
        return Err("its checksum is wrong".to_owned());
    }
    Ok(bytes)
}
