//! Snapshots of the fold: cut into chunks, checked by hash, put together again.

use crate::state::Fleet;
use protocol::{CodecError, Offset, RecordId, decode, encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Bytes of a snapshot that one record carries at the most.
const CHUNK_BYTES: usize = 256 << 10;

/// One record of the stream `snapshots`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The snapshot that the chunk is part of.
    pub id: RecordId,
    /// The offset of `fleet` from which a reader of the snapshot goes on.
    pub next: Offset,
    /// The chunk's place, from 0.
    pub index: u32,
    /// How many chunks there are.
    pub count: u32,
    /// SHA-256 of the whole snapshot.
    #[serde(with = "serde_bytes")]
    pub hash: Vec<u8>,
    /// This part of it.
    #[serde(with = "serde_bytes")]
    pub part: Vec<u8>,
}

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not what was written.
    #[error("the snapshot's hash does not match")]
    Hash,
    /// The bytes are no state.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Encodes the state with its hash in front.
///
/// # Errors
///
/// Fails when the state has no form in the codec.
pub fn encode_snapshot(fleet: &Fleet) -> Result<Vec<u8>, SnapshotError> {
    let state = encode(fleet)?;
    let mut bytes = Sha256::digest(&state).to_vec();
    bytes.extend_from_slice(&state);
    Ok(bytes)
}

/// Decodes and checks a state.
///
/// # Errors
///
/// Fails when the hash or the form is wrong.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Fleet, SnapshotError> {
    let Some((hash, state)) = bytes.split_at_checked(Sha256::output_size()) else {
        return Err(SnapshotError::Hash);
    };
    if Sha256::digest(state).as_slice() != hash {
        return Err(SnapshotError::Hash);
    }
    Ok(decode(state)?)
}

/// Cuts an encoded snapshot of a state that goes on at `next` into records.
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

/// Puts together the newest snapshot that is whole among `chunks` and can be decoded.
pub fn assemble(chunks: &[Chunk]) -> Option<Fleet> {
    let mut by_id: BTreeMap<(Offset, RecordId), BTreeMap<u32, &Chunk>> = BTreeMap::new();
    for chunk in chunks {
        let parts = by_id.entry((chunk.next, chunk.id)).or_default();
        parts.insert(chunk.index, chunk);
    }
    by_id.values().rev().find_map(whole)
}

fn whole(parts: &BTreeMap<u32, &Chunk>) -> Option<Fleet> {
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
