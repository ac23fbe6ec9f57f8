//! Collects bodies without what the library keeps for each of their pieces.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Capacity of the first block of a body, in bytes. Most bodies fit.
const FIRST_BLOCK: usize = 1 << 10;

/// Capacity of the other blocks, in bytes. Blocks of one size are reused for other bodies, while buffers that grow leave
/// gaps of all sizes.
const BLOCK: usize = 16 << 10;

/// Reason why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than allowed.
    TooLarge,
    /// The connection broke, or the body is malformed.
    Broken,
}

/// A body as far as it has arrived, copied into blocks. A piece that the library hands out keeps the buffer that it was
/// read into, which may be thousands of times as large.
#[derive(Debug, Default)]
pub(crate) struct Received {
    blocks: Vec<Vec<u8>>,
    bytes: usize,
}

impl Received {
    /// Returns the number of bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of bytes that the blocks take once `more` bytes have been added.
    pub(crate) fn capacity_with(&self, more: usize) -> usize {
        let capacity = self.capacity();
        let missing = (self.bytes + more).saturating_sub(capacity);
        let first = if capacity == 0 { FIRST_BLOCK } else { 0 };
        match missing {
            0 => capacity,
            _ => capacity + first + missing.saturating_sub(first).next_multiple_of(BLOCK),
        }
    }

    /// Returns the number of bytes that the blocks take.
    fn capacity(&self) -> usize {
        match self.blocks.len() {
            0 => 0,
            blocks => FIRST_BLOCK + (blocks - 1) * BLOCK,
        }
    }

    /// Adds a piece.
    pub(crate) fn push(&mut self, mut piece: &[u8]) {
        self.bytes += piece.len();
        while !piece.is_empty() {
            let size = if self.blocks.is_empty() {
                FIRST_BLOCK
            } else {
                BLOCK
            };
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < block.capacity() => block,
                _ => self.blocks.push_mut(Vec::with_capacity(size)),
            };
            let (now, later) = piece.split_at(piece.len().min(block.capacity() - block.len()));
            block.extend_from_slice(now);
            piece = later;
        }
    }

    /// Returns the whole body.
    pub(crate) fn finish(mut self) -> Bytes {
        match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default().into(),
            _ => self.blocks.concat().into(),
        }
    }
}

/// Returns the next piece of a body, which is empty for a trailer, or `None` at its end.
///
/// # Errors
///
/// Fails if the connection breaks or the body is malformed.
pub(crate) async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    match body.frame().await {
        None => Ok(None),
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(_)) => Err(BodyError::Broken),
    }
}

/// Collects a body of at most `max` bytes.
///
/// # Errors
///
/// Fails if the body is larger, the connection breaks or the body is malformed.
pub async fn collect(body: &mut Incoming, max: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut received = Received::default();
    while let Some(piece) = next_piece(body).await? {
        if received.bytes() + piece.len() > max {
            return Err(BodyError::TooLarge);
        }
        received.push(&piece);
    }
    Ok(received.finish())
}
