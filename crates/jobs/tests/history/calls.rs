//! Calls to workers, which may be lost, or be carried out late.

use super::{GRACE, History, LEASE, host::tell, restarts::HOLD};
use havenladder_jobs::{AnswerOutcome, EndRow, Loss, Order, Refusal, RunOutcome, WorkerId};
use rand::Rng;

/// An order that is carried out late.
pub(super) struct Late {
    pub(super) at: u64,
    /// Until when a worker takes a start: each carries the end of the lease that it was sent with.
    pub(super) deadline: u64,
    pub(super) fence: u64,
    pub(super) order: Order,
}

impl History {
    /// Asks each worker what it runs, which also extends its lease.
    pub(super) fn ask_hosts(&mut self) {
        if self.now > self.began + GRACE + self.lease() {
            let orphans = self.cell.orphaned_workers();
            let now = self.instant();
            for id in orphans {
                self.cell.abandon_worker(&id, Loss::Ended, now);
            }
        }
        let ids: Vec<WorkerId> = self.cell.workers.keys().cloned().collect();
        for id in ids {
            if self.rng.random_bool(0.5) {
                continue;
            }
            let asked = self.instant();
            let (now, fence) = (self.now, self.fence_of(&id));
            let (born, succeeded) = (self.born(id.name()), self.is_succeeded(&id));
            let noted = self.noted.get(&id).copied().unwrap_or(0);
            let lost = self.chance(20);
            if self.fatal.is_some() && !self.hosts.contains_key(id.name()) {
                self.cell.mark_silent(&id, asked);
            }
            let Some(host) = self.hosts.get_mut(id.name()) else {
                if self.leased.get(&id).is_none_or(|until| *until < now) {
                    self.lose(&id, Loss::Ended);
                }
                continue;
            };
            if host.cut > now {
                if self.restarts.is_some() {
                    self.cell.mark_silent(&id, asked);
                }
                let lapsed = self.leased.get(&id).is_none_or(|until| *until < now);
                if lapsed && (self.fatal.is_some() || self.restarts.is_some()) {
                    self.cell.mark_silent(&id, asked);
                    self.cell.expire_lease(&id, asked);
                    for former in self.cell.former_incarnations(&id) {
                        self.cell.abandon_worker(&former, Loss::Ended, asked);
                    }
                } else if lapsed {
                    self.cell.abandon_worker(&id, Loss::Lapsed, asked);
                    self.cell.upsert_worker(self.entry(&id), asked);
                }
                continue;
            }
            if fence < host.fence {
                continue;
            }
            host.fence = fence;
            let lease = if succeeded { HOLD } else { LEASE };
            host.leased = host.leased.max(now + lease);
            // The first of two questions tells which life answers; only the second tells which ends are durable.
            match self.cell.record_response(&id, born, asked, asked) {
                AnswerOutcome::Same { restarted: false } => host.heard = true,
                AnswerOutcome::Same { restarted: true } => {
                    self.leased.insert(id.clone(), now + HOLD);
                }
                AnswerOutcome::Outdated => continue,
                AnswerOutcome::Replaced { next, .. } => {
                    self.leased.insert(next, now + HOLD);
                    continue;
                }
            }
            let leased = self.leased.entry(id.clone()).or_default();
            *leased = (*leased).max(now + LEASE);
            if noted > host.noted {
                host.noted = noted;
                let counts = |end: &&EndRow| end.number <= noted && end.number > host.void;
                for end in host.ended.iter().filter(counts) {
                    match end.how {
                        RunOutcome::Done => drop(self.done.insert(end.task)),
                        RunOutcome::Failed => *self.failed.entry(end.task).or_default() += 1,
                        _ => {}
                    }
                }
                host.ended.retain(|end| end.number > noted);
            }
            if !lost {
                let report = tell(host, now);
                self.cell.apply_report(&id, &report, asked, asked);
                for over in self.cell.outlived_incarnations(&id, asked) {
                    self.cell.abandon_worker(&over, Loss::Ended, asked);
                }
            }
        }
    }

    /// Gives a life of a worker up, and those before it.
    fn lose(&mut self, id: &WorkerId, loss: Loss) {
        let now = self.instant();
        let former = self.cell.former_incarnations(id);
        self.cell.abandon_worker(id, loss, now);
        for life in former {
            self.cell.abandon_worker(&life, Loss::Ended, now);
        }
    }

    pub(super) fn send(&mut self, orders: Vec<Order>) {
        let now = self.instant();
        for order in orders {
            if let Order::Start { worker, task, run } = &order
                && !self.cell.prepare_start(worker, *task, *run, now)
            {
                continue;
            }
            if let Order::Start { worker, task, .. } = &order {
                self.note_sent(worker.name(), *task);
            }
            self.deliver(order);
        }
    }

    /// Sends one order: it may be lost, or be carried out late without an answer.
    fn deliver(&mut self, order: Order) {
        let (Order::Start { worker: id, .. } | Order::Stop { worker: id, .. }) = &order else {
            return;
        };
        let fence = self.fence_of(id);
        let cut = self
            .hosts
            .get(id.name())
            .is_none_or(|host| host.cut > self.now);
        let late = self.chance(15);
        if late && !cut {
            let at = self.now + self.rng.random_range(100..4_000);
            self.late.push(Late {
                at,
                deadline: self.now + LEASE,
                fence,
                order: order.clone(),
            });
        }
        let now = self.instant();
        match (&order, cut, late) {
            (Order::Start { worker, task, run }, true, _) => {
                self.cell
                    .start_refused(worker, *task, *run, Refusal::Unwell, now);
            }
            (Order::Start { worker, task, run }, _, true) => self.cell.unacked(worker, *task, *run),
            (Order::Start { worker, task, run }, ..) => {
                match self.carry_out(fence, &order, false) {
                    Ok(()) => self.cell.start_accepted(worker, *task, *run, now),
                    Err(why) => self.cell.start_refused(worker, *task, *run, why, now),
                }
                let leased = self.leased.entry(worker.clone()).or_default();
                *leased = (*leased).max(self.now + LEASE);
            }
            (Order::Stop { worker, task, run }, false, false) => {
                let _ = self.carry_out(fence, &order, false);
                self.cell.stop_accepted(worker, *task, *run, now);
            }
            // A stop without an answer is sent again at the next step.
            (Order::Stop { worker, task, run }, ..)
                if self.cell.is_stopping(worker, *task, *run) =>
            {
                self.late.push(Late {
                    at: self.now + 250,
                    deadline: u64::MAX,
                    fence,
                    order: order.clone(),
                });
            }
            _ => {}
        }
    }

    pub(super) fn deliver_late(&mut self) {
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= self.now);
        self.late = rest;
        let due: Vec<Late> = due;
        for late in due {
            let cut = match &late.order {
                Order::Start { worker, .. } | Order::Stop { worker, .. } => self
                    .hosts
                    .get(worker.name())
                    .is_none_or(|host| host.cut > self.now),
                _ => true,
            };
            if !cut && late.deadline >= self.now {
                let _ = self.carry_out(late.fence, &late.order, true);
            }
            if let Order::Stop { worker, task, run } = &late.order
                && late.fence >> 20 == self.fence
                && self.cell.is_stopping(worker, *task, *run)
            {
                match cut {
                    true => self.late.push(Late {
                        at: self.now + 250,
                        ..late
                    }),
                    false => self.cell.stop_accepted(worker, *task, *run, self.instant()),
                }
            }
        }
    }
}
