//! The actual state of simulated workers, independent of what the owner knows, and the checks on their runs.

use super::{History, LEASE_MS, restarts::MAX_LEASE_MS, unasked::Unasked};
use crate::fixture::step;
use havenladder_jobs::{EndRow, Need, Order, Refusal, Report, RunId, RunOutcome, RunRow, TaskId};
use rand::Rng;
use std::{collections::BTreeMap, mem};

/// A run on a simulated worker.
pub(super) struct Running {
    pub(super) ends: u64,
    pub(super) fails: bool,
    pub(super) need: Need,
}

/// The actual state of a simulated worker, independent of what the owner knows.
#[derive(Default)]
pub(super) struct Host {
    pub(super) running: BTreeMap<(TaskId, RunId), Running>,
    pub(super) ended: Vec<EndRow>,
    pub(super) number: u64,
    pub(super) acknowledged: u64,
    /// Highest number of an end that was listed before a lease expired. Ends up to this number are not relied on.
    pub(super) voided: u64,
    pub(super) leased: u64,
    pub(super) fence: u64,
    /// Whether this incarnation has responded to a poll whose fence rejects calls to the previous one.
    pub(super) polled: bool,
    /// The highest run number of each task that was stopped or has ended on this worker.
    pub(super) past: BTreeMap<TaskId, RunId>,
    pub(super) unreachable_until: u64,
    /// Time from which on the process of this incarnation is running.
    pub(super) starts_at: u64,
}

impl Host {
    /// Forgets the ends up to this number. Returns those that it had listed while its lease held.
    pub(super) fn acknowledge(&mut self, number: u64) -> Vec<EndRow> {
        if number <= self.acknowledged {
            return Vec::new();
        }
        self.acknowledged = number;
        let voided = self.voided;
        let (ends, kept): (Vec<EndRow>, Vec<EndRow>) = mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= number);
        self.ended = kept;
        ends.into_iter().filter(|end| end.number > voided).collect()
    }
}

impl History {
    /// Ends the runs that are due or whose worker's lease has expired.
    pub(super) fn end_due_runs(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut() {
            let lapsed = host.leased < now;
            if lapsed {
                host.voided = host.number;
            }
            let ended_runs: Vec<_> = host
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.ends <= now)
                .map(|(k, _)| *k)
                .collect();
            for (task, run) in ended_runs {
                let state = host.running.remove(&(task, run)).unwrap();
                let how = match (state.ends <= now, state.fails) {
                    (false, _) => RunOutcome::Lapsed,
                    (true, true) => RunOutcome::Failed,
                    (true, false) => RunOutcome::Done,
                };
                end(host, task, run, how);
            }
        }
    }

    /// Carries out an order on its worker and checks the invariants. Returns a refusal if the worker rejects the order.
    pub(super) fn carry_out(
        &mut self,
        fence: u64,
        order: &Order,
        late: bool,
    ) -> Result<(), Refusal> {
        let (Order::Start { worker: id, .. } | Order::Stop { worker: id, .. }) = order else {
            return Ok(());
        };
        let succeeded = self.is_succeeded(id);
        let Some(host) = self.hosts.get_mut(id.name()) else {
            return Err(Refusal::Unwell);
        };
        if fence < host.fence {
            return Err(Refusal::Fenced);
        }
        if late && succeeded && !host.polled {
            // A late call to an incarnation that the owner has not polled yet cannot be fenced.
            return Err(Refusal::Late);
        }
        host.fence = fence;
        // A deadline that was set for the clock of another incarnation may be far in the future of this one's clock.
        let lease = if succeeded { MAX_LEASE_MS } else { LEASE_MS };
        self.apply_order(order, late, self.now + lease)
    }

    /// Applies an order that its worker does not refuse for its fence. A start extends the worker's lease.
    pub(super) fn apply_order(
        &mut self,
        order: &Order,
        late: bool,
        leased: u64,
    ) -> Result<(), Refusal> {
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
        let capacity = self.unenforced_capacity(id);
        let Some(host) = self.hosts.get_mut(id.name()) else {
            return Err(Refusal::Unwell);
        };
        if let Order::Stop { .. } = order {
            let past = host.past.entry(task).or_default();
            *past = (*past).max(run);
            if host.running.remove(&(task, run)).is_some() {
                end(host, task, run, RunOutcome::Stopped);
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
        match capacity {
            Some(capacity) => assert!(
                late || used + need.cpu <= capacity,
                "{task} run {run} at {}: {used} of {capacity} were taken",
                self.now
            ),
            None if used + need.cpu > 4_000 => return Err(Refusal::Room),
            None => {}
        }
        let lasts = self.rng.random_range(60..1_500);
        let fails = self.rng.random_ratio(1, 20);
        let now = self.now;
        let length = |unasked: &mut Unasked| unasked.draw_length(now, lasts);
        let ends = now + self.unasked.as_mut().map_or(lasts, length);
        host.leased = host.leased.max(leased);
        host.running
            .insert((task, run), Running { ends, fails, need });
        self.record_crashing_start(id, task);
        self.check_start(task, run);
        self.check_bound(task.job);
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
            "{task} run {run} at {}: its end was acknowledged before",
            self.now
        );
    }
}

fn end(host: &mut Host, task: TaskId, run: RunId, how: RunOutcome) {
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

/// Returns what a worker reports of its runs, with at most `max_ends` ends.
pub(super) fn report_of(host: &Host, max_ends: usize, now: u64) -> Report {
    let row = |((task, run), state): (&(TaskId, RunId), &Running)| RunRow {
        task: *task,
        run: *run,
        saved: String::new(),
        percent: 100 - (state.ends - now.min(state.ends)).min(1_500) / 15,
        measurement: 0,
    };
    Report {
        running: host.running.iter().map(row).collect(),
        ended: host.ended.iter().take(max_ends).cloned().collect(),
        more_ends: host.ended.len() >= max_ends,
    }
}
