//! Seeded histories: random jobs, workers that crash, are cut off and answer late, a log that goes
//! away, owners that end. Checked from the workers' side, as the platform would: no two runs of a task
//! at once, none after a noted end, order of steps, attempts, room, and that all ends well.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;

use fixture::{job, step, worker};
use havenladder_jobs::{
    Batch, Cell, Decoded, EndRow, Entry, How, Limits, Need, Order, Refusal, Report, RunId, RunRow,
    Step, TaskId, WorkerId, decode_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use yare::parameterized;

/// Length of a step of the history, in ms.
const TICK: u64 = 20;

/// How long a lease holds, in ms.
const LEASE: u64 = 1_000;

/// How long an owner without a log goes on.
const GRACE: u64 = 1_500;

/// When the troubles end, in ms.
const CALM: u64 = 12_000;

/// When all must be done, in ms.
const END: u64 = 60_000;

struct Running {
    ends: u64,
    fails: bool,
    need: Need,
}

/// A worker as it is, whatever the owner believes.
#[derive(Default)]
struct Host {
    running: BTreeMap<(TaskId, RunId), Running>,
    ended: Vec<EndRow>,
    number: u64,
    noted: u64,
    /// Ends up to this number were listed before a lease ran out: nobody relies on them.
    void: u64,
    leased: u64,
    fence: u64,
    /// The highest run of each task that was stopped or has ended here.
    past: BTreeMap<TaskId, RunId>,
    cut: u64,
}

struct Late {
    at: u64,
    /// Until when a worker takes a start: each carries the end of the lease that it was sent with.
    deadline: u64,
    fence: u64,
    order: Order,
}

struct History {
    rng: StdRng,
    start: Instant,
    now: u64,
    cell: Cell,
    fence: u64,
    began: u64,
    log: BTreeMap<String, Vec<u8>>,
    away: u64,
    /// What an append that has not been answered is to keep, and what follows from it.
    pending: Option<Batch>,
    hosts: BTreeMap<WorkerId, Host>,
    leased: BTreeMap<WorkerId, u64>,
    noted: BTreeMap<WorkerId, u64>,
    late: Vec<Late>,
    lives: u32,
    done: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, u32>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut history = History {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            cell: Cell::new(Limits {
                stop: Duration::from_millis(100),
                ..Limits::default()
            }),
            fence: 1,
            began: 0,
            log: BTreeMap::new(),
            away: 0,
            pending: None,
            hosts: BTreeMap::new(),
            leased: BTreeMap::new(),
            noted: BTreeMap::new(),
            late: Vec::new(),
            lives: 0,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
        };
        (0..4).for_each(|_| history.boot());
        history
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.now < CALM && self.rng.random_ratio(1, one_in)
    }

    fn boot(&mut self) {
        self.lives += 1;
        let id = format!("w{:03}", self.lives);
        self.hosts.insert(id.clone(), Host::default());
        let now = self.instant();
        self.cell.see_worker(worker(&id), now);
    }

    fn step(&mut self) {
        self.now += TICK;
        self.run_hosts();
        self.trouble();
        self.deliver_late();
        self.ask_hosts();
        self.decide();
    }

    /// Runs end, and leases run out.
    fn run_hosts(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut() {
            let lapsed = host.leased < now;
            if lapsed {
                host.void = host.number;
            }
            let over: Vec<_> = host
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.ends <= now)
                .map(|(k, _)| *k)
                .collect();
            for (task, run) in over {
                let state = host.running.remove(&(task, run)).unwrap();
                let how = match (state.ends <= now, state.fails) {
                    (false, _) => How::Lapsed,
                    (true, true) => How::Failed,
                    (true, false) => How::Done,
                };
                end(host, task, run, how);
            }
        }
    }

    fn trouble(&mut self) {
        if self.chance(300) {
            self.away = self.now + self.rng.random_range(200..3_000);
        }
        if self.chance(400) {
            self.take_over();
        }
        if self.chance(200) {
            let place = self.rng.random_range(0..self.hosts.len());
            let until = self.now + self.rng.random_range(200..3_000);
            self.hosts.values_mut().nth(place).unwrap().cut = until;
        }
        if self.chance(300) && self.hosts.len() > 2 {
            let id = self.hosts.keys().next().unwrap().clone();
            self.hosts.remove(&id);
            self.cell.see_worker(
                havenladder_jobs::WorkerInfo {
                    draining: true,
                    ..worker(&id)
                },
                self.instant(),
            );
            self.boot();
        }
        if self.chance(15) {
            self.submit();
        }
    }

    fn submit(&mut self) {
        let id = self.rng.random();
        let mut steps = Vec::new();
        for number in 0..self.rng.random_range(1..4u32) {
            let after = if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            };
            let count = self.rng.random_range(1..4);
            steps.push(Step {
                after,
                ..step(count)
            });
        }
        self.cell.accept(havenladder_jobs::Submission {
            attempts: 50,
            ..job(id, steps)
        });
    }

    /// The owner ends, and another takes what the log holds. An append that was under way may have been
    /// done or not.
    fn take_over(&mut self) {
        if let Some(batch) = self.pending.take()
            && self.rng.random_bool(0.5)
        {
            self.keep(&batch.entries);
        }
        self.fence += 1;
        self.began = self.now;
        self.away = 0;
        let decoded: Vec<Decoded> = self
            .log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        let limits = self.cell.limits.clone();
        self.cell = Cell::new(limits);
        self.cell.load(decoded);
        let expires = self.instant() + Duration::from_millis(GRACE + LEASE);
        self.cell.close_gate(expires, false);
        self.leased.clear();
        self.noted.clear();
        let now = self.instant();
        // The list still names workers that have ended a moment ago, and all that live.
        for id in self.hosts.keys() {
            self.leased.insert(id.clone(), self.now + GRACE + LEASE);
            self.cell.see_worker(worker(id), now);
        }
        self.cell.mark_listed();
    }

    fn keep(&mut self, entries: &[Entry]) {
        for entry in entries {
            match &entry.value {
                Some(value) => self.log.insert(entry.key.clone(), value.clone()),
                None => self.log.remove(&entry.key),
            };
        }
    }

    /// Asks each worker what it runs, which also extends its lease.
    fn ask_hosts(&mut self) {
        if self.now > self.began + GRACE + LEASE {
            let orphans = self.cell.orphaned();
            orphans.iter().for_each(|id| self.cell.lose_worker(id));
        }
        let ids: Vec<WorkerId> = self.cell.workers.keys().cloned().collect();
        for id in ids {
            if self.rng.random_bool(0.5) {
                continue;
            }
            let asked = self.instant();
            let (now, fence) = (self.now, self.fence);
            let noted = self.noted.get(&id).copied().unwrap_or(0);
            let lost = self.chance(20);
            let Some(host) = self.hosts.get_mut(&id) else {
                if self.leased.get(&id).is_none_or(|until| *until < now) {
                    self.cell.lose_worker(&id);
                }
                continue;
            };
            if host.cut > now {
                let lapsed = self.leased.get(&id).is_none_or(|until| *until < now);
                if lapsed {
                    self.cell.lose_worker(&id);
                    self.cell.see_worker(worker(&id), asked);
                }
                continue;
            }
            host.fence = host.fence.max(fence);
            host.leased = host.leased.max(now + LEASE);
            let leased = self.leased.entry(id.clone()).or_default();
            *leased = (*leased).max(now + LEASE);
            if noted > host.noted {
                host.noted = noted;
                let counts = |end: &&EndRow| end.number <= noted && end.number > host.void;
                for end in host.ended.iter().filter(counts) {
                    match end.how {
                        How::Done => drop(self.done.insert(end.task)),
                        How::Failed => *self.failed.entry(end.task).or_default() += 1,
                        _ => {}
                    }
                }
                host.ended.retain(|end| end.number > noted);
            }
            if !lost {
                let report = tell(host, now);
                self.cell.report(&id, &report, asked, asked);
            }
        }
    }

    fn decide(&mut self) {
        let now = self.instant();
        if self.now < self.away {
            self.cell.schedule_unrecorded(now);
        } else {
            self.cell.schedule(now);
        }
        if self.now < self.away {
            // The log is away: only what it holds goes on.
            let starts = self.cell.take_unrecorded();
            self.send(starts);
        } else if let Some(batch) = self.pending.take() {
            self.keep(&batch.entries);
            self.cell.confirm(&batch);
            self.noted.extend(batch.noted);
            self.send(batch.starts);
        } else {
            self.pending = Some(self.cell.take_batch());
        }
        let urgent = self.cell.take_urgent();
        self.send(urgent);
    }

    fn send(&mut self, orders: Vec<Order>) {
        for order in orders {
            if let Order::Start { worker, task, run } = &order
                && !self.cell.confirm_start(worker, *task, *run)
            {
                continue;
            }
            self.deliver(order);
        }
    }

    /// Sends one order: it may be lost, or be carried out late without an answer.
    fn deliver(&mut self, order: Order) {
        let (Order::Start { worker: id, .. } | Order::Stop { worker: id, .. }) = &order else {
            return;
        };
        let cut = self.hosts.get(id).is_none_or(|host| host.cut > self.now);
        let late = self.chance(15);
        if late && !cut {
            let at = self.now + self.rng.random_range(100..4_000);
            self.late.push(Late {
                at,
                deadline: self.now + LEASE,
                fence: self.fence,
                order: order.clone(),
            });
        }
        let now = self.instant();
        match (&order, cut, late) {
            (Order::Start { worker, task, run }, true, _) => {
                self.cell.refused(worker, *task, *run, Refusal::Unwell, now);
            }
            (Order::Start { worker, task, run }, _, true) => self.cell.unsure(worker, *task, *run),
            (Order::Start { worker, task, run }, ..) => {
                match self.carry_out(self.fence, &order) {
                    Ok(()) => self.cell.started(worker, *task, *run, now),
                    Err(why) => self.cell.refused(worker, *task, *run, why, now),
                }
                let leased = self.leased.entry(worker.clone()).or_default();
                *leased = (*leased).max(self.now + LEASE);
            }
            (Order::Stop { worker, task, run }, false, false) => {
                let _ = self.carry_out(self.fence, &order);
                self.cell.stop_answered(worker, *task, *run, now);
            }
            // A stop without an answer is sent again at the next step.
            (Order::Stop { worker, task, run }, ..)
                if self.cell.wants_stop(worker, *task, *run) =>
            {
                self.late.push(Late {
                    at: self.now + 250,
                    deadline: u64::MAX,
                    fence: self.fence,
                    order: order.clone(),
                });
            }
            _ => {}
        }
    }

    fn deliver_late(&mut self) {
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= self.now);
        self.late = rest;
        let due: Vec<Late> = due;
        for late in due {
            let cut = match &late.order {
                Order::Start { worker, .. } | Order::Stop { worker, .. } => self
                    .hosts
                    .get(worker)
                    .is_none_or(|host| host.cut > self.now),
                _ => true,
            };
            if !cut && late.deadline >= self.now {
                let _ = self.carry_out(late.fence, &late.order);
            }
            if let Order::Stop { worker, task, run } = &late.order
                && late.fence == self.fence
                && self.cell.wants_stop(worker, *task, *run)
            {
                match cut {
                    true => self.late.push(Late {
                        at: self.now + 250,
                        ..late
                    }),
                    false => self.cell.stop_answered(worker, *task, *run, self.instant()),
                }
            }
        }
    }

    /// What a worker does about an order, and the checks.
    fn carry_out(&mut self, fence: u64, order: &Order) -> Result<(), Refusal> {
        let (Order::Start {
            worker: id,
            task,
            run,
        }
        | Order::Stop {
            worker: id,
            task,
            run,
        }) = order
        else {
            return Ok(());
        };
        let (task, run) = (*task, *run);
        let Some(host) = self.hosts.get_mut(id) else {
            return Err(Refusal::Unwell);
        };
        if fence < host.fence {
            return Err(Refusal::Fenced);
        }
        host.fence = fence;
        if let Order::Stop { .. } = order {
            let past = host.past.entry(task).or_default();
            *past = (*past).max(run);
            if host.running.remove(&(task, run)).is_some() {
                end(host, task, run, How::Stopped);
            }
            return Ok(());
        }
        if host.running.contains_key(&(task, run)) {
            return Ok(());
        }
        if host.past.get(&task).is_some_and(|past| run <= *past) {
            return Err(Refusal::Old);
        }
        let need = step(1).need;
        let used: u64 = host.running.values().map(|r| r.need.cpu).sum();
        if used + need.cpu > 4_000 {
            return Err(Refusal::Room);
        }
        let ends = self.now + self.rng.random_range(60..1_500);
        let fails = self.rng.random_ratio(1, 20);
        host.leased = host.leased.max(self.now + LEASE);
        host.running
            .insert((task, run), Running { ends, fails, need });
        self.check_start(task, run);
        Ok(())
    }

    fn check_start(&self, task: TaskId, run: RunId) {
        let runs = |host: &Host| host.running.keys().filter(|(t, _)| *t == task).count();
        let count: usize = self.hosts.values().map(runs).sum();
        assert!(
            count <= 1,
            "{task} run {run} at {}: {count} runs at once",
            self.now
        );
        assert!(
            !self.done.contains(&task),
            "{task} run {run} at {}: its end was noted",
            self.now
        );
    }
}

fn end(host: &mut Host, task: TaskId, run: RunId, how: How) {
    host.number += 1;
    let past = host.past.entry(task).or_default();
    *past = (*past).max(run);
    host.ended.push(EndRow {
        number: host.number,
        task,
        run,
        how,
        saved: String::new(),
    });
}

fn tell(host: &Host, now: u64) -> Report {
    let row = |((task, run), state): (&(TaskId, RunId), &Running)| RunRow {
        task: *task,
        run: *run,
        saved: String::new(),
        percent: 100 - (state.ends - now.min(state.ends)).min(1_500) / 15,
        figure: 0,
    };
    Report {
        running: host.running.iter().map(row).collect(),
        ended: host.ended.clone(),
    }
}

/// Plays a history to its end.
fn play(seed: u64) {
    let mut history = History::new(seed);
    while history.now < END {
        history.step();
    }
    let open = history
        .cell
        .jobs
        .values()
        .filter(|job| !job.phase.is_over())
        .count();
    let stuck = history.cell.jobs.values().find(|job| !job.phase.is_over());
    assert_eq!(open, 0, "seed {seed}: jobs are not over, such as {stuck:?}");
    assert!(!history.cell.jobs.is_empty());
}

#[parameterized(
    first = { 0..25 },
    second = { 25..50 },
    third = { 50..75 },
    fourth = { 75..100 },
)]
fn histories_keep_the_promises(seeds: std::ops::Range<u64>) {
    seeds.for_each(play);
}

/// Fresh seeds by hand, or those from `FIRST` on: `HISTORIES=1000 cargo test -p havenladder-jobs --test histories -- --ignored`.
#[test]
#[ignore = "takes minutes; run by hand"]
fn fresh_histories_keep_the_promises() {
    let count = std::env::var("HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200);
    let first: u64 = std::env::var("FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or_else(|| rand::rng().random_range(1_000..1_000_000_000));
    println!("seeds from {first}");
    for seed in first..first + count {
        println!("seed {seed}");
        play(seed);
    }
}
