//! The faults of a soak: overlapping faults injected by signals, by proxies on the links to the log
//! and to workers, by crashes of workers, and by changes that operators make.

use crate::site::{CORES, Site};
use rand::{Rng, rngs::StdRng};
use rustix::process::Signal;
use standin::proxy::{Faults, Link};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// The minimum and maximum time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: (u64, u64) = (150, 1_500);

/// The minimum and maximum duration of a fault, in milliseconds. Some faults end before a lease of
/// 1.5 s does, others after the 6 s for which an owner continues without the log.
const FAULT_DURATION_MS: (u64, u64) = (100, 8_000);

/// The interval at which faults are begun and ended: short compared with [`FAULT_INTERVAL_MS`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The delay of a slow link to the log: as long as a slow response of the users' log, and longer
/// than the 150 ms after which an owner continues without the log.
const SLOW_LOG_DELAY: Duration = Duration::from_millis(240);

/// The number of successive responses of the log that are lost: enough that a retried call loses
/// its response as well.
const LOST_RESPONSES: u64 = 5;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// An entry is killed.
    Kill,
    /// An entry receives the signal to stop.
    Terminate,
    /// An entry's process is paused.
    Pause,
    /// All entries are killed.
    KillAll,
    /// An entry's link to the log is cut, and its connections break.
    CutLog,
    /// An entry's requests to the log are held back and arrive late.
    StallRequests,
    /// The log's responses to an entry are held back.
    StallResponses,
    /// An entry's link to the log is slow.
    SlowLog,
    /// The log's next responses to an entry are lost.
    LoseResponses,
    /// The log is unreachable for all entries.
    Outage,
    /// A VM's worker is unreachable but keeps running.
    CutWorker,
    /// Requests to a VM's worker are held back and carried out late.
    StallWorker,
    /// A VM's worker ends abruptly.
    CrashWorker,
    /// The configuration changes.
    Configure,
    /// A wave of maintenance is requested.
    Wave,
    /// A fraction of the log's responses to appends is lost, while the connections stay open.
    LoseAppendResponses,
    /// An entry's open connections to the log give no more responses; new connections work.
    SilenceLog,
    /// Open connections to a VM's worker give no more responses; new connections work.
    SilenceWorker,
    /// An entry's machine is suspended. From outside, this can only be simulated by pausing the
    /// process while time passes for all others. Advancing its clock alone would make leases
    /// expire before the time has passed for the workers.
    Suspend,
    /// A VM's worker ends abruptly and restarts under the same id.
    RestartWorker,
    /// All workers end abruptly and restart under the same ids.
    RestartAllWorkers,
    /// One key of each workspace is replaced.
    RotateKeys,
    /// The bounds of the workspaces are lowered far below their usage until the fault ends.
    LowerBounds,
    /// The configuration grows by many routes.
    AddRoutes,
    /// An entry's link to the log has little bandwidth for responses.
    NarrowLog,
}

/// All kinds of faults. Kinds that earlier seeds draw from come first, so that each seed keeps its
/// faults.
const KINDS: [Kind; 25] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Pause,
    Kind::KillAll,
    Kind::CutLog,
    Kind::StallRequests,
    Kind::StallResponses,
    Kind::SlowLog,
    Kind::LoseResponses,
    Kind::Outage,
    Kind::CutWorker,
    Kind::StallWorker,
    Kind::CrashWorker,
    Kind::Configure,
    Kind::Wave,
    Kind::LoseAppendResponses,
    Kind::SilenceLog,
    Kind::SilenceWorker,
    Kind::Suspend,
    Kind::RestartWorker,
    Kind::RestartAllWorkers,
    Kind::RotateKeys,
    Kind::LowerBounds,
    Kind::AddRoutes,
    Kind::NarrowLog,
];

/// The number of [`KINDS`] that seeds below [`SILENT_FROM_SEED`] draw from.
const KINDS_BEFORE_SILENT: usize = 15;

/// The first seed with connections that give no more responses.
const SILENT_FROM_SEED: u64 = 6_000;

/// The number of [`KINDS`] that seeds from [`SILENT_FROM_SEED`] to below [`HARMFUL_FROM_SEED`] draw
/// from.
const KINDS_BEFORE_HARMFUL: usize = 18;

/// The first seed with suspended machines, and with jobs that have a task that ends its workers.
pub const HARMFUL_FROM_SEED: u64 = 7_000;

/// The number of [`KINDS`] that seeds from [`HARMFUL_FROM_SEED`] to below [`RESTARTS_FROM_SEED`]
/// draw from.
const KINDS_BEFORE_RESTARTS: usize = 19;

/// The first seed with workers that restart under the same id, also after a task has ended them.
pub const RESTARTS_FROM_SEED: u64 = 9_000;

/// The number of [`KINDS`] that seeds from [`RESTARTS_FROM_SEED`] to below [`WORKSPACES_FROM_SEED`]
/// draw from.
const KINDS_BEFORE_WORKSPACES: usize = 21;

/// The first seed with callers that belong to workspaces, whose keys and bounds change.
const WORKSPACES_FROM_SEED: u64 = 10_000;

/// The number of [`KINDS`] that seeds from [`WORKSPACES_FROM_SEED`] to below [`LARGE_FROM_SEED`] draw
/// from.
const KINDS_BEFORE_LARGE: usize = 23;

/// The first seed with large configurations and narrow links. Every other fault is one of these.
pub const LARGE_FROM_SEED: u64 = 11_000;

/// The first seed with jobs of many small tasks, whose ends do not fit into one response of their worker, and with
/// long-running tasks that fit nowhere. There are no workspaces and no tasks that end their workers. Seeds from
/// [`crate::cut_off::CUT_OFF_FROM_SEED`] on have neither, and faults of their own.
pub const BURSTS_FROM_SEED: u64 = 12_000;

/// Returns whether the callers of a seed belong to workspaces.
pub fn has_workspaces(seed: u64) -> bool {
    (WORKSPACES_FROM_SEED..BURSTS_FROM_SEED).contains(&seed)
}

/// The number of routes that a change adds. They take some 250 KB.
const ADDED_ROUTES: usize = 1_000;

/// The maximum number of idle routes, since each later configuration contains all of them.
const MAX_IDLE_ROUTES: usize = 6 * ADDED_ROUTES;

/// The bandwidth of a narrow link in bytes per second: users' weakest entries have 1.25 MB/s.
const NARROW_LINK: u64 = 1_000_000;

/// The number of cores that a workspace may use while its bound is lowered.
const LOWERED_CORES: u64 = 2;

/// The maximum time for which a restarting worker is down: users saw 0.25 to 3 s.
const MAX_RESTART_DELAY: Duration = Duration::from_millis(3_000);

/// The fraction of the responses to appends that is lost.
const LOST_APPEND_SHARE: f64 = 0.35;

/// A fault in effect.
struct ActiveFault {
    ends_at: Instant,
    kind: Kind,
    entry: usize,
    /// Faults of the link to the worker that the drawn VM had when the fault began.
    worker: Arc<Faults>,
}

/// Injects faults for a time and returns a description of each with its start time.
///
/// # Errors
///
/// Fails when a process cannot be restarted.
pub async fn inject(
    site: &mut Site,
    seed: u64,
    rng: &mut StdRng,
    span: Duration,
) -> io::Result<Vec<String>> {
    let kinds = match seed {
        ..SILENT_FROM_SEED => &KINDS[..KINDS_BEFORE_SILENT],
        SILENT_FROM_SEED..HARMFUL_FROM_SEED => &KINDS[..KINDS_BEFORE_HARMFUL],
        HARMFUL_FROM_SEED..RESTARTS_FROM_SEED => &KINDS[..KINDS_BEFORE_RESTARTS],
        RESTARTS_FROM_SEED..WORKSPACES_FROM_SEED => &KINDS[..KINDS_BEFORE_WORKSPACES],
        LARGE_FROM_SEED..BURSTS_FROM_SEED => &KINDS[..],
        WORKSPACES_FROM_SEED..LARGE_FROM_SEED => &KINDS[..KINDS_BEFORE_LARGE],
        BURSTS_FROM_SEED.. => &KINDS[..KINDS_BEFORE_WORKSPACES],
    };
    let started_at = Instant::now();
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut injected = Vec::new();
    let mut next = started_at;
    while started_at.elapsed() < span {
        time::sleep(POLL_INTERVAL).await;
        for fault in active.extract_if(.., |fault| fault.ends_at <= Instant::now()) {
            end_fault(site, &fault)?;
        }
        if Instant::now() < next {
            continue;
        }
        next = Instant::now()
            + Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1));
        let (fault, vm, duration) = draw_fault(site, kinds, rng);
        injected.push(format!(
            "{:.2} s: {:?} entry-{} {vm} for {duration:?}",
            started_at.elapsed().as_secs_f64(),
            fault.kind,
            fault.entry,
        ));
        begin_fault(site, &fault, &vm, seed);
        active.push(fault);
    }
    Ok(injected)
}

/// Draws the kind of a fault.
fn draw_kind(kinds: &[Kind], rng: &mut StdRng) -> Kind {
    let large = kinds.get(KINDS_BEFORE_LARGE..).unwrap_or_default();
    if !large.is_empty() && rng.random_bool(0.5) {
        return large[rng.random_range(0..large.len())];
    }
    kinds[rng.random_range(0..kinds.len())]
}

/// Draws the kind, entry, VM and duration of a fault.
fn draw_fault(site: &Site, kinds: &[Kind], rng: &mut StdRng) -> (ActiveFault, String, Duration) {
    let kind = draw_kind(kinds, rng);
    let entry = rng.random_range(0..site.entries.len());
    let mut names = site.cloud.names();
    let vm = names.swap_remove(rng.random_range(0..names.len()));
    let duration =
        Duration::from_millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
    let fault = ActiveFault {
        ends_at: Instant::now() + duration,
        kind,
        entry,
        worker: site.cloud.link(&vm).unwrap_or_default(),
    };
    (fault, vm, duration)
}

fn begin_fault(site: &mut Site, fault: &ActiveFault, vm: &str, seed: u64) {
    let entry = fault.entry;
    let link = &site.links[entry];
    let delay = fault.ends_at.saturating_duration_since(Instant::now());
    let delay = delay.min(MAX_RESTART_DELAY);
    match fault.kind {
        Kind::RestartWorker => site.cloud.restart(vm, delay),
        Kind::RestartAllWorkers => {
            let names = site.cloud.names();
            names
                .iter()
                .for_each(|name| site.cloud.restart(name, delay));
        }
        Kind::Kill => site.entries[entry].signal(Signal::KILL),
        Kind::Terminate => site.entries[entry].signal(Signal::TERM),
        Kind::Pause | Kind::Suspend => site.entries[entry].signal(Signal::STOP),
        Kind::KillAll => site.entries.iter_mut().for_each(|e| e.signal(Signal::KILL)),
        Kind::CutLog => link.cut(true),
        Kind::StallRequests => link.stall(true, false),
        Kind::StallResponses => link.stall(false, true),
        Kind::SlowLog => link.delay(SLOW_LOG_DELAY),
        Kind::LoseResponses => link.lose_responses(LOST_RESPONSES),
        Kind::Outage => site.links.iter().for_each(|link| link.cut(true)),
        Kind::CutWorker => fault.worker.cut(true),
        Kind::StallWorker => fault.worker.stall(true, false),
        Kind::CrashWorker => site.cloud.crash(vm),
        Kind::Configure => site.configure(),
        Kind::RotateKeys => site.rotate_keys(),
        Kind::LowerBounds => site.set_bounds(LOWERED_CORES),
        Kind::Wave => site.request_wave(),
        Kind::LoseAppendResponses => site.log.lose_responses(LOST_APPEND_SHARE, seed),
        Kind::SilenceLog => link.silence_connections(),
        Kind::SilenceWorker => fault.worker.silence_connections(),
        Kind::AddRoutes if site.idle_routes < MAX_IDLE_ROUTES => {
            site.add_idle_routes(ADDED_ROUTES);
        }
        Kind::AddRoutes => site.configure(),
        Kind::NarrowLog => link.share_response_link(Some(Arc::new(Link::new(NARROW_LINK)))),
    }
}

fn end_fault(site: &mut Site, fault: &ActiveFault) -> io::Result<()> {
    let link = &site.links[fault.entry];
    match fault.kind {
        Kind::Kill | Kind::Terminate | Kind::Pause | Kind::Suspend => {
            site.entries[fault.entry].ensure_running()?
        }
        Kind::KillAll => site
            .entries
            .iter_mut()
            .try_for_each(|e| e.ensure_running())?,
        Kind::CutLog => link.cut(false),
        Kind::StallRequests | Kind::StallResponses => link.stall(false, false),
        Kind::SlowLog => link.delay(Duration::ZERO),
        Kind::Outage => site.links.iter().for_each(|link| link.cut(false)),
        Kind::CutWorker => fault.worker.cut(false),
        Kind::StallWorker => fault.worker.stall(false, false),
        Kind::LoseAppendResponses => site.log.lose_responses(0.0, 0),
        Kind::LowerBounds => site.set_bounds(CORES),
        Kind::NarrowLog => link.share_response_link(None),
        Kind::AddRoutes
        | Kind::LoseResponses
        | Kind::CrashWorker
        | Kind::Configure
        | Kind::RotateKeys
        | Kind::Wave
        | Kind::SilenceLog
        | Kind::SilenceWorker
        | Kind::RestartWorker
        | Kind::RestartAllWorkers => {}
    }
    Ok(())
}
