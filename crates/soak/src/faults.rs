//! What goes wrong in a soak: series of faults that overlap, by signals, by the proxies in front of the
//! log, by VMs that end, and by what operators change.

use crate::site::{CORES, Site};
use rand::{Rng, rngs::StdRng};
use rustix::process::Signal;
use standin::proxy::Faults;
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// The least and the longest time between two faults, in ms.
const PAUSE: (u64, u64) = (150, 1_500);

/// The least and the longest time for which a fault lasts, in ms: some end before a lease of 1.5 s does,
/// some after the 6 s for which an owner goes on without the log.
const LASTS: (u64, u64) = (100, 8_000);

/// Time between two looks at faults that are to begin or end: short against [`PAUSE`].
const LOOK: Duration = Duration::from_millis(20);

/// How much longer a slow call to the log takes: as long as a slow answer of the users' log, and longer than
/// the 150 ms after which an owner goes on without.
const SLOW: Duration = Duration::from_millis(240);

/// How many of the log's answers are lost in a row: a call that is tried again loses its answer as well.
const LOST: u64 = 5;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// An entry is killed.
    Kill,
    /// An entry is told to stop.
    Stop,
    /// An entry stands still.
    Pause,
    /// All entries are killed.
    KillAll,
    /// An entry's way to the log is cut: connections break.
    Cut,
    /// An entry's calls to the log are held back, and come late.
    MuteRequests,
    /// The log's answers to an entry are held back.
    MuteAnswers,
    /// An entry's calls to the log take long.
    Slow,
    /// The log's next answers to an entry are lost.
    Lose,
    /// Nobody reaches the log.
    Outage,
    /// Nobody reaches a VM's worker, which runs on.
    Dark,
    /// Calls to a VM's worker are held back, and carried out late.
    Late,
    /// A VM's worker ends without notice.
    Crash,
    /// The configuration changes.
    Configure,
    /// A wave of upkeep is asked for.
    Wave,
    /// A part of the log's answers to appends is lost, and the connections stay open.
    Swallow,
    /// An entry's open connections to the log fall silent, and new ones work.
    Hush,
    /// Open connections to a VM's worker fall silent, and new ones work.
    HushWorker,
    /// An entry's machine is suspended. Its process stands still while time passes for all others, which is all that can
    /// be brought about from outside: a clock that is put forward alone would have leases run out before the workers'
    /// time has come.
    Suspend,
    /// A VM's worker ends without notice and starts again under its id.
    Restart,
    /// All workers do.
    RestartAll,
    /// Each workspace loses a key and gets another.
    Keys,
    /// The bounds of workspaces are lowered far below what they use, until the fault ends.
    Bounds,
}

/// Kinds that earlier seeds draw from stand first.
const KINDS: [Kind; 23] = [
    Kind::Kill,
    Kind::Stop,
    Kind::Pause,
    Kind::KillAll,
    Kind::Cut,
    Kind::MuteRequests,
    Kind::MuteAnswers,
    Kind::Slow,
    Kind::Lose,
    Kind::Outage,
    Kind::Dark,
    Kind::Late,
    Kind::Crash,
    Kind::Configure,
    Kind::Wave,
    Kind::Swallow,
    Kind::Hush,
    Kind::HushWorker,
    Kind::Suspend,
    Kind::Restart,
    Kind::RestartAll,
    Kind::Keys,
    Kind::Bounds,
];

/// How many of [`KINDS`] the seeds below [`SILENT_FROM`] draw from, so that they go on to mean the same faults.
const LOUD: usize = 15;

/// From which seed on connections fall silent as well.
const SILENT_FROM: u64 = 6_000;

/// How many of them those from there up to [`HARMFUL_FROM`] draw from.
const SILENT: usize = 18;

/// From which seed on machines are suspended as well, and some jobs have a task that ends its workers.
pub const HARMFUL_FROM: u64 = 7_000;

/// How many of them those from there up to [`RESTARTS_FROM`] draw from.
const HARMFUL: usize = 19;

/// From which seed on workers start again under their ids as well, also those that a task ends.
pub const RESTARTS_FROM: u64 = 9_000;

/// How many of them those from there up to [`WORKSPACES_FROM`] draw from.
const RESTARTS: usize = 21;

/// From which seed on callers belong to workspaces, whose keys and bounds change.
pub const WORKSPACES_FROM: u64 = 10_000;

/// How many cores a workspace may have running while its bound is lowered.
const LOWERED: u64 = 2;

/// The longest time for which a worker is away that starts again: users saw 0.25 to 3 s.
const LONGEST_AWAY: Duration = Duration::from_millis(3_000);

/// The part of the answers to appends that is lost.
const SWALLOWED: f64 = 0.35;

/// A fault that is to end.
struct Open {
    ends: Instant,
    kind: Kind,
    entry: usize,
    /// The faults of the way to the worker that the chosen VM has.
    worker: Arc<Faults>,
}

/// Injects faults for a time, and returns what was done when.
///
/// # Errors
///
/// Fails when a process cannot be started again.
pub async fn inject(
    site: &mut Site,
    seed: u64,
    rng: &mut StdRng,
    span: Duration,
) -> io::Result<Vec<String>> {
    let kinds = match seed {
        ..SILENT_FROM => &KINDS[..LOUD],
        SILENT_FROM..HARMFUL_FROM => &KINDS[..SILENT],
        HARMFUL_FROM..RESTARTS_FROM => &KINDS[..HARMFUL],
        RESTARTS_FROM..WORKSPACES_FROM => &KINDS[..RESTARTS],
        WORKSPACES_FROM.. => &KINDS[..],
    };
    let began = Instant::now();
    let mut open: Vec<Open> = Vec::new();
    let mut told = Vec::new();
    let mut next = began;
    while began.elapsed() < span {
        time::sleep(LOOK).await;
        for fault in open.extract_if(.., |fault| fault.ends <= Instant::now()) {
            end(site, &fault)?;
        }
        if Instant::now() < next {
            continue;
        }
        next = Instant::now() + Duration::from_millis(rng.random_range(PAUSE.0..PAUSE.1));
        let (fault, vm, lasts) = pick(site, kinds, rng);
        told.push(format!(
            "{:.2} s: {:?} entry-{} {vm} for {lasts:?}",
            began.elapsed().as_secs_f64(),
            fault.kind,
            fault.entry,
        ));
        begin(site, &fault, &vm, seed);
        open.push(fault);
    }
    Ok(told)
}

/// Draws a fault: what, at which entry and VM, and for how long.
fn pick(site: &Site, kinds: &[Kind], rng: &mut StdRng) -> (Open, String, Duration) {
    let kind = kinds[rng.random_range(0..kinds.len())];
    let entry = rng.random_range(0..site.entries.len());
    let mut names = site.cloud.names();
    let vm = names.swap_remove(rng.random_range(0..names.len()));
    let lasts = Duration::from_millis(rng.random_range(LASTS.0..LASTS.1));
    let fault = Open {
        ends: Instant::now() + lasts,
        kind,
        entry,
        worker: site.cloud.link(&vm).unwrap_or_default(),
    };
    (fault, vm, lasts)
}

fn begin(site: &mut Site, fault: &Open, vm: &str, seed: u64) {
    let entry = fault.entry;
    let link = &site.links[entry];
    let away = fault.ends.saturating_duration_since(Instant::now());
    let away = away.min(LONGEST_AWAY);
    match fault.kind {
        Kind::Restart => site.cloud.restart(vm, away),
        Kind::RestartAll => {
            let names = site.cloud.names();
            names.iter().for_each(|name| site.cloud.restart(name, away));
        }
        Kind::Kill => site.entries[entry].signal(Signal::KILL),
        Kind::Stop => site.entries[entry].signal(Signal::TERM),
        Kind::Pause | Kind::Suspend => site.entries[entry].signal(Signal::STOP),
        Kind::KillAll => site.entries.iter_mut().for_each(|e| e.signal(Signal::KILL)),
        Kind::Cut => link.cut(true),
        Kind::MuteRequests => link.stall(true, false),
        Kind::MuteAnswers => link.stall(false, true),
        Kind::Slow => link.delay(SLOW),
        Kind::Lose => link.lose_responses(LOST),
        Kind::Outage => site.links.iter().for_each(|link| link.cut(true)),
        Kind::Dark => fault.worker.cut(true),
        Kind::Late => fault.worker.stall(true, false),
        Kind::Crash => site.cloud.crash(vm),
        Kind::Configure => site.configure(),
        Kind::Keys => site.rotate_keys(),
        Kind::Bounds => site.set_bounds(LOWERED),
        Kind::Wave => site.request_wave(),
        Kind::Swallow => site.log.lose_responses(SWALLOWED, seed),
        Kind::Hush => link.silence_connections(),
        Kind::HushWorker => fault.worker.silence_connections(),
    }
}

fn end(site: &mut Site, fault: &Open) -> io::Result<()> {
    let link = &site.links[fault.entry];
    match fault.kind {
        Kind::Kill | Kind::Stop | Kind::Pause | Kind::Suspend => {
            site.entries[fault.entry].ensure_running()?
        }
        Kind::KillAll => site
            .entries
            .iter_mut()
            .try_for_each(|e| e.ensure_running())?,
        Kind::Cut => link.cut(false),
        Kind::MuteRequests | Kind::MuteAnswers => link.stall(false, false),
        Kind::Slow => link.delay(Duration::ZERO),
        Kind::Outage => site.links.iter().for_each(|link| link.cut(false)),
        Kind::Dark => fault.worker.cut(false),
        Kind::Late => fault.worker.stall(false, false),
        Kind::Swallow => site.log.lose_responses(0.0, 0),
        Kind::Bounds => site.set_bounds(CORES),
        Kind::Lose
        | Kind::Crash
        | Kind::Configure
        | Kind::Keys
        | Kind::Wave
        | Kind::Hush
        | Kind::HushWorker
        | Kind::Restart
        | Kind::RestartAll => {}
    }
    Ok(())
}
