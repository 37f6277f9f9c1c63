use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a candidate for a key in rendezvous hashing: the candidate with the highest score is
/// chosen.
///
/// All nodes must compute the same scores, so that a change of this function moves keys between
/// nodes of different versions.
pub fn rendezvous_score(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}
