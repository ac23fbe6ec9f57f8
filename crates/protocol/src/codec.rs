//! The one codec of the processes' own messages and records: MessagePack by `rmp-serde`.

use serde::{Serialize, de::DeserializeOwned};

/// Why bytes could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value has no form in MessagePack.
    #[error("cannot encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not the message that was expected.
    #[error("cannot decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message with named fields, so that a later version may add some.
///
/// # Errors
///
/// Fails when the value has no form in MessagePack.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails when the bytes are cut short or of another shape.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
