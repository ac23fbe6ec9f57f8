//! Keys that callers present, and the digests of keys that are stored.

use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest, Sha256};
use std::fmt;

/// The maximum length of an accepted key. The platform's keys have 20 bytes.
const MAX_KEY_BYTES: usize = 512;

/// A key in plain text, as presented by a caller. Its `Debug` output does not reveal it.
#[derive(Clone, Debug)]
pub struct Key(SecretString);

/// The SHA-256 digest of a key, which is what is stored and compared.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

/// The authorization that a call presents.
#[derive(Clone, Debug)]
pub enum Authorization {
    /// The call presents none.
    Missing,
    /// The call presents something that is not a valid key.
    Malformed,
    /// The call presents a key.
    Key(Key),
}

impl Key {
    /// Creates a key. Returns `None` if the text is empty, too long, or contains anything but printable ASCII
    /// characters without spaces.
    pub fn new(text: &str) -> Option<Self> {
        let valid_length = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        (valid_length && text.bytes().all(|b| b.is_ascii_graphic()))
            .then(|| Key(text.to_owned().into()))
    }

    /// Returns the digest of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.expose_secret()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Reads the authorization from the values of its header. There must be exactly one value, made of the
/// scheme and a key.
pub fn read_authorization<'v>(
    scheme: &str,
    values: impl IntoIterator<Item = Option<&'v str>>,
) -> Authorization {
    let mut values = values.into_iter();
    let (first, more) = (values.next(), values.next());
    match (first, more) {
        (None, _) => Authorization::Missing,
        (Some(Some(text)), None) => read_value(scheme, text),
        _ => Authorization::Malformed,
    }
}

/// Reads one value. The name of the scheme is case-insensitive.
fn read_value(scheme: &str, text: &str) -> Authorization {
    let Some((name, rest)) = text.trim().split_once(' ') else {
        return Authorization::Malformed;
    };
    match Key::new(rest.trim_start()) {
        Some(key) if name.eq_ignore_ascii_case(scheme) => Authorization::Key(key),
        _ => Authorization::Malformed,
    }
}
