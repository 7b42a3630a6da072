//! Weighted rendezvous hashing: every host ranks the same candidates in the same order.

use xxhash_rust::xxh3::Xxh3;

/// Separates the hashed parts so that ("ab", "c") and ("a", "bc") differ.
const PART_SEPARATOR: u8 = 0;

/// Hashes `parts` in order; every host gets the same result.
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[PART_SEPARATOR]);
    }
    hasher.digest()
}

/// Returns the score of a candidate for a key; the candidate with the highest score comes first.
///
/// A candidate with twice the weight comes first for twice as many keys. A weight that is not
/// positive gives the lowest score.
pub fn score(key: &str, candidate: &str, weight: f64) -> f64 {
    if weight <= 0.0 {
        return f64::NEG_INFINITY;
    }
    // The hash becomes a number in (0, 1); its upper 53 bits fill the mantissa of an f64.
    let hash = hash_parts(&[key, candidate]);
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the candidates in rendezvous order for `key`, all with the same weight.
pub fn rank<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> =
        candidates.into_iter().map(|it| (hash_parts(&[key, it.as_ref()]), it)).collect();
    // The name breaks ties so that the order is total.
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, it)| it).collect()
}

/// Returns the first candidate in rendezvous order for `key`.
pub fn first<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates
        .into_iter()
        .map(|it| (hash_parts(&[key, it.as_ref()]), it))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.as_ref().cmp(a.1.as_ref())))
        .map(|(_, it)| it)
}

/// Combines two hashes into one that depends on both and on their order.
pub fn combine_hashes(first: u64, second: u64) -> u64 {
    // Finalizer of MurmurHash3 over an asymmetric combination of the inputs.
    let mut mixed = first ^ second.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Maps a hash to a number in (0, 1).
pub fn unit_fraction(hash: u64) -> f64 {
    // The upper 53 bits fill the mantissa of an f64.
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Returns a weighted score like [`score`], from precomputed hashes; the two rank differently.
///
/// A caller hashes each name once instead of once per key.
pub fn score_from_hashes(key_hash: u64, candidate_hash: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return f64::NEG_INFINITY;
    }
    -weight / unit_fraction(combine_hashes(key_hash, candidate_hash)).ln()
}
