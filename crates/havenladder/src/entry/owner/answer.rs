//! Answers what callers ask, once it is durable.

use super::Owner;
use crate::entry::inner::{Ask, News, Tell};
use fleet::{MilliCpu, outranks};
use jobs::{Accepted, Cancelled, JobId, Phase, Submission};
use std::{rc::Rc, time::Duration};
use tracing::info;

/// How long an append may take before new jobs are refused at once: the store is away.
const AWAY: Duration = Duration::from_millis(500);

impl Owner {
    /// Answers a question of an entry.
    pub async fn answer(self: &Rc<Self>, ask: Ask) -> Tell {
        while !self.loaded.get() {
            if !self.is_alive() {
                return Tell::NotOwner;
            }
            self.settled.notified().await;
        }
        match ask {
            Ask::Submit(given) => self.submit(given).await,
            Ask::Cancel(id) => self.cancel(id).await,
            Ask::State(id) => self.state(id).await,
            Ask::News { .. } | Ask::Outage | Ask::Life | Ask::HandOver { .. } => {
                Tell::News(News::default())
            }
            Ask::Pending(queue) => Tell::Pending(self.cell.borrow().pending(&queue)),
        }
    }

    /// Hands the cell over to an entry that is much stronger, unless there is trouble: the lease's duty
    /// releases it.
    pub fn hand_over(&self, cpu: MilliCpu) -> Tell {
        let calm = self.loaded.get() && self.is_certain() && !self.has_waited(AWAY);
        if !calm || !outranks(cpu, self.node.settings.cpu) {
            return Tell::Refused;
        }
        self.successor.set(Some(cpu));
        self.lease_due.notify_one();
        Tell::HandedOver
    }

    /// Takes a job in; one that it has is not refused, also while the store is away.
    async fn submit(self: &Rc<Self>, given: Submission) -> Tell {
        let id = given.id;
        let job = format!("{id:016x}");
        if self.has_waited(AWAY) && !self.cell.borrow().jobs.contains_key(&id) {
            info!(job, "refused: the store is away");
            return Tell::Refused;
        }
        let accepted = self.cell.borrow_mut().accept(given);
        self.wake();
        if self.durable(id).await.is_none() {
            return Tell::Unsure;
        }
        info!(job, new = accepted == Accepted::New, "accepted");
        Tell::Accepted
    }

    /// Cancels a job.
    async fn cancel(self: &Rc<Self>, id: JobId) -> Tell {
        let cancelled = self.cell.borrow_mut().cancel(id);
        if cancelled == Cancelled::Unknown {
            return Tell::Unknown;
        }
        self.wake();
        info!(job = format!("{id:016x}"), "cancelled");
        self.durable(id)
            .await
            .map_or(Tell::Unsure, |_| Tell::Cancelled)
    }

    /// Tells how far a job is, as far as that is durable.
    async fn state(&self, id: JobId) -> Tell {
        let shown = self.cell.borrow().jobs.get(&id).map(|job| job.shown);
        match shown {
            None => Tell::Unknown,
            Some(Some(phase)) => Tell::State(phase),
            Some(None) => self.durable(id).await.map_or(Tell::Unsure, Tell::State),
        }
    }

    /// Waits until what is known of a job is durable; none if this owner ends before.
    async fn durable(&self, id: JobId) -> Option<Phase> {
        loop {
            let settled = self.settled.notified();
            if !self.is_alive() {
                return None;
            }
            match self.told(id) {
                Told::Missing => return None,
                Told::Durable(phase) => return Some(phase),
                Told::Waits => settled.await,
            }
        }
    }

    /// What can be told of a job now.
    fn told(&self, id: JobId) -> Told {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return Told::Missing;
        };
        // Over or not is what a caller was told or waits for; the rest may be behind.
        match job.shown {
            Some(shown) if shown.is_over() == job.phase.is_over() => Told::Durable(shown),
            _ => Told::Waits,
        }
    }
}

/// What can be told of a job.
enum Told {
    /// It is not known.
    Missing,
    /// It is this far, and that is durable.
    Durable(Phase),
    /// What is known of it is not durable yet.
    Waits,
}
