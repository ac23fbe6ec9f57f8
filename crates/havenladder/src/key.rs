//! Comparison of keys in constant time.

use subtle::ConstantTimeEq;

/// Returns whether `candidate` equals `key`. The time it takes does not reveal where they differ.
pub fn is_key(candidate: &str, key: &str) -> bool {
    candidate.as_bytes().ct_eq(key.as_bytes()).into()
}
