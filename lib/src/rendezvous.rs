//! Weighted rendezvous hashing: every host ranks the same candidates in the same order.

use xxhash_rust::xxh3::Xxh3;

/// Separates the hashed parts so that ("ab", "c") and ("a", "bc") differ.
const PART_SEPARATOR: u8 = 0;

/// Hashes `parts` in order; the same on every host.
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[PART_SEPARATOR]);
    }
    hasher.digest()
}

/// Score of a candidate for a key; the candidate with the highest score comes first.
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
    let mut ranked: Vec<(u64, &T)> = candidates
        .into_iter()
        .map(|it| (hash_parts(&[key, it.as_ref()]), it))
        .collect();
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
