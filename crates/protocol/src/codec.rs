//! The codec of all messages and records that the project's processes exchange: MessagePack by `rmp-serde`.

use serde::{Serialize, de::DeserializeOwned};

/// Why bytes could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be represented in MessagePack.
    #[error("cannot encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[error("cannot decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message with named fields, so that later versions can add fields.
///
/// # Errors
///
/// Fails if the value cannot be represented in MessagePack.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are truncated or hold a message of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
