//! Records of operators, compressed for the way between entries.
//!
//! A configuration is mostly repeated text. It is compressed once, by the entry that has read it, and passed on as it
//! was received.

use adapter::store::{KeyedRecord, decode_keyed};
use bytes::Bytes;
use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};
use serde::{Deserialize, Serialize};
use std::{
    cell::OnceCell,
    fmt,
    io::{self, Read},
    rc::Rc,
};

/// Maximum size of a decompressed record, which bounds the memory that a damaged response can take.
const MAX_RECORD_BYTES: u64 = 64 << 20;

/// Record in the form in which entries send it. Its `Debug` form hides the content, since that includes keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedRecord(#[serde(with = "serde_bytes")] Vec<u8>);

impl fmt::Debug for CompressedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CompressedRecord({} bytes)", self.0.len())
    }
}

impl CompressedRecord {
    /// Compresses a record.
    fn compress(plain: &[u8]) -> Self {
        let mut compressed = Vec::new();
        DeflateEncoder::new(plain, Compression::fast())
            .read_to_end(&mut compressed)
            .expect("memory can be read and written");
        CompressedRecord(compressed)
    }

    /// Decompresses a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a compressed record, or if the record is too large.
    fn decompress(&self) -> io::Result<Bytes> {
        let mut plain = Vec::new();
        let decoder = DeflateDecoder::new(self.0.as_slice());
        decoder.take(MAX_RECORD_BYTES).read_to_end(&mut plain)?;
        if plain.len() as u64 == MAX_RECORD_BYTES {
            return Err(io::Error::other("the record is too large"));
        }
        Ok(plain.into())
    }
}

/// Record that an entry has applied and passes on. Clones share both forms of it.
#[derive(Clone, Debug)]
pub struct Record {
    plain: Bytes,
    compressed: Rc<OnceCell<CompressedRecord>>,
}

impl Record {
    /// Returns a record as the store holds it.
    pub fn new(plain: Bytes) -> Self {
        Record {
            plain,
            compressed: Rc::default(),
        }
    }

    /// Returns a record that another entry has sent.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be decompressed.
    pub fn receive(compressed: CompressedRecord) -> io::Result<Self> {
        Ok(Record {
            plain: compressed.decompress()?,
            compressed: Rc::new(compressed.into()),
        })
    }

    /// Returns the record as the store holds it.
    pub fn plain(&self) -> &Bytes {
        &self.plain
    }

    /// Returns the key and the value of the record, or `None` if it has no valid key.
    pub fn decode(&self) -> Option<KeyedRecord> {
        decode_keyed(self.plain.clone())
    }

    /// Returns the record in the form in which entries send it.
    pub fn compressed(&self) -> CompressedRecord {
        let compressed = self
            .compressed
            .get_or_init(|| CompressedRecord::compress(&self.plain));
        compressed.clone()
    }
}
