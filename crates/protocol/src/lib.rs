//! The messages that havenladder's processes exchange, and their codec.
//!
//! This package doesn't depend on sockets, clocks or the platform's wire format.

mod codec;
mod ids;
mod log;
mod peer;
mod rendezvous;

pub use codec::{CodecError, decode, encode};
pub use ids::{EntryId, HallId, Offset, PoolId, RackId, RecordId, ServiceId, VmId};
pub use log::{LogRecord, LogSlice};
pub use peer::{
    BurnCounts, BurnReply, BurnWindows, Capacity, HEADER_FORWARDED, HEADER_KEY, Loss, PeerStatus,
    SnapshotReply,
};
pub use rendezvous::{first_in_hall, rank, ranked};
