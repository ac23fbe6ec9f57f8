//! Replicates from another entry, and finds a source if there is none.

use super::{
    lease::set_lease,
    node::Node,
    operator_topic,
    peer::{self, PeerRequest, PeerResponse},
    replication::{MAX_HOLD, Request, Response, Update},
    transfer_meter::TransferMeter,
};
use crate::record::Record;
use adapter::{store::Offset, traffic::Party};
use clock::Instant;
use fleet::{Address, FollowerInfo, STALE_AGE, Source};
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::warn;

/// Time that a source may take beyond [`MAX_HOLD`] until its response begins.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// Interval at which an entry without a source asks for an assignment and a reader reports that it
/// is running. The first interval is random and shorter, so that entries that start together do not
/// ask together.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a request for an assignment to the owner.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Age that is reported for the state of an entry that knows nothing yet.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// Number of redirects after which an entry abandons a search for a source. This is the depth of a
/// tree of many thousands of entries.
const MAX_HOPS: usize = 16;

/// Returns the description of this entry as a follower.
fn follower(node: &Node) -> FollowerInfo {
    let age = node.replication.recent.borrow().age(Instant::now());
    FollowerInfo {
        address: node.peer_address(),
        hall: node.settings.hall.clone(),
        cpu: node.settings.cpu_millis,
        age: age.unwrap_or(UNKNOWN_AGE),
    }
}

/// Finds a source whenever there is none, and replicates from it. The first source of an entry that
/// is not a seed is a random seed.
pub async fn run(node: Rc<Node>) {
    let seeds = &node.settings.seeds;
    if !node.settings.is_seed && !seeds.is_empty() {
        let seed = &seeds[rand::random_range(0..seeds.len())];
        let address = format!("{seed}:{}", node.settings.peer_port);
        follow_from(&node, address).await;
        node.replication.set_source(None);
    }
    time::sleep(ASSIGNMENT_INTERVAL.mul_f64(rand::random())).await;
    loop {
        if let Some(Source::Entry(source)) = request_assignment(&node).await {
            follow_from(&node, source).await;
            node.replication.set_source(None);
        }
        time::sleep(ASSIGNMENT_INTERVAL.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }
}

/// Requests an assignment from the owner. Returns `None` if this entry is the owner, is stopping,
/// or gets no assignment.
async fn request_assignment(node: &Node) -> Option<Source> {
    if node.as_owner().is_some() || node.is_stopping() {
        return None;
    }
    let lease = node.lease.borrow().clone();
    let owner = lease.filter(|lease| lease.incarnation != node.incarnation && !lease.released)?;
    let deadline = Instant::now() + ASSIGNMENT_TIMEOUT;
    match peer::call(
        node,
        &owner.address,
        &PeerRequest::Assignment(follower(node)),
        deadline,
    )
    .await
    {
        Ok(PeerResponse::Assignment(source)) => Some(source),
        Ok(_) | Err(_) => None,
    }
}

/// Replicates from an entry, following its redirects, until it has no more updates.
async fn follow_from(node: &Node, mut source: Address) {
    let mut hops = 0;
    node.replication.wait_for_transfers().await;
    while node.as_owner().is_none() && !node.is_stopping() {
        let from = node.replication.recent.borrow().end();
        let sent = Instant::now();
        let request = PeerRequest::Replication(Request {
            follower: follower(node),
            from,
            end: node.lease_end.get(),
        });
        let meter = TransferMeter::start(node, Party::Peer);
        match peer::transfer(node, &source, &request, sent + MAX_HOLD + RESPONSE_SLACK).await {
            Ok(PeerResponse::Replication(Response::Update(update))) => {
                if !apply_update(node, from, update, sent) {
                    return;
                }
                node.replication.set_source(Some(&source));
                hops = 0;
            }
            Ok(PeerResponse::Replication(Response::Redirect(next)))
                if hops < MAX_HOPS && next != node.peer_address() =>
            {
                source = next;
                hops += 1;
            }
            Ok(_) => return,
            Err(error) => {
                return meter.log_abandoned(node, &source, error);
            }
        }
    }
}

/// Applies an update that was requested at `sent`. Returns false if the state of the source is too
/// old to replicate from.
fn apply_update(node: &Node, from: Option<Offset>, update: Update, sent: Instant) -> bool {
    // The source sent its response once the hold time was over. The time of arrival does not count,
    // since this process may have been paused meanwhile.
    let answered_at = (sent + update.held).min(Instant::now());
    let (confirmed, contacted) = (answered_at - update.age, answered_at - update.contact_age);
    let records = update.records.into_iter().map(Record::receive);
    let records: Vec<Record> = match records.collect() {
        Ok(records) => records,
        Err(error) => {
            warn!(%error, "cannot decompress records of the source");
            return false;
        }
    };
    node.update_freshness(|freshness| freshness.confirm(confirmed, confirmed));
    node.update_reach(|reach| reach.on_store_response(contacted));
    if let Some((lease, end)) = update.lease {
        set_lease(node, lease, end);
    }
    match update.newest {
        Some(end) => operator_topic::apply_newest(node, &records, end),
        None => operator_topic::apply_records(node, from.unwrap_or_default(), &records),
    }
    node.replication.recent.borrow_mut().confirm(confirmed);
    confirmed.elapsed() <= STALE_AGE
}
