//! Processes the responses to orders that start or stop runs.

use crate::{Cell, Order, Refusal, RunId, RunPhase, TaskId, worker::RunState};
use clock::Instant;
use std::time::Duration;

/// The time for which a worker gets no new runs after it refused one for lack of capacity. Its own view of
/// its capacity is at most one report ahead of the owner's.
const FULL_EXCLUSION: Duration = Duration::from_millis(200);

/// The time for which a worker gets no new runs after it was unhealthy, refused a connection, or has not
/// reported its clock.
const UNHEALTHY_EXCLUSION: Duration = Duration::from_millis(1_000);

impl Cell {
    /// Returns whether a start whose record is durable is still to be sent, and marks it as sent. Withdraws
    /// it otherwise.
    pub fn prepare_start(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) -> bool {
        if self.is_over_bound(task) {
            self.withdraw_starts(task);
        }
        let current = self.is_current(worker, task, run);
        let Some(host) = self.workers.get_mut(worker) else {
            return false;
        };
        // The worker's capacity may have shrunk since the start was decided.
        let fits = host.used.is_within(host.info.capacity);
        let open = host.may_start() && fits;
        if let Some(state) = host.runs.get_mut(&(task, run))
            && current
            && open
            && state.phase == RunPhase::Ordered
        {
            state.sent_at.get_or_insert(now);
            host.called_at = Some(now);
            return true;
        }
        host.remove(task, run);
        if current {
            self.requeue(task);
        }
        false
    }

    /// Records that the worker has accepted a start.
    pub fn start_accepted(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        state.answered_at = Some(now);
        state.progressed_at = now;
        state.confirmed = true;
        if state.phase == RunPhase::Ordered {
            state.phase = RunPhase::Running;
        }
        self.mark_begun(task.job);
    }

    /// Records that the worker has refused a start, so that the run does not exist.
    pub fn start_refused(
        &mut self,
        worker: &str,
        task: TaskId,
        run: RunId,
        why: Refusal,
        now: Instant,
    ) {
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        if host.remove(task, run).is_none() {
            return;
        }
        match why {
            Refusal::Room => host.excluded_until = Some(now + FULL_EXCLUSION),
            Refusal::Unwell => host.excluded_until = Some(now + UNHEALTHY_EXCLUSION),
            Refusal::Ticket => self.drop_permit(task, worker),
            Refusal::Fenced | Refusal::Old | Refusal::Late | Refusal::Invalid => {}
        }
        if self.is_current(worker, task, run) {
            self.requeue(task);
        }
    }

    /// Records that a start got no response: the run may exist, or begin later. Orders it to stop, after
    /// which the worker refuses the start for good.
    pub fn unacked(&mut self, worker: &str, task: TaskId, run: RunId) {
        self.stop_run(worker, task, run);
    }

    /// Orders a run to stop, unless it has been ordered to already.
    pub(crate) fn stop_run(&mut self, worker: &str, task: TaskId, run: RunId) {
        let Some(state) = self.run_mut(worker, task, run) else {
            return;
        };
        if state.phase != RunPhase::Stopping {
            self.order_stop(worker, task, run);
        }
    }

    /// Orders a run to stop, even if it has been ordered to before.
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

    /// Records that the worker has accepted a stop. A report requested after the stop timeout shows whether
    /// the run is gone.
    pub fn stop_accepted(&mut self, worker: &str, task: TaskId, run: RunId, now: Instant) {
        let stop = self.limits.stop_timeout;
        if let Some(state) = self.run_mut(worker, task, run) {
            state.answered_at = Some(now + stop);
        }
    }

    /// Returns whether a stop is still to be sent.
    pub fn is_stopping(&self, worker: &str, task: TaskId, run: RunId) -> bool {
        let state = self
            .workers
            .get(worker)
            .and_then(|w| w.runs.get(&(task, run)));
        state.is_some_and(|s| s.phase == RunPhase::Stopping)
    }

    /// Returns the state of a run on a worker.
    pub(crate) fn run_mut(
        &mut self,
        worker: &str,
        task: TaskId,
        run: RunId,
    ) -> Option<&mut RunState> {
        self.workers.get_mut(worker)?.runs.get_mut(&(task, run))
    }
}
