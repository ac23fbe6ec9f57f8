//! Starts and stops that owners send as the entry does.

use super::{
    History, TICK_MS,
    unasked::{Call, CallKind, Delivery},
    watch::{CALL_TIMEOUT_MS, RETRY_INTERVAL_MS},
};
use havenladder_jobs::{Order, Refusal, RunId, TaskId, WorkerId};
use rand::Rng;

/// A start without a response, whose outcome becomes known later.
pub(super) struct StartOutcome {
    at: u64,
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

/// A stop that is to be sent.
pub(super) struct Stop {
    at: u64,
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

impl History {
    /// Sends the orders of the owner.
    pub(super) fn send_calls(&mut self, orders: Vec<Order>) {
        let at = self.now;
        for order in orders {
            match order {
                Order::Start { worker, task, run } => self.send_start(&worker, task, run),
                Order::Stop { worker, task, run } => self.unasked().stops.push(Stop {
                    at,
                    worker,
                    task,
                    run,
                }),
                Order::RequestPermits { .. } | Order::Pace { .. } => {}
            }
        }
    }

    fn send_start(&mut self, worker: &WorkerId, task: TaskId, run: RunId) {
        let now = self.instant();
        if !self.cell.prepare_start(worker, task, run, now) {
            return;
        }
        let host = self.cell.workers.get(worker);
        if host.is_none_or(|host| !host.responsive) {
            return self
                .cell
                .start_refused(worker, task, run, Refusal::Late, now);
        }
        let Some(deadline) = self.extend_lease(worker) else {
            return self
                .cell
                .start_refused(worker, task, run, Refusal::Unwell, now);
        };
        self.record_sent(worker.name(), task);
        let fence = self.fence_of(worker);
        let order = Order::Start {
            worker: worker.clone(),
            task,
            run,
        };
        let delivery = self.call(Call {
            kind: CallKind::Order(order),
            worker: worker.clone(),
            fence,
            deadline: Some(deadline),
        });
        match delivery {
            Delivery::Accepted => {
                self.contact(worker).clock = true;
                self.cell.start_accepted(worker, task, run, now);
            }
            Delivery::Refused(Refusal::Fenced) => self.cell.unacked(worker, task, run),
            Delivery::Refused(why) => self.cell.start_refused(worker, task, run, why, now),
            Delivery::Unsent => {
                self.cell.mark_silent(worker, now);
                self.cell
                    .start_refused(worker, task, run, Refusal::Unwell, now);
            }
            Delivery::Unanswered => {
                let at = self.now + self.unasked().rng.random_range(TICK_MS..CALL_TIMEOUT_MS);
                self.unasked().outcomes.push(StartOutcome {
                    at,
                    worker: worker.clone(),
                    task,
                    run,
                });
            }
        }
    }

    /// Applies the outcomes of starts that have got no response.
    pub(super) fn apply_start_outcomes(&mut self) {
        let (now, at) = (self.now, self.instant());
        let due = self
            .unasked()
            .outcomes
            .extract_if(.., |start| start.at <= now);
        let due: Vec<StartOutcome> = due.collect();
        for StartOutcome {
            worker, task, run, ..
        } in due
        {
            self.cell.mark_silent(&worker, at);
            self.cell.unacked(&worker, task, run);
        }
    }

    /// Sends stops until their workers have accepted them.
    pub(super) fn send_stops(&mut self) {
        let (now, at) = (self.now, self.instant());
        let due = self.unasked().stops.extract_if(.., |stop| stop.at <= now);
        let due: Vec<Stop> = due.collect();
        for stop in due {
            let (worker, task, run) = (&stop.worker, stop.task, stop.run);
            if !self.cell.is_stopping(worker, task, run) {
                continue;
            }
            let order = Order::Stop {
                worker: worker.clone(),
                task,
                run,
            };
            let fence = self.fence_of(worker);
            let delivery = self.call(Call {
                kind: CallKind::Order(order),
                worker: worker.clone(),
                fence,
                deadline: None,
            });
            if delivery == Delivery::Accepted {
                self.cell.stop_accepted(worker, task, run, at);
                continue;
            }
            let at = now + RETRY_INTERVAL_MS;
            self.unasked().stops.push(Stop { at, ..stop });
        }
    }
}
