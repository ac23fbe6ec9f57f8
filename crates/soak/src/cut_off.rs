//! The faults of soaks in which groups of workers restart under their ids and are cut off soon after, while calls to
//! them are carried out late and the cell changes its owner.

use crate::site::Site;
use rand::{Rng, rngs::StdRng};
use rustix::process::Signal;
use standin::{
    proxy::Faults,
    users::{
        cloud::hall_of,
        worker::{HoldMode, StartMode, Worker},
    },
};
use std::{
    fmt, io,
    ops::Range,
    time::{Duration, Instant},
};
use tokio::time;

/// The first seed with these faults and with long tasks.
pub const CUT_OFF_FROM_SEED: u64 = 13_000;

/// The time in milliseconds after which a group restarts while the tasks of the one before start again.
const SHORT_INTERVAL_MS: Range<u64> = 300..1_500;

/// The time between other restarts of groups in milliseconds. The cuts of the groups overlap, and a run that was given
/// up goes on for long enough to be seen beside the next one of its task.
const LONG_INTERVAL_MS: Range<u64> = 5_000..12_000;

/// The shares of short intervals, of which each soak has one.
const SHORT_SHARES: [f64; 3] = [0.0, 0.3, 0.6];

/// The time of the first restart in milliseconds, when the workers have runs.
const FIRST_RESTART_MS: Range<u64> = 1_500..4_000;

/// The time in milliseconds by which the other workers restart before a group, so that their tasks are on their way to
/// the group when it restarts.
const LEAD_MS: Range<u64> = 300..1_200;

/// The time in milliseconds for which a restarting worker is down.
const DOWNTIME_MS: Range<u64> = 0..700;

/// The time in milliseconds from the restart of a group to its cut.
const CUT_DELAY_MS: Range<u64> = 0..2_600;

/// The time in milliseconds for which a group is cut off.
const CUT_DURATION_MS: Range<u64> = 1_000..11_000;

/// The time in milliseconds after which a late call is carried out.
const CALL_DELAY_MS: Range<u64> = 100..4_000;

/// The time in milliseconds before and after a restart for which calls are carried out late or responses are lost.
const MARGIN_MS: Range<u64> = 0..1_000;

/// The time in milliseconds from the restart of a group to the fault of the owner.
const OWNER_FAULT_DELAY_MS: Range<u64> = 0..3_000;

/// The duration of a fault of the owner in milliseconds.
const OWNER_FAULT_MS: Range<u64> = 500..8_000;

/// The interval at which faults are begun and ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An effect on the calls to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Connections break.
    Cut,
    /// Neither requests nor responses pass.
    LoseAll,
    /// Responses would pass, requests do not.
    LoseRequests,
    /// Requests pass, responses do not.
    LoseResponses,
    /// Starts are carried out late without a response.
    LateStarts(Duration),
    /// Polls are carried out late without a response.
    LateHolds(Duration),
}

/// The effects in which a group is cut off.
const CUTS: [Effect; 4] = [
    Effect::Cut,
    Effect::LoseAll,
    Effect::LoseRequests,
    Effect::LoseResponses,
];

/// An effect on one worker, with its times since the begin of the series.
#[derive(Clone, Debug)]
struct Window {
    vm: String,
    effect: Effect,
    from: Duration,
    until: Duration,
}

/// The restart of a worker.
#[derive(Clone, Debug)]
struct Restart {
    vm: String,
    at: Duration,
    downtime: Duration,
}

/// The kinds of faults of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFaultKind {
    /// It receives the signal to stop and releases the cell.
    Stop,
    /// It is killed.
    Kill,
    /// Its process is paused.
    Pause,
    /// It is isolated from the log.
    Isolate,
}

/// A fault of the entry that owns the cell when the fault begins.
#[derive(Clone, Debug)]
struct OwnerFault {
    kind: OwnerFaultKind,
    from: Duration,
    until: Duration,
}

/// The faults of one soak.
#[derive(Default)]
struct Series {
    restarts: Vec<Restart>,
    windows: Vec<Window>,
    owner_faults: Vec<OwnerFault>,
}

impl fmt::Display for Restart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Restart { vm, at, downtime } = self;
        write!(f, "{at:.2?}: {vm} restarts, down for {downtime:?}")
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Window {
            vm,
            effect,
            from,
            until,
        } = self;
        write!(f, "{from:.2?} to {until:.2?}: {vm} {effect:?}")
    }
}

/// Injects a series of faults for a time and returns their descriptions.
///
/// # Errors
///
/// Fails when a process cannot be restarted or its log cannot be read.
pub async fn inject(site: &mut Site, rng: &mut StdRng, span: Duration) -> io::Result<Vec<String>> {
    let mut series = Series::draw(&site.cloud.names(), rng, span);
    let restarts = series.restarts.iter().map(Restart::to_string);
    let mut injected: Vec<String> = restarts
        .chain(series.windows.iter().map(Window::to_string))
        .collect();
    let mut active: Vec<(usize, OwnerFault)> = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        let now = started_at.elapsed();
        for (entry, fault) in active.extract_if(.., |(_, fault)| fault.until <= now) {
            end_owner_fault(site, entry, &fault)?;
        }
        let is_due = |restart: &mut Restart| restart.at <= now;
        for Restart { vm, downtime, .. } in series.restarts.extract_if(.., is_due) {
            site.cloud.restart(&vm, downtime);
        }
        apply_windows(site, &series.windows, now);
        let is_due = |fault: &mut OwnerFault| fault.from <= now;
        for fault in series.owner_faults.extract_if(.., is_due) {
            if let Some(entry) = current_owner(site)? {
                let OwnerFault { kind, from, until } = &fault;
                injected.push(format!("{from:.2?} to {until:.2?}: entry-{entry} {kind:?}"));
                begin_owner_fault(site, entry, &fault);
                active.push((entry, fault));
            }
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(injected)
}

impl Series {
    /// Draws the faults for a time.
    fn draw(vms: &[String], rng: &mut StdRng, span: Duration) -> Self {
        let mut series = Series::default();
        let short_share = SHORT_SHARES[rng.random_range(0..SHORT_SHARES.len())];
        let mut at = draw_time(rng, FIRST_RESTART_MS);
        while at < span {
            series.add_episode(vms, rng, at);
            let interval = if rng.random_bool(short_share) {
                SHORT_INTERVAL_MS
            } else {
                LONG_INTERVAL_MS
            };
            at += draw_time(rng, interval);
        }
        series
    }

    /// Adds the restart of a group at a time, and the faults around it.
    fn add_episode(&mut self, vms: &[String], rng: &mut StdRng, at: Duration) {
        let group = draw_group(vms, rng);
        let (lead, others_restart) = (draw_time(rng, LEAD_MS), rng.random_bool(0.7));
        for vm in vms {
            let downtime = draw_time(rng, DOWNTIME_MS);
            let at = if group.contains(vm) {
                at
            } else if others_restart {
                at.saturating_sub(lead)
            } else {
                continue;
            };
            let vm = vm.clone();
            self.restarts.push(Restart { vm, at, downtime });
        }
        let cut = CUTS[rng.random_range(0..CUTS.len())];
        // Most cuts are early, before the owner has asked the next incarnation, and most are long, so that leases end
        // within them.
        let delay = draw_time(rng, CUT_DELAY_MS).min(draw_time(rng, CUT_DELAY_MS));
        let from = at + delay;
        let duration = draw_time(rng, CUT_DURATION_MS).max(draw_time(rng, CUT_DURATION_MS));
        for vm in &group {
            self.add_window(vm, cut, from..from + duration);
            self.add_late_calls(vm, rng, at);
        }
        let from = at + draw_time(rng, OWNER_FAULT_DELAY_MS);
        self.owner_faults.push(OwnerFault {
            kind: draw_owner_fault(rng),
            from,
            until: from + draw_time(rng, OWNER_FAULT_MS),
        });
    }

    /// Adds calls to a worker around its restart that are carried out late or lose their responses.
    fn add_late_calls(&mut self, vm: &str, rng: &mut StdRng, at: Duration) {
        let around = [
            (Effect::LateStarts(draw_time(rng, CALL_DELAY_MS)), 0.9),
            (Effect::LateHolds(draw_time(rng, CALL_DELAY_MS)), 0.4),
            (Effect::LoseResponses, 0.5),
        ];
        for (effect, share) in around {
            let from = at.saturating_sub(draw_time(rng, MARGIN_MS));
            let until = at + draw_time(rng, MARGIN_MS);
            if rng.random_bool(share) {
                self.add_window(vm, effect, from..until);
            }
        }
    }

    fn add_window(&mut self, vm: &str, effect: Effect, times: Range<Duration>) {
        self.windows.push(Window {
            vm: vm.to_owned(),
            effect,
            from: times.start,
            until: times.end,
        });
    }
}

fn draw_time(rng: &mut StdRng, millis: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}

/// Draws a fault of the owner. After a stop, the next owner waits for the shortest time.
fn draw_owner_fault(rng: &mut StdRng) -> OwnerFaultKind {
    match rng.random_range(0..10) {
        0..4 => OwnerFaultKind::Stop,
        4..6 => OwnerFaultKind::Kill,
        6..8 => OwnerFaultKind::Pause,
        _ => OwnerFaultKind::Isolate,
    }
}

/// Draws a group of VMs: all, those of one data centre, or a random share.
fn draw_group(vms: &[String], rng: &mut StdRng) -> Vec<String> {
    let draw = rng.random_range(0..10);
    let hall = if rng.random_bool(0.5) { "a" } else { "b" };
    let share = rng.random_range(0.2..0.8);
    let mut is_member = |vm: &&String| match draw {
        0 => true,
        1..=4 => hall_of(vm) == hall,
        _ => rng.random_bool(share),
    };
    vms.iter().filter(|vm| is_member(vm)).cloned().collect()
}

/// Applies the effects that are active at a time, and ends all others.
fn apply_windows(site: &Site, windows: &[Window], now: Duration) {
    for vm in site.cloud.names() {
        let (Some(link), Some(worker)) = (site.cloud.link(&vm), site.cloud.worker(&vm)) else {
            continue;
        };
        let is_active = |window: &&Window| (window.from..window.until).contains(&now);
        let active = windows.iter().filter(is_active);
        let effects = active.filter(|window| window.vm == vm).map(|w| w.effect);
        apply(&link, &worker, &effects.collect::<Vec<_>>());
    }
}

/// Applies exactly these effects to a worker.
fn apply(link: &Faults, worker: &Worker, effects: &[Effect]) {
    let (mut starts, mut holds) = (StartMode::Answered, HoldMode::Answered);
    for effect in effects {
        match effect {
            Effect::LateStarts(delay) => starts = StartMode::Late(*delay),
            Effect::LateHolds(delay) => holds = HoldMode::Late(*delay),
            Effect::Cut | Effect::LoseAll | Effect::LoseRequests | Effect::LoseResponses => {}
        }
    }
    worker.set_start_mode(starts);
    worker.set_hold_mode(holds);
    link.cut(effects.contains(&Effect::Cut));
    let has_any = |sought: [Effect; 2]| effects.iter().any(|effect| sought.contains(effect));
    link.lose_bytes(
        has_any([Effect::LoseAll, Effect::LoseRequests]),
        has_any([Effect::LoseAll, Effect::LoseResponses]),
    );
}

/// Returns the entry that was the last to own the cell, according to the entries' logs.
fn current_owner(site: &Site) -> io::Result<Option<usize>> {
    let mut latest = None;
    for (number, entry) in site.entries.iter().enumerate() {
        latest = latest.max(entry.last_epoch()?.map(|epoch| (epoch, number)));
    }
    Ok(latest.map(|(_, number)| number))
}

fn begin_owner_fault(site: &mut Site, entry: usize, fault: &OwnerFault) {
    match fault.kind {
        OwnerFaultKind::Stop => site.entries[entry].signal(Signal::TERM),
        OwnerFaultKind::Kill => site.entries[entry].signal(Signal::KILL),
        OwnerFaultKind::Pause => site.entries[entry].signal(Signal::STOP),
        OwnerFaultKind::Isolate => site.links[entry].cut(true),
    }
}

fn end_owner_fault(site: &mut Site, entry: usize, fault: &OwnerFault) -> io::Result<()> {
    match fault.kind {
        OwnerFaultKind::Stop | OwnerFaultKind::Kill | OwnerFaultKind::Pause => {
            site.entries[entry].ensure_running()
        }
        OwnerFaultKind::Isolate => {
            site.links[entry].cut(false);
            Ok(())
        }
    }
}
