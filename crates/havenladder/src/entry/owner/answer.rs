//! Answers what callers ask, once it is durable.

use super::Owner;
use crate::entry::{
    follow,
    in_force::Caller,
    inner::{Request, Tell, Wish},
};
use adapter::operator::Version;
use fleet::{MilliCpu, outranks};
use jobs::{Accepted, Cancelled, Foreseen, JobId, Phase, Submission};
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::info;

/// How long an append may take before new jobs are refused at once: the store is away.
const AWAY: Duration = Duration::from_millis(500);

impl Owner {
    /// Does what a caller wants.
    pub async fn answer(self: &Rc<Self>, request: Request) -> Tell {
        while !self.loaded.get() {
            if !self.is_alive() {
                return Tell::NotOwner;
            }
            self.settled.notified().await;
        }
        if let Some(version) = self.newer(&request) {
            return Tell::Outdated(version);
        }
        let Request {
            caller,
            queue,
            wish,
            ..
        } = request;
        match wish {
            Wish::Submit { given, within } => {
                self.submit(given, Duration::from_millis(within)).await
            }
            Wish::Cancel(id) if self.may_see(&caller, &queue, id) => self.cancel(id).await,
            Wish::State(id) if self.may_see(&caller, &queue, id) => self.state(id).await,
            Wish::Cancel(_) | Wish::State(_) => self.deny(),
            Wish::Pending => Tell::Pending(self.cell.borrow().pending(&queue)),
        }
    }

    /// The version of the configuration, where the one by which a request was judged is older: keys may have been taken away
    /// since. The configuration itself does not go along: one with 1,200 routes has 260 KB, a fifth of a second on the weakest
    /// entries' links, for each call that is under way as it changes.
    fn newer(&self, request: &Request) -> Option<Version> {
        let version = self.node.in_force.borrow().version();
        if version < request.version {
            follow::look_soon(&self.node);
        }
        (version > request.version).then_some(version)
    }

    /// Whether a caller may learn of a job: only its workspace may, or whoever calls the queue that it was handed in to,
    /// where that is open to all by now. To others it does not exist.
    fn may_see(&self, caller: &Caller, queue: &str, id: JobId) -> bool {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return true;
        };
        match (&job.submission.workspace, caller) {
            (None, _) => true,
            (Some(workspace), Caller::Of(by)) => workspace == by,
            (Some(_), Caller::Anyone) => job.submission.queue == queue,
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

    /// Takes a job in; one that it has is not refused, also while the store is away. One whose record is not
    /// durable within a time is given back, if nothing of it was sent.
    async fn submit(self: &Rc<Self>, given: Submission, within: Duration) -> Tell {
        let id = given.id;
        let job = format!("{id:016x}");
        match self.admit(&given) {
            Admission::Open => {}
            Admission::Taken => return Tell::Refused,
            Admission::TooLarge => {
                info!(
                    job,
                    workspace = given.workspace,
                    "refused: it can never run under its workspace's bound"
                );
                return Tell::TooLarge;
            }
        }
        if let Some(ms) = self.foresee(&given) {
            self.node.metrics.refused_hopeless();
            info!(
                job,
                ms,
                workspace = given.workspace,
                "refused: it would be done too late"
            );
            return Tell::Hopeless(ms);
        }
        if self.has_waited(AWAY) && !self.cell.borrow().jobs.contains_key(&id) {
            info!(job, "refused: the store is away");
            return Tell::Refused;
        }
        let accepted = self.cell.borrow_mut().accept(given);
        self.wake();
        match time::timeout(within, self.durable(id)).await {
            Ok(Settled::Durable(_)) => {
                info!(job, new = accepted == Accepted::New, "accepted");
                Tell::Accepted
            }
            // Another request for the same job gave it back.
            Ok(Settled::Missing) => Tell::Refused,
            Ok(Settled::Ended) | Err(_) => self.give_back(id),
        }
    }

    /// Whether a job may be taken in for its workspace.
    fn admit(&self, given: &Submission) -> Admission {
        self.update_workspaces();
        let cell = self.cell.borrow();
        if let Some(job) = cell.jobs.get(&given.id) {
            return match job.submission.workspace == given.workspace {
                true => Admission::Open,
                // It is another workspace's: nothing may tell that it is there.
                false => Admission::Taken,
            };
        }
        let steps = &given.spec.steps;
        match &given.workspace {
            Some(workspace) if cell.exceeds_bound(workspace, steps) => Admission::TooLarge,
            _ => Admission::Open,
        }
    }

    /// In how many ms there may be room for a job, where it would be done too late if it was taken in now.
    fn foresee(&self, given: &Submission) -> Option<u64> {
        let cell = self.cell.borrow();
        if cell.jobs.contains_key(&given.id) {
            return None;
        }
        match cell.foresee(given) {
            Foreseen::Worthwhile => None,
            Foreseen::Hopeless(ms) => Some(ms),
        }
    }

    /// Gives a job back of which nothing was sent; what becomes of any other is not known.
    fn give_back(&self, id: JobId) -> Tell {
        if !self.cell.borrow_mut().withdraw(id) {
            return Tell::Unsure;
        }
        let job = format!("{id:016x}");
        info!(job, "given back: nothing of it was sent to the log");
        // Others may wait for the same job.
        self.settled.notify_waiters();
        // The next owner may still take it in time.
        if self.is_alive() {
            Tell::Refused
        } else {
            Tell::NotOwner
        }
    }

    /// Cancels a job.
    async fn cancel(self: &Rc<Self>, id: JobId) -> Tell {
        let cancelled = self.cell.borrow_mut().cancel(id);
        if cancelled == Cancelled::Unknown {
            return self.deny();
        }
        self.wake();
        info!(job = format!("{id:016x}"), "cancelled");
        match self.durable(id).await {
            Settled::Durable(_) => Tell::Cancelled,
            Settled::Missing => self.deny(),
            Settled::Ended => Tell::Unsure,
        }
    }

    /// Tells how far a job is, as far as that is durable.
    async fn state(&self, id: JobId) -> Tell {
        let shown = self
            .cell
            .borrow()
            .jobs
            .get(&id)
            .map(|job| job.durable_phase);
        match shown {
            None => self.deny(),
            Some(Some(phase)) => Tell::State(phase),
            Some(None) => match self.durable(id).await {
                Settled::Durable(phase) => Tell::State(phase),
                Settled::Missing => self.deny(),
                Settled::Ended => Tell::Unsure,
            },
        }
    }

    /// Says that there is no such job, where this owner can know: one whose renewal is too old may have been
    /// replaced, and the next owner may have taken the job.
    fn deny(&self) -> Tell {
        if self.is_certain() {
            Tell::Unknown
        } else {
            Tell::NotOwner
        }
    }

    /// Waits until what is known of a job is durable, or never will be.
    async fn durable(&self, id: JobId) -> Settled {
        loop {
            let settled = self.settled.notified();
            if !self.is_alive() {
                return Settled::Ended;
            }
            match self.told(id) {
                Some(outcome) => return outcome,
                None => settled.await,
            }
        }
    }

    /// What can be told of a job now; none while its record is under way.
    fn told(&self, id: JobId) -> Option<Settled> {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return Some(Settled::Missing);
        };
        // Over or not is what a caller was told or waits for; the rest may be behind.
        let shown = job.durable_phase?;
        (shown.is_over() == job.phase.is_over()).then_some(Settled::Durable(shown))
    }
}

/// Whether a job may be taken in for its workspace.
enum Admission {
    /// It may, or it was handed in before.
    Open,
    /// Its id is that of another workspace's job.
    Taken,
    /// It asks for more than its workspace may ever have running.
    TooLarge,
}

/// What a wait for a job's record has led to.
enum Settled {
    /// There is no such job, or not any more.
    Missing,
    /// The job is this far, and that is durable.
    Durable(Phase),
    /// The owner has ended before.
    Ended,
}
