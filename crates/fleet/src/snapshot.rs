//! Snapshots of the agreed state: split into chunks, verified by hash and reassembled.

use crate::state::Fleet;
use protocol::{CodecError, Offset, RecordId, decode, encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The maximum number of bytes of a snapshot in one record.
const CHUNK_BYTES: usize = 256 << 10;

/// One record of the stream `snapshots`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The id of the snapshot to which the chunk belongs.
    pub id: RecordId,
    /// The offset in `fleet` at which a reader continues after loading the snapshot.
    pub next: Offset,
    /// The position of the chunk in the snapshot, from 0.
    pub index: u32,
    /// The number of chunks in the snapshot.
    pub count: u32,
    /// The SHA-256 digest of the whole snapshot.
    #[serde(with = "serde_bytes")]
    pub hash: Vec<u8>,
    /// The bytes of this chunk.
    #[serde(with = "serde_bytes")]
    pub part: Vec<u8>,
}

/// The reason why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes do not match the hash.
    #[error("the snapshot's hash does not match")]
    Hash,
    /// The bytes cannot be decoded or the state cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Encodes the state, preceded by its hash.
///
/// # Errors
///
/// Fails if the codec cannot represent the state.
pub fn encode_snapshot(fleet: &Fleet) -> Result<Vec<u8>, SnapshotError> {
    let state = encode(fleet)?;
    let mut bytes = Sha256::digest(&state).to_vec();
    bytes.extend_from_slice(&state);
    Ok(bytes)
}

/// Verifies and decodes a state.
///
/// # Errors
///
/// Fails if the hash does not match or the bytes cannot be decoded.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Fleet, SnapshotError> {
    let Some((hash, state)) = bytes.split_at_checked(Sha256::output_size()) else {
        return Err(SnapshotError::Hash);
    };
    if Sha256::digest(state).as_slice() != hash {
        return Err(SnapshotError::Hash);
    }
    Ok(decode(state)?)
}

/// Splits an encoded snapshot into records. `next` is the offset at which the log continues after the
/// snapshot.
pub fn chunks(id: RecordId, next: Offset, bytes: &[u8]) -> Vec<Chunk> {
    let parts: Vec<&[u8]> = bytes.chunks(CHUNK_BYTES).collect();
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let hash = Sha256::digest(bytes).to_vec();
    (0..count)
        .zip(parts)
        .map(|(index, part)| Chunk {
            id,
            next,
            index,
            count,
            hash: hash.clone(),
            part: part.to_vec(),
        })
        .collect()
}

/// Returns the state of the newest snapshot in `chunks` that is complete and can be decoded.
pub fn assemble(chunks: &[Chunk]) -> Option<Fleet> {
    let mut by_id: BTreeMap<(Offset, RecordId), BTreeMap<u32, &Chunk>> = BTreeMap::new();
    for chunk in chunks {
        let parts = by_id.entry((chunk.next, chunk.id)).or_default();
        parts.insert(chunk.index, chunk);
    }
    by_id.values().rev().find_map(assemble_parts)
}

fn assemble_parts(parts: &BTreeMap<u32, &Chunk>) -> Option<Fleet> {
    let count = parts.values().next()?.count as usize;
    if parts.len() != count {
        return None;
    }
    let bytes: Vec<u8> = parts
        .values()
        .flat_map(|chunk| chunk.part.iter().copied())
        .collect();
    decode_snapshot(&bytes).ok()
}
