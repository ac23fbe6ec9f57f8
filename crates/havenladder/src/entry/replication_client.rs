//! Follows another entry, or finds one that can be followed.

use super::{
    follow,
    lease::set_lease,
    node::Node,
    peer::{self, PeerRequest, PeerResponse},
    replication::{MAX_HOLD, Request, Response, Update},
};
use adapter::store::{Offset, split_keyed};
use clock::Instant;
use fleet::{Address, STALE, Seeker, Source};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// How long a source may take beyond that.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// How often an entry without a source asks for a place, and a reader says that it is there. The first time is drawn
/// below it, so that entries that start together do not ask together.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the owner may take to give a place.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// How old what an entry knows counts as that knows nothing.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// How often an entry is sent on from one to another before it gives up: the depth of a tree of many thousands.
const MAX_HOPS: usize = 16;

/// What this entry says of itself.
fn follower(node: &Node) -> Seeker {
    let age = node.replication.recent.borrow().age(Instant::now());
    Seeker {
        address: node.peer_address(),
        hall: node.settings.hall.clone(),
        cpu: node.settings.cpu,
        age: age.unwrap_or(UNKNOWN_AGE),
    }
}

/// Finds a source whenever there is none, and follows it: a seed at first.
pub async fn run(node: Rc<Node>) {
    let seeds = &node.settings.seeds;
    if !node.settings.is_seed && !seeds.is_empty() {
        let seed = &seeds[rand::random_range(0..seeds.len())];
        let address = format!("{seed}:{}", node.settings.inner_port);
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

/// Asks the owner where this entry is to have its news from; none where that cannot be known now.
async fn request_assignment(node: &Node) -> Option<Source> {
    if node.as_owner().is_some() || node.stopping.get() {
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

/// Follows an entry, or those to which it is sent on, for as long as that has news.
async fn follow_from(node: &Node, mut source: Address) {
    let mut hops = 0;
    while node.as_owner().is_none() && !node.stopping.get() {
        let from = node.replication.recent.borrow().end();
        let sent = Instant::now();
        let request = PeerRequest::Replication(Request {
            follower: follower(node),
            from,
            end: node.lease_end.get(),
        });
        match peer::call(node, &source, &request, sent + MAX_HOLD + RESPONSE_SLACK).await {
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
            Ok(_) | Err(_) => return,
        }
    }
}

/// Takes in news that were asked for at `sent`; false if their source knows too little to be followed.
fn apply_update(node: &Node, from: Option<Offset>, update: Update, sent: Instant) -> bool {
    // The answer was given when it had been held back, or later: this process may have stood still since.
    let given = (sent + update.held).min(Instant::now());
    let (confirmed, contacted) = (given - update.age, given - update.contact_age);
    let records = update.records.into_iter();
    let records: Vec<_> = records.map(|record| record.into_vec().into()).collect();
    node.update_freshness(|freshness| freshness.confirm(confirmed, confirmed));
    node.update_reach(|reach| reach.note_store(contacted));
    if let Some((lease, end)) = update.lease {
        set_lease(node, lease, end);
    }
    match update.newest {
        Some(end) => {
            let newest = records.into_iter().filter_map(split_keyed).collect();
            follow::apply_newest(node, newest, end);
        }
        None => follow::apply_records(node, from.unwrap_or_default(), &records),
    }
    node.replication.recent.borrow_mut().confirm(confirmed);
    confirmed.elapsed() <= STALE
}
