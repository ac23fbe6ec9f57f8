//! Comparison of keys in constant time.

use subtle::ConstantTimeEq;

/// Tells whether `candidate` is `key`; how long it takes says nothing about where they differ.
pub fn is_key(candidate: &str, key: &str) -> bool {
    candidate.as_bytes().ct_eq(key.as_bytes()).into()
}
