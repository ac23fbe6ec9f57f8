//! The watch of incarnations of workers, which counts their leases as the entry does.

use super::{
    History, LEASE_MS, TICK_MS,
    host::report_of,
    owners::{longest_lease, max_lease_duration},
    unasked::{Call, CallKind, Delivery},
};
use clock::Instant;
use havenladder_jobs::{Loss, Refusal, ResponseOutcome, StartedAtMs, WorkerId};
use rand::Rng;
use std::{mem, time::Duration};

/// Minimum time between two polls, in ms.
const MIN_POLL_INTERVAL_MS: u64 = 20;

/// Time until a worker that did not respond is polled again, and until a stop is resent, in ms.
pub(super) const RETRY_INTERVAL_MS: u64 = 160;

/// Maximum time for which a poll waits, in ms.
const POLL_WAIT_MS: u64 = 300;

/// Time after which a call without a response has failed, in ms.
pub(super) const CALL_TIMEOUT_MS: u64 = 500;

/// Maximum age of the last response at which a poll acknowledges ends, in ms.
const MAX_RESPONSE_AGE_MS: u64 = 200;

/// The contact of the owner with an incarnation of a worker.
pub(super) struct Contact {
    /// Whether the worker's clock is known.
    pub(super) clock: bool,
    pub(super) lease_until: Instant,
    last_answer: Option<u64>,
    /// Whether the last poll was answered, or none has been sent.
    answered: bool,
    poll: Poll,
}

/// The state of the watch of an incarnation.
#[derive(Clone, Copy)]
enum Poll {
    /// The next poll is sent at this time.
    Due(u64),
    /// The response is sent at this time by the incarnation that accepted the poll.
    Accepted {
        sent_at: u64,
        until: u64,
        by: Option<StartedAtMs>,
    },
    /// The poll fails at this time.
    Failing(u64),
}

impl History {
    /// Watches each incarnation that the cell knows.
    pub(super) fn watch_workers(&mut self) {
        let known: Vec<WorkerId> = self.cell.workers.keys().cloned().collect();
        for id in known {
            self.contact(&id);
        }
        let ids: Vec<WorkerId> = self.unasked().contacts.keys().cloned().collect();
        for id in ids {
            self.watch(&id);
        }
    }

    /// Returns the contact with an incarnation, which begins now if there is none.
    pub(super) fn contact(&mut self, id: &WorkerId) -> &mut Contact {
        let now = self.now;
        let unasked = self.unasked();
        let lease_until = unasked.inherited.of(id.name());
        unasked.contacts.entry(id.clone()).or_insert(Contact {
            clock: false,
            lease_until,
            last_answer: None,
            answered: true,
            poll: Poll::Due(now),
        })
    }

    fn watch(&mut self, id: &WorkerId) {
        if self.cell.workers.get(id).is_none() {
            self.abandon(id, Loss::Ended);
            self.unasked().contacts.remove(id);
            return;
        }
        let now = self.now;
        let reached = self.reached(id.name());
        match self.contact(id).poll {
            Poll::Due(at) if at <= now => self.send_poll(id),
            Poll::Accepted { by, .. } if by != reached => {
                // The connection is reset, or the call gets no response.
                let is_reset = reached.is_some() && self.unasked().rng.random_bool(0.5);
                let fails = now + if is_reset { 0 } else { CALL_TIMEOUT_MS };
                self.contact(id).poll = Poll::Failing(fails);
            }
            Poll::Accepted { sent_at, until, .. } if until <= now => {
                self.apply_response(id, sent_at, reached);
            }
            Poll::Failing(at) if at <= now => self.apply_failure(id),
            Poll::Due(_) | Poll::Accepted { .. } | Poll::Failing(_) => {}
        }
    }

    fn send_poll(&mut self, id: &WorkerId) {
        let now = self.now;
        let fence = self.fence_of(id);
        let acknowledged = self.acknowledged.get(id).copied().unwrap_or(0);
        let contact = self.contact(id);
        let recent = contact
            .last_answer
            .is_some_and(|at| now - at < MAX_RESPONSE_AGE_MS);
        let leases = contact.answered && contact.clock && (acknowledged == 0 || recent);
        let deadline = match leases {
            true => self.extend_lease(id),
            false => None,
        };
        let delivery = self.call(Call {
            kind: CallKind::Poll(if leases { acknowledged } else { 0 }),
            worker: id.clone(),
            fence,
            deadline,
        });
        let wait = match leases {
            true => self.unasked().rng.random_range(0..POLL_WAIT_MS),
            false => 0,
        };
        let by = self.reached(id.name());
        let contact = self.contact(id);
        contact.answered &= delivery != Delivery::Refused(Refusal::Fenced);
        contact.poll = match delivery {
            Delivery::Accepted => Poll::Accepted {
                sent_at: now,
                until: now + wait,
                by,
            },
            Delivery::Unanswered => Poll::Failing(now + CALL_TIMEOUT_MS),
            // A call of the same owner has raised the token.
            Delivery::Refused(Refusal::Fenced) => Poll::Due(now + RETRY_INTERVAL_MS),
            Delivery::Refused(_) | Delivery::Unsent => Poll::Failing(now + TICK_MS),
        };
    }

    /// Returns the end of a lease that begins now, if the worker's clock is known.
    pub(super) fn extend_lease(&mut self, id: &WorkerId) -> Option<u64> {
        let now = self.instant();
        let deadline = self.lease_deadline();
        let contact = self.contact(id);
        if !contact.clock {
            return None;
        }
        contact.lease_until = contact.lease_until.max(now + max_lease_duration(LEASE_MS));
        self.cell.record_lease_call(id, now);
        Some(deadline)
    }

    /// Records that an incarnation may have accepted calls until now whose deadlines were meant for another clock.
    fn extend_to_max_lease(&mut self, id: &WorkerId) {
        let leased = self.instant() + longest_lease();
        let former = self.cell.last_effect_of_others(id);
        let contact = self.contact(id);
        contact.lease_until = contact
            .lease_until
            .max(leased)
            .max(former.unwrap_or(leased));
    }

    fn apply_response(&mut self, id: &WorkerId, sent_at: u64, by: Option<StartedAtMs>) {
        let now = self.instant();
        let sent = self.start + Duration::from_millis(sent_at);
        match self.cell.record_response(id, by, sent, now) {
            ResponseOutcome::Same { restarted } => {
                if restarted {
                    self.extend_to_max_lease(id);
                }
                self.apply_polled_report(id, sent);
                let next = self.now + MIN_POLL_INTERVAL_MS;
                let contact = self.contact(id);
                contact.answered = true;
                contact.poll = Poll::Due(next);
            }
            ResponseOutcome::Outdated => {
                let next = self.now + RETRY_INTERVAL_MS;
                let contact = self.contact(id);
                contact.answered = false;
                contact.poll = Poll::Due(next);
            }
            ResponseOutcome::Replaced { next, restarted } => {
                self.contact(&next);
                if restarted {
                    self.extend_to_max_lease(&next);
                }
                self.unasked().contacts.remove(id);
            }
        }
    }

    /// Applies an incarnation's report, and abandons the earlier incarnations that it shows to have ended.
    fn apply_polled_report(&mut self, id: &WorkerId, sent: Instant) {
        let (now, now_ms) = (self.instant(), self.now);
        let longest = now + longest_lease();
        let known = self.unasked().inherited.of_known_answer(id);
        let until = known.map_or(longest, |known| known.min(longest));
        let contact = self.contact(id);
        if contact.last_answer.is_none() {
            contact.lease_until = contact.lease_until.min(until);
        }
        contact.clock = true;
        contact.last_answer = Some(now_ms);
        let report = report_of(&self.hosts[id.name()], self.max_listed_ends, now_ms);
        self.cell.apply_report(id, &report, sent, now);
        let outlived = self.cell.outlived_incarnations(id, sent);
        if !outlived.is_empty() {
            self.contact(id).lease_until = now + longest_lease();
        }
        for ended in outlived {
            self.cell.abandon_worker(&ended, Loss::Ended, now);
        }
        self.record_disproved(id);
    }

    fn apply_failure(&mut self, id: &WorkerId) {
        let now = self.instant();
        let next = self.now + RETRY_INTERVAL_MS;
        let contact = self.contact(id);
        let was_answered = mem::replace(&mut contact.answered, false);
        contact.poll = Poll::Due(next);
        let lapsed = contact.lease_until < now;
        if was_answered {
            self.cell.mark_silent(id, now);
        }
        if lapsed {
            self.release_lapsed(id);
        }
    }

    /// Frees the tasks of a worker whose lease has expired. One that is draining is abandoned, unless a call to it may
    /// still begin a run at another incarnation.
    fn release_lapsed(&mut self, id: &WorkerId) {
        let now = self.instant();
        let former = self.cell.former_incarnations(id);
        let mut incarnations = former.iter().chain([id]);
        let may_begin = incarnations.any(|incarnation| {
            let unreported = self.cell.unreported_until(incarnation);
            unreported.is_some_and(|until| now < until)
        });
        let worker = self.cell.workers.get(id);
        if !may_begin && worker.is_none_or(|worker| worker.info.draining) {
            self.abandon(id, Loss::Lapsed);
            self.unasked().contacts.remove(id);
            return;
        }
        self.cell.expire_lease(id, now);
        for former in self.cell.former_incarnations(id) {
            let unreported = self.cell.unreported_until(&former);
            if unreported.is_none_or(|until| until <= now) {
                self.cell.abandon_worker(&former, Loss::Ended, now);
            }
        }
    }
}
