//! Workers as they are, whatever the owner believes, and the checks on what they run.

use super::{History, LEASE, restarts::HOLD};
use crate::fixture::step;
use havenladder_jobs::{EndRow, Need, Order, Refusal, Report, RunId, RunOutcome, RunRow, TaskId};
use rand::Rng;
use std::collections::BTreeMap;

/// A run on a worker.
pub(super) struct Running {
    pub(super) ends: u64,
    pub(super) fails: bool,
    pub(super) need: Need,
}

/// A worker as it is, whatever the owner believes.
#[derive(Default)]
pub(super) struct Host {
    pub(super) running: BTreeMap<(TaskId, RunId), Running>,
    pub(super) ended: Vec<EndRow>,
    pub(super) number: u64,
    pub(super) noted: u64,
    /// Ends up to this number were listed before a lease ran out: nobody relies on them.
    pub(super) void: u64,
    pub(super) leased: u64,
    pub(super) fence: u64,
    /// Whether this life has answered a question whose fence shuts out calls to the one before.
    pub(super) heard: bool,
    /// The highest run of each task that was stopped or has ended here.
    pub(super) past: BTreeMap<TaskId, RunId>,
    pub(super) cut: u64,
}

impl History {
    /// Runs end, and leases run out.
    pub(super) fn run_hosts(&mut self) {
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
                    (false, _) => RunOutcome::Lapsed,
                    (true, true) => RunOutcome::Failed,
                    (true, false) => RunOutcome::Done,
                };
                end(host, task, run, how);
            }
        }
    }

    /// What a worker does about an order, and the checks.
    pub(super) fn carry_out(
        &mut self,
        fence: u64,
        order: &Order,
        late: bool,
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
        let room = self.room(id);
        let succeeded = self.is_succeeded(id);
        let Some(host) = self.hosts.get_mut(id.name()) else {
            return Err(Refusal::Unwell);
        };
        if fence < host.fence {
            return Err(Refusal::Fenced);
        }
        if late && succeeded && !host.heard {
            // Nobody can shut out what comes to a life before the owner has heard of it and asked it once.
            return Err(Refusal::Late);
        }
        host.fence = fence;
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
        match room {
            Some(room) => assert!(
                late || used + need.cpu <= room,
                "{task} run {run} at {}: {used} of {room} were taken",
                self.now
            ),
            None if used + need.cpu > 4_000 => return Err(Refusal::Room),
            None => {}
        }
        let ends = self.now + self.rng.random_range(60..1_500);
        let fails = self.rng.random_ratio(1, 20);
        // A deadline on the clock of another life may lie far ahead on this one's.
        let lease = if succeeded { HOLD } else { LEASE };
        host.leased = host.leased.max(self.now + lease);
        host.running
            .insert((task, run), Running { ends, fails, need });
        self.note_fatal_start(id, task);
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
            "{task} run {run} at {}: its end was noted",
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

pub(super) fn tell(host: &Host, now: u64) -> Report {
    let row = |((task, run), state): (&(TaskId, RunId), &Running)| RunRow {
        task: *task,
        run: *run,
        saved: String::new(),
        percent: 100 - (state.ends - now.min(state.ends)).min(1_500) / 15,
        measurement: 0,
    };
    Report {
        running: host.running.iter().map(row).collect(),
        ended: host.ended.clone(),
    }
}
