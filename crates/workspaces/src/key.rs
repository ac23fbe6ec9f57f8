//! Keys: what a caller shows, and what is kept of it.

use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest, Sha256};
use std::fmt;

/// The longest key that is looked at, in bytes; the platform's have 20.
const MAX_KEY_BYTES: usize = 512;

/// A key in the clear, as a caller shows it. Neither its `Debug` form nor anything else tells it.
#[derive(Clone, Debug)]
pub struct Key(SecretString);

/// What is kept of a key: its SHA-256 digest, by which it is compared.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

/// What a call shows to be let in.
#[derive(Clone, Debug)]
pub enum Authorization {
    /// Nothing.
    Missing,
    /// Something that is no key.
    Malformed,
    /// A key.
    Key(Key),
}

impl Key {
    /// A key, unless the text is empty, very long, or has blanks or signs that no key has.
    pub fn new(text: &str) -> Option<Self> {
        let valid_length = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        (valid_length && text.bytes().all(|b| b.is_ascii_graphic()))
            .then(|| Key(text.to_owned().into()))
    }

    /// What is kept of it.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.expose_secret()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Reads what a call shows to be let in, from the values of its header: one, of the scheme and a key.
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

/// Reads one value. The name of a scheme is the same in capitals.
fn read_value(scheme: &str, text: &str) -> Authorization {
    let Some((name, rest)) = text.trim().split_once(' ') else {
        return Authorization::Malformed;
    };
    match Key::new(rest.trim_start()) {
        Some(key) if name.eq_ignore_ascii_case(scheme) => Authorization::Key(key),
        _ => Authorization::Malformed,
    }
}
