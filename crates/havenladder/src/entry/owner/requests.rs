//! Answers what callers ask, once it is durable.

use super::Owner;
use crate::entry::{
    follow,
    in_force::Caller,
    peer::{CallerOperation, CallerRequest, PeerResponse},
};
use adapter::operator::Version;
use fleet::{MilliCpu, outranks};
use jobs::{Accepted, Cancelled, Foreseen, JobId, Phase, Submission};
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::info;

/// How long an append may take before new jobs are refused at once: the store is away.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);

impl Owner {
    /// Does what a caller wants.
    pub async fn handle(self: &Rc<Self>, request: CallerRequest) -> PeerResponse {
        while !self.loaded.get() {
            if !self.is_alive() {
                return PeerResponse::NotOwner;
            }
            self.settled.notified().await;
        }
        if let Some(version) = self.newer_config_version(&request) {
            return PeerResponse::Outdated(version);
        }
        let CallerRequest {
            caller,
            queue,
            operation,
            ..
        } = request;
        match operation {
            CallerOperation::Submit {
                submission,
                timeout_ms,
            } => {
                self.submit(submission, Duration::from_millis(timeout_ms))
                    .await
            }
            CallerOperation::Cancel(id) if self.may_see(&caller, &queue, id) => {
                self.cancel(id).await
            }
            CallerOperation::State(id) if self.may_see(&caller, &queue, id) => self.state(id).await,
            CallerOperation::Cancel(_) | CallerOperation::State(_) => self.not_found(),
            CallerOperation::Pending => PeerResponse::Pending(self.cell.borrow().pending(&queue)),
        }
    }

    /// The version of the configuration, where the one by which a request was judged is older: keys may have been taken away
    /// since. The configuration itself does not go along: one with 1,200 routes has 260 KB, a fifth of a second on the weakest
    /// entries' links, for each call that is under way as it changes.
    fn newer_config_version(&self, request: &CallerRequest) -> Option<Version> {
        let version = self.node.in_force.borrow().version();
        if version < request.version {
            follow::refresh_soon(&self.node);
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
        match (&job.given.workspace, caller) {
            (None, _) => true,
            (Some(workspace), Caller::Workspace(by)) => workspace == by,
            (Some(_), Caller::Anyone) => job.given.queue == queue,
        }
    }

    /// Hands the cell over to an entry that is much stronger, unless there is trouble: the lease's duty
    /// releases it.
    pub fn hand_over(&self, cpu: MilliCpu) -> PeerResponse {
        let is_stable = self.loaded.get()
            && self.is_certain()
            && !self.is_append_pending_for(STORE_OUTAGE_THRESHOLD);
        if !is_stable || !outranks(cpu, self.node.settings.cpu) {
            return PeerResponse::Refused;
        }
        self.successor.set(Some(cpu));
        self.lease_due.notify_one();
        PeerResponse::HandedOver
    }

    /// Takes a job in; one that it has is not refused, also while the store is away. One whose record is not
    /// durable within a time is given back, if nothing of it was sent.
    async fn submit(self: &Rc<Self>, submission: Submission, within: Duration) -> PeerResponse {
        let id = submission.id;
        let job = format!("{id:016x}");
        match self.admit(&submission) {
            Admission::Admitted => {}
            Admission::IdTaken => return PeerResponse::Refused,
            Admission::TooLarge => {
                info!(
                    job,
                    workspace = submission.workspace,
                    "refused: it can never run under its workspace's bound"
                );
                return PeerResponse::TooLarge;
            }
        }
        if let Some(ms) = self.forecast(&submission) {
            self.node.metrics.refused_hopeless();
            info!(
                job,
                ms,
                workspace = submission.workspace,
                "refused: it would be done too late"
            );
            return PeerResponse::TooLate(ms);
        }
        if self.is_append_pending_for(STORE_OUTAGE_THRESHOLD)
            && !self.cell.borrow().jobs.contains_key(&id)
        {
            info!(job, "refused: the store is away");
            return PeerResponse::Refused;
        }
        let accepted = self.cell.borrow_mut().accept(submission);
        self.wake();
        match time::timeout(within, self.wait_durable(id)).await {
            Ok(DurableOutcome::Durable(_)) => {
                info!(job, new = accepted == Accepted::New, "accepted");
                PeerResponse::Accepted
            }
            // Another request for the same job gave it back.
            Ok(DurableOutcome::Missing) => PeerResponse::Refused,
            Ok(DurableOutcome::Ended) | Err(_) => self.withdraw(id),
        }
    }

    /// Whether a job may be taken in for its workspace.
    fn admit(&self, submission: &Submission) -> Admission {
        self.update_workspaces();
        let cell = self.cell.borrow();
        if let Some(job) = cell.jobs.get(&submission.id) {
            return match job.given.workspace == submission.workspace {
                true => Admission::Admitted,
                // It is another workspace's: nothing may tell that it is there.
                false => Admission::IdTaken,
            };
        }
        let steps = &submission.spec.steps;
        match &submission.workspace {
            Some(workspace) if cell.exceeds_bound(workspace, steps) => Admission::TooLarge,
            _ => Admission::Admitted,
        }
    }

    /// In how many ms there may be room for a job, where it would be done too late if it was taken in now.
    fn forecast(&self, submission: &Submission) -> Option<u64> {
        let cell = self.cell.borrow();
        if cell.jobs.contains_key(&submission.id) {
            return None;
        }
        match cell.foresee(submission) {
            Foreseen::Worthwhile => None,
            Foreseen::Hopeless(ms) => Some(ms),
        }
    }

    /// Gives a job back of which nothing was sent; what becomes of any other is not known.
    fn withdraw(&self, id: JobId) -> PeerResponse {
        if !self.cell.borrow_mut().withdraw(id) {
            return PeerResponse::Unsure;
        }
        let job = format!("{id:016x}");
        info!(job, "given back: nothing of it was sent to the log");
        // Others may wait for the same job.
        self.settled.notify_waiters();
        // The next owner may still take it in time.
        if self.is_alive() {
            PeerResponse::Refused
        } else {
            PeerResponse::NotOwner
        }
    }

    /// Cancels a job.
    async fn cancel(self: &Rc<Self>, id: JobId) -> PeerResponse {
        let cancelled = self.cell.borrow_mut().cancel(id);
        if cancelled == Cancelled::Unknown {
            return self.not_found();
        }
        self.wake();
        info!(job = format!("{id:016x}"), "cancelled");
        match self.wait_durable(id).await {
            DurableOutcome::Durable(_) => PeerResponse::Cancelled,
            DurableOutcome::Missing => self.not_found(),
            DurableOutcome::Ended => PeerResponse::Unsure,
        }
    }

    /// Tells how far a job is, as far as that is durable.
    async fn state(&self, id: JobId) -> PeerResponse {
        let shown = self.cell.borrow().jobs.get(&id).map(|job| job.shown);
        match shown {
            None => self.not_found(),
            Some(Some(phase)) => PeerResponse::State(phase),
            Some(None) => match self.wait_durable(id).await {
                DurableOutcome::Durable(phase) => PeerResponse::State(phase),
                DurableOutcome::Missing => self.not_found(),
                DurableOutcome::Ended => PeerResponse::Unsure,
            },
        }
    }

    /// Says that there is no such job, where this owner can know: one whose renewal is too old may have been
    /// replaced, and the next owner may have taken the job.
    fn not_found(&self) -> PeerResponse {
        if self.is_certain() {
            PeerResponse::Unknown
        } else {
            PeerResponse::NotOwner
        }
    }

    /// Waits until what is known of a job is durable, or never will be.
    async fn wait_durable(&self, id: JobId) -> DurableOutcome {
        loop {
            let settled = self.settled.notified();
            if !self.is_alive() {
                return DurableOutcome::Ended;
            }
            match self.durable_outcome(id) {
                Some(outcome) => return outcome,
                None => settled.await,
            }
        }
    }

    /// What can be told of a job now; none while its record is under way.
    fn durable_outcome(&self, id: JobId) -> Option<DurableOutcome> {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return Some(DurableOutcome::Missing);
        };
        // Over or not is what a caller was told or waits for; the rest may be behind.
        let shown = job.shown?;
        (shown.is_over() == job.phase.is_over()).then_some(DurableOutcome::Durable(shown))
    }
}

/// Whether a job may be taken in for its workspace.
enum Admission {
    /// It may, or it was handed in before.
    Admitted,
    /// Its id is that of another workspace's job.
    IdTaken,
    /// It asks for more than its workspace may ever have running.
    TooLarge,
}

/// What a wait for a job's record has led to.
enum DurableOutcome {
    /// There is no such job, or not any more.
    Missing,
    /// The job is this far, and that is durable.
    Durable(Phase),
    /// The owner has ended before.
    Ended,
}
