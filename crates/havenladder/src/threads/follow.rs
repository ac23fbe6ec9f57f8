//! Thread that replicates the log: loads a state, applies new records, and never goes back to lower
//! offsets.

use crate::{
    client::PeerClient,
    configs::Neighbour,
    context::Context,
    propose::FLEET,
    threads::{placement::Message, snapshots},
};
use fleet::{Fleet, Outcome};
use platform::Log;
use protocol::{LogRecord, LogSlice, Offset, rank};
use serving::{Event, WorkerInfo};
use settings::Service;
use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    thread::sleep,
    time::Duration,
};

/// Number of entries per data centre that read the platform's log. The others read from them.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Delay before the next attempt when neither the log nor a peer can be reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Result of one read.
enum ReadResult {
    /// Slice with the next records, which may be empty.
    Read(LogSlice),
    /// Neither the log nor a peer could be reached.
    Unreachable,
}

/// Replicates the log until the process ends.
pub fn follow(ctx: &Arc<Context>) {
    let peers = PeerClient::new(&ctx.config.peers.key);
    while !ctx.fleet.is_loaded() {
        if !load(ctx, &peers) {
            sleep(RETRY_INTERVAL);
        }
    }
    publish(ctx);
    loop {
        let next = ctx.fleet.get().next;
        match read_next(ctx, &peers, next) {
            ReadResult::Read(slice) if slice.has_gap(next) => {
                let (oldest, behind) = (slice.oldest, slice.oldest - next);
                tracing::warn!(
                    next,
                    oldest,
                    behind,
                    "gap: the log no longer retains the next records"
                );
                if !load(ctx, &peers) {
                    sleep(RETRY_INTERVAL);
                }
            }
            ReadResult::Read(slice) => apply(ctx, slice.records),
            ReadResult::Unreachable => sleep(RETRY_INTERVAL),
        }
    }
}

/// Loads a state from the log, or from a peer if the log has none to offer. Returns whether that
/// succeeded.
fn load(ctx: &Context, peers: &PeerClient) -> bool {
    let loaded = load_from_log(ctx).or_else(|| load_from_peer(ctx, peers));
    let Some(fleet) = loaded else {
        tracing::warn!("could not load the agreed state yet; serving nothing");
        return false;
    };
    tracing::info!(next = fleet.next, "loaded the agreed state");
    ctx.fleet.load(fleet);
    publish(ctx);
    true
}

/// Returns the newest snapshot of the log, or the empty state if the log still holds every record.
fn load_from_log(ctx: &Context) -> Option<Fleet> {
    let slice = ctx.platform.read(FLEET, 0, Duration::ZERO).ok()?;
    ctx.reaches_log.store(true, Ordering::Relaxed);
    if slice.oldest == 0 {
        return Some(Fleet::default());
    }
    let fleet = snapshots::newest(&ctx.platform)?;
    let is_contiguous = fleet.next >= slice.oldest;
    if !is_contiguous {
        tracing::warn!(
            next = fleet.next,
            oldest = slice.oldest,
            "gap between the newest snapshot and the oldest retained record"
        );
    }
    is_contiguous.then_some(fleet)
}

/// Returns the state of the peer that has applied the most records.
fn load_from_peer(ctx: &Context, peers: &PeerClient) -> Option<Fleet> {
    ctx.config
        .peers
        .neighbours
        .iter()
        .filter_map(|peer| peers.snapshot(&peer.peers.to_string()))
        .max_by_key(|fleet| fleet.next)
}

/// Reads the next records from the log if this entry is one of the readers of its data centre.
/// Otherwise reads from a peer first. Each falls back to the other source if its own does not respond.
fn read_next(ctx: &Context, peers: &PeerClient, next: Offset) -> ReadResult {
    let is_reader = is_reader(ctx);
    if !is_reader && let Some(slice) = read_from_peer(ctx, peers, next) {
        return ReadResult::Read(slice);
    }
    match ctx.platform.read(FLEET, next, ctx.config.platform.wait) {
        Ok(slice) => {
            ctx.reaches_log.store(true, Ordering::Relaxed);
            return ReadResult::Read(slice);
        }
        Err(error) => {
            if ctx.reaches_log.swap(false, Ordering::Relaxed) {
                tracing::warn!(%error, "the log cannot be reached");
            }
        }
    }
    read_from_peer(ctx, peers, next).map_or(ReadResult::Unreachable, ReadResult::Read)
}

fn is_reader(ctx: &Context) -> bool {
    let hall = &ctx.config.entry.hall;
    let live = ctx.peers.live();
    let in_hall = live
        .iter()
        .filter(|status| status.hall == *hall && status.reaches_platform && !status.leaving)
        .map(|status| status.entry.as_str())
        .chain([ctx.config.entry.name.as_str()]);
    let rank = rank(in_hall, &ctx.config.entry.name, hall);
    rank.is_none_or(|rank| rank < READERS_PER_DATA_CENTRE)
}

/// Reads from the first peer that responds, among those that reach the log or are ahead. Peers in
/// the same data centre come first.
fn read_from_peer(ctx: &Context, peers: &PeerClient, next: Offset) -> Option<LogSlice> {
    let ahead: Vec<String> = ctx
        .peers
        .live()
        .into_iter()
        .filter(|status| status.reaches_platform || status.next > next)
        .map(|status| status.entry)
        .collect();
    let hall = &ctx.config.entry.hall;
    let mut neighbours: Vec<&Neighbour> = ctx
        .config
        .peers
        .neighbours
        .iter()
        .filter(|peer| ahead.contains(&peer.entry))
        .collect();
    neighbours.sort_by_key(|peer| peer.hall != *hall);
    neighbours
        .into_iter()
        .find_map(|peer| peers.relay(&peer.peers.to_string(), next))
}

fn apply(ctx: &Context, records: Vec<LogRecord>) {
    if records.is_empty() {
        return;
    }
    let applied = ctx.fleet.apply(records);
    let mut changed = false;
    for (record, outcomes) in &applied {
        changed |= outcomes.contains(&Outcome::Applied);
        tracing::debug!(offset = record.offset, ?outcomes, "applied");
    }
    ctx.metrics
        .applied(applied.len() as u64, ctx.fleet.get().next);
    if changed {
        publish(ctx);
    }
}

/// Sends the services and workers of the agreed state to the placement thread.
pub fn publish(ctx: &Context) {
    let services = services(&ctx.fleet.get());
    if **ctx.services.load() != services {
        ctx.services.store(Arc::new(services.clone()));
        notify_placement(ctx, Event::Services(services));
    }
    notify_placement(ctx, Event::Workers(workers(ctx)));
}

fn services(fleet: &Fleet) -> BTreeMap<String, Service> {
    fleet
        .tree
        .services()
        .map(|path| (path.clone(), Service::resolve(&fleet.tree, path)))
        .collect()
}

/// Returns the workers of this data centre that accept new work, according to both the agreed state
/// and this entry's own observations.
fn workers(ctx: &Context) -> Vec<WorkerInfo> {
    let unusable = ctx.observations.unusable();
    let fleet = ctx.fleet.get();
    fleet
        .vms
        .iter()
        .filter(|(id, vm)| vm.hall == ctx.config.entry.hall && !unusable.contains(*id))
        .filter(|(_, vm)| vm.is_available())
        .map(|(id, vm)| WorkerInfo {
            vm: id.clone(),
            addr: vm.addr.clone(),
            pool: vm.pool.clone(),
            slots: vm.slots,
        })
        .collect()
}

fn notify_placement(ctx: &Context, event: Event) {
    ctx.placement.notify(Message::Event(event));
}
