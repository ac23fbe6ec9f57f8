//! What the processes of havenladder say to each other, and the codec they say it in.
//!
//! Nothing in here knows a socket, a clock or the platform's wire form.

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
