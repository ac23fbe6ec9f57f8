//! Assigns sources to entries, and sends updates to followers.

use super::{
    node::Node,
    replication::{MAX_HOLD, Missing, Request, Response, Update},
};
use crate::record::Record;
use clock::{Instant, timer};
use fleet::{Admission, FollowerInfo, Source};
use std::time::Duration;

/// Assigns a source to an entry. Only the owner does so.
pub fn assign(node: &Node, follower: FollowerInfo) -> Source {
    let mut readers = node.replication.readers.borrow_mut();
    readers.assign(follower, rand::random::<u32>() as usize, Instant::now())
}

/// Responds to a follower once there is an update for it or the maximum hold time is over, or
/// redirects it to another entry.
pub async fn respond(node: &Node, request: Request) -> Response {
    let began = Instant::now();
    let admission = {
        let mut followers = node.replication.followers.borrow_mut();
        followers.admit(
            request.follower.clone(),
            rand::random::<u32>() as usize,
            began,
        )
    };
    if let Admission::Redirected(other) = admission {
        return Response::Redirect(other);
    }
    loop {
        let update = node.replication.updated.notified();
        if is_behind(node, &request) {
            break;
        }
        if timer::timeout_at(began + MAX_HOLD, update).await.is_err() {
            break;
        }
    }
    response(node, &request, began.elapsed())
}

/// Returns whether this entry knows something that the follower does not.
fn is_behind(node: &Node, request: &Request) -> bool {
    let Some(end) = node.replication.recent.borrow().end() else {
        // This entry may just have started, and will soon know more.
        return false;
    };
    request.from.is_none_or(|from| end > from) || node.lease_end.get() > request.end
}

/// Returns the response to a follower whose request was held back for `held`.
fn response(node: &Node, request: &Request, held: Duration) -> Response {
    let now = Instant::now();
    let recent = node.replication.recent.borrow();
    let (Some(missing), Some(age)) = (recent.missing_since(request.from), recent.age(now)) else {
        return Response::Nothing;
    };
    let (records, newest) = match missing {
        Missing::Records(records) => (records, None),
        Missing::Newest(records) => (records, recent.end()),
    };
    let lease = node.lease.borrow().clone();
    let lease = lease.map(|lease| (lease, node.lease_end.get()));
    Response::Update(Update {
        records: records.iter().map(Record::compressed).collect(),
        newest,
        lease: lease.filter(|(_, end)| *end > request.end),
        held,
        age,
        contact_age: node.reach.get().outside_silence(now),
    })
}
