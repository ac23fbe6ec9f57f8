//! Simulated calls to workers, which may be lost or arrive late.

use super::{History, LEASE_MS, LOG_OUTAGE_LIMIT_MS, host::report_of, restarts::MAX_LEASE_MS};
use havenladder_jobs::{EndRow, Loss, Order, Refusal, ResponseOutcome, RunOutcome, WorkerId};
use rand::Rng;

/// An order that arrives late.
pub(super) struct LateOrder {
    pub(super) at: u64,
    /// Time until which the worker accepts a start: each start carries the end of the lease with which it was sent.
    pub(super) deadline: u64,
    pub(super) fence: u64,
    pub(super) order: Order,
}

impl History {
    /// Polls workers for their reports, which also extends their leases. A worker is skipped in half of the steps.
    pub(super) fn poll_hosts(&mut self) {
        if self.now > self.owner_since + LOG_OUTAGE_LIMIT_MS + self.lease() {
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
            let polled_at = self.instant();
            let (now, fence) = (self.now, self.fence_of(&id));
            let (started_at, succeeded) = (self.started_at(id.name()), self.is_succeeded(&id));
            let acknowledged = self.acknowledged.get(&id).copied().unwrap_or(0);
            let response_lost = self.draw_fault(20);
            if self.crashing_tasks.is_some() && !self.hosts.contains_key(id.name()) {
                self.cell.mark_silent(&id, polled_at);
            }
            let Some(host) = self.hosts.get_mut(id.name()) else {
                if self.leased.get(&id).is_none_or(|until| *until < now) {
                    self.abandon(&id, Loss::Ended);
                }
                continue;
            };
            if host.unreachable_until > now {
                if self.restarts.is_some() {
                    self.cell.mark_silent(&id, polled_at);
                }
                let lapsed = self.leased.get(&id).is_none_or(|until| *until < now);
                if lapsed && (self.crashing_tasks.is_some() || self.restarts.is_some()) {
                    self.cell.mark_silent(&id, polled_at);
                    self.cell.expire_lease(&id, polled_at);
                    for former in self.cell.former_incarnations(&id) {
                        self.cell.abandon_worker(&former, Loss::Ended, polled_at);
                    }
                } else if lapsed {
                    self.cell.abandon_worker(&id, Loss::Lapsed, polled_at);
                    self.cell.upsert_worker(self.entry(&id), polled_at);
                }
                continue;
            }
            if fence < host.fence {
                continue;
            }
            host.fence = fence;
            let lease = if succeeded { MAX_LEASE_MS } else { LEASE_MS };
            host.leased = host.leased.max(now + lease);
            // The first of two polls shows which incarnation responds; only the second acknowledges durable ends.
            match self
                .cell
                .record_response(&id, started_at, polled_at, polled_at)
            {
                ResponseOutcome::Same { restarted: false } => host.polled = true,
                ResponseOutcome::Same { restarted: true } => {
                    self.leased.insert(id.clone(), now + MAX_LEASE_MS);
                }
                ResponseOutcome::Outdated => continue,
                ResponseOutcome::Replaced { next, .. } => {
                    self.leased.insert(next, now + MAX_LEASE_MS);
                    continue;
                }
            }
            let leased = self.leased.entry(id.clone()).or_default();
            *leased = (*leased).max(now + LEASE_MS);
            let ends = host.acknowledge(acknowledged);
            self.record_ends(&ends);
            if !response_lost && let Some(host) = self.hosts.get(id.name()) {
                let report = report_of(host, self.max_listed_ends, now);
                self.cell.apply_report(&id, &report, polled_at, polled_at);
                let outlived = self.cell.outlived_incarnations(&id, polled_at);
                if !outlived.is_empty() {
                    // Only from this poll on does the worker refuse calls that were meant for them.
                    self.leased.insert(id.clone(), now + MAX_LEASE_MS);
                }
                for ended in outlived {
                    self.cell.abandon_worker(&ended, Loss::Ended, polled_at);
                }
            }
        }
    }

    /// Records ends that workers forget because they are durable.
    pub(super) fn record_ends(&mut self, ends: &[EndRow]) {
        for end in ends {
            match end.how {
                RunOutcome::Done => drop(self.done.insert(end.task)),
                RunOutcome::Failed => *self.failed.entry(end.task).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Abandons an incarnation of a worker and all earlier ones.
    pub(super) fn abandon(&mut self, id: &WorkerId, loss: Loss) {
        let now = self.instant();
        let former = self.cell.former_incarnations(id);
        self.cell.abandon_worker(id, loss, now);
        for incarnation in former {
            self.cell.abandon_worker(&incarnation, Loss::Ended, now);
        }
    }

    pub(super) fn send(&mut self, orders: Vec<Order>) {
        if self.unasked.is_some() {
            return self.send_calls(orders);
        }
        let now = self.instant();
        for order in orders {
            if let Order::Start { worker, task, run } = &order
                && !self.cell.prepare_start(worker, *task, *run, now)
            {
                continue;
            }
            if let Order::Start { worker, task, .. } = &order {
                self.record_sent(worker.name(), *task);
            }
            self.deliver(order);
        }
    }

    /// Sends one order, which may be lost, or arrive late without a response.
    fn deliver(&mut self, order: Order) {
        let (Order::Start { worker: id, .. } | Order::Stop { worker: id, .. }) = &order else {
            return;
        };
        let fence = self.fence_of(id);
        let unreachable = self
            .hosts
            .get(id.name())
            .is_none_or(|host| host.unreachable_until > self.now);
        let late = self.draw_fault(15);
        if late && !unreachable {
            let at = self.now + self.rng.random_range(100..4_000);
            self.late.push(LateOrder {
                at,
                deadline: self.now + LEASE_MS,
                fence,
                order: order.clone(),
            });
        }
        let now = self.instant();
        match (&order, unreachable, late) {
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
                *leased = (*leased).max(self.now + LEASE_MS);
            }
            (Order::Stop { worker, task, run }, false, false) => {
                let _ = self.carry_out(fence, &order, false);
                self.cell.stop_accepted(worker, *task, *run, now);
            }
            // A stop without a response is sent again after 250 ms.
            (Order::Stop { worker, task, run }, ..)
                if self.cell.is_stopping(worker, *task, *run) =>
            {
                self.late.push(LateOrder {
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
        let due: Vec<LateOrder> = due;
        for late in due {
            let unreachable = match &late.order {
                Order::Start { worker, .. } | Order::Stop { worker, .. } => self
                    .hosts
                    .get(worker.name())
                    .is_none_or(|host| host.unreachable_until > self.now),
                _ => true,
            };
            if !unreachable && late.deadline >= self.now {
                let _ = self.carry_out(late.fence, &late.order, true);
            }
            if let Order::Stop { worker, task, run } = &late.order
                && late.fence >> 20 == self.fence
                && self.cell.is_stopping(worker, *task, *run)
            {
                match unreachable {
                    true => self.late.push(LateOrder {
                        at: self.now + 250,
                        ..late
                    }),
                    false => self.cell.stop_accepted(worker, *task, *run, self.instant()),
                }
            }
        }
    }
}
