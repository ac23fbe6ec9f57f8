//! Comparison of keys in constant time.

use subtle::ConstantTimeEq;

/// Tells whether `given` is `key`; how long it takes says nothing about where they differ.
pub fn is_key(given: &str, key: &str) -> bool {
    given.as_bytes().ct_eq(key.as_bytes()).into()
}
