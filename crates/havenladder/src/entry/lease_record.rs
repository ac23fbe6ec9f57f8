//! Records of the lease, as they are appended to the log: of this entry, or for an owner that the store turns away.

use super::{
    node::{Lease, Node},
    store_calls::{self, AppendKind},
};
use adapter::store::{Appended, Condition, Offset, frame_plain};
use tracing::info;

/// The topic with the lease's records.
pub const TOPIC: &str = "owner";

/// Appends a record, on the condition that the log ends at `at`; none if the store did not answer.
pub async fn append(node: &Node, end: Offset, lease: &Lease) -> Option<Appended> {
    let bytes = rmp_serde::to_vec(lease).expect("plain data has a form in MessagePack");
    let body = frame_plain([bytes.as_slice()]);
    let call = store_calls::append(node, AppendKind::Lease, TOPIC, Condition::At(end), body);
    call.await.ok()
}

/// Appends the record with which an owner gives the cell up that the store turns away. The record and the end of the log
/// behind it; none if it is not the owner's turn to give anything up, or it is not known what came of it.
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
        "gives the cell up for its owner"
    );
    match append(node, offset, &released).await {
        Some(Appended::Done(end)) => Some((released, end)),
        Some(_) | None => None,
    }
}
