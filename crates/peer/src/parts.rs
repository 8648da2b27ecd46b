//! How parts of prompts are named between processes.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The name of a part that a replica keeps: 64 bits over its model, salt and id (FNV-1a, then mixed). It is the same in
/// every process and version. Two parts share a name once in about 2^32 kept parts; then a request is sent to a replica
/// that reads the part anew, and nothing worse happens.
pub fn part_key(model: &str, salt: &str, part: &str) -> u64 {
    let mut hash = OFFSET;
    for text in [model, salt, part] {
        for byte in text.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
        // What no text holds: so that "ab", "c" differs from "a", "bc".
        hash = (hash ^ 0xff).wrapping_mul(PRIME);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// The name of a replica in messages on load: 32 bits over its id. Two of 600 replicas share a name once in about
/// 24,000 fleets; then each counts with the other's load, and nothing worse happens.
pub fn replica_key(id: &str) -> u32 {
    part_key("", "", id) as u32
}
