//! Appends records of the lease to its log, for this entry or for an owner that is isolated from
//! the store.

use super::{
    node::{Lease, Node},
    store_calls::{self, AppendKind},
};
use adapter::store::{AppendResponse, Condition, Offset, frame_plain};
use tracing::info;

/// Topic of the lease's records.
pub const TOPIC: &str = "owner";

/// Appends a record on the condition that the log ends at `end`. Returns `None` if the store did
/// not answer.
pub async fn append(node: &Node, end: Offset, lease: &Lease) -> Option<AppendResponse> {
    let bytes = rmp_serde::to_vec(lease).expect("plain data can be encoded as MessagePack");
    let body = frame_plain([bytes.as_slice()]);
    let call = store_calls::append(node, AppendKind::Lease, TOPIC, Condition::At(end), body);
    call.await.ok()
}

/// Appends the record by which an owner that is isolated from the store releases the cell. Returns
/// the record and the new end of the log, or `None` if that owner does not hold the lease or the
/// outcome of the append is not known.
pub async fn append_release(node: &Node, released: Lease) -> Option<(Lease, Offset)> {
    let offset = node.lease_end.get();
    let lease = node.lease.borrow().clone();
    let owns =
        lease.is_some_and(|lease| lease.incarnation == released.incarnation && !lease.released);
    if !owns || !released.released {
        return None;
    }
    info!(
        owner = released.node,
        place = offset,
        "releases the cell on behalf of its owner"
    );
    match append(node, offset, &released).await {
        Some(AppendResponse::Done(end)) => Some((released, end)),
        Some(_) | None => None,
    }
}
