//! What becomes of the orders to start and to stop runs.

use crate::{Cell, Order, Refusal, RunId, RunPhase, TaskId, worker::RunState};
use clock::Instant;
use std::time::Duration;

/// For how long a worker gets no new runs after it refused one for want of room: its own count of its
/// room is ahead of ours by one report at the most.
const FULL: Duration = Duration::from_millis(200);

/// For how long a worker gets no new runs after it was not well, took no connection, or has not told
/// its clock.
const UNWELL: Duration = Duration::from_millis(1_000);

impl Cell {
    /// Whether a start whose record is durable is still to be sent. One that is not is taken back.
    pub fn confirm_start(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) -> bool {
        if self.is_over_bound(task) {
            self.take_back(task);
        }
        let current = self.is_current(worker, task, run);
        let Some(host) = self.workers.get_mut(worker) else {
            return false;
        };
        // Its room may have shrunk since the start was decided.
        let fits = host.used.is_within(host.info.capacity);
        let open = host.may_start() && fits;
        if let Some(state) = host.runs.get_mut(&(task, run))
            && current
            && open
            && state.phase == RunPhase::Ordered
        {
            state.sent_at.get_or_insert(now);
            return true;
        }
        host.remove(task, run);
        if current {
            self.requeue(task);
        }
        false
    }

    /// The worker has taken a start.
    pub fn started(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        state.answered_at = Some(now);
        state.progressed_at = now;
        state.confirmed = true;
        if state.phase == RunPhase::Ordered {
            state.phase = RunPhase::Running;
        }
        self.note_begun(task.job);
    }

    /// The worker has refused a start; nothing runs there because of it.
    pub fn refused(&mut self, worker: &str, task: TaskId, run: RunId, why: Refusal, now: Instant) {
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        if host.remove(task, run).is_none() {
            return;
        }
        match why {
            Refusal::Room => host.excluded_until = Some(now + FULL),
            Refusal::Unwell => host.excluded_until = Some(now + UNWELL),
            Refusal::Ticket => self.drop_permit(task, worker),
            Refusal::Fenced | Refusal::Old | Refusal::Late | Refusal::Invalid => {}
        }
        if self.is_current(worker, task, run) {
            self.requeue(task);
        }
    }

    /// A start has had no answer: the run may be there, or may come later. It is told to stop,
    /// after which the worker refuses it for good.
    pub fn unsure(&mut self, worker: &str, task: TaskId, run: RunId) {
        self.stop_run(worker, task, run);
    }

    /// Has a run stopped, unless that is under way.
    pub(crate) fn stop_run(&mut self, worker: &str, task: TaskId, run: RunId) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        if state.phase != RunPhase::Stopping {
            self.order_stop(worker, task, run);
        }
    }

    /// Has a run told to stop, also where it was told before.
    pub(crate) fn order_stop(&mut self, worker: &str, task: TaskId, run: RunId) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        state.phase = RunPhase::Stopping;
        state.answered_at = None;
        self.urgent.push(Order::Stop {
            worker: worker.into(),
            task,
            run,
        });
    }

    /// The worker has taken a stop: once it had its time, a report tells whether the run is gone.
    pub fn stop_answered(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) {
        let stop = self.limits.stop;
        if let Some(state) = self.run_mut(worker, task, run) {
            state.answered_at = Some(now + stop);
        }
    }

    /// Whether a stop is still to be sent.
    pub fn wants_stop(&self, worker: &str, task: TaskId, run: RunId) -> bool {
        let state = self
            .workers
            .get(worker)
            .and_then(|w| w.runs.get(&(task, run)));
        state.is_some_and(|s| s.phase == RunPhase::Stopping)
    }

    /// What is known of a run on a worker.
    pub(crate) fn run_mut(
        &mut self,
        worker: &str,
        task: TaskId,
        run: RunId,
    ) -> Option<&mut RunState> {
        self.workers.get_mut(worker)?.runs.get_mut(&(task, run))
    }
}
