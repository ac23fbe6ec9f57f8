//! Carries out the requests of callers and responds once the result is durable.

use super::Owner;
use crate::entry::{
    in_force::Caller,
    logs::kind,
    peer::{CallerOperation, CallerRequest, PeerResponse},
    refresh,
};
use adapter::operator::Version;
use fleet::{MilliCpu, outranks};
use jobs::{Accepted, Cancelled, Forecast, JobId, Phase, Submission};
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::info;

/// Duration of an append after which new jobs are refused at once, because the store is
/// unavailable.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);

impl Owner {
    /// Carries out a request of a caller.
    pub async fn handle(self: &Rc<Self>, request: CallerRequest) -> PeerResponse {
        while !self.loaded.get() {
            if !self.is_alive() {
                return PeerResponse::NotOwner;
            }
            self.state_changed.notified().await;
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

    /// Returns the version of the configuration if the request was authenticated with an older one,
    /// since keys may have been revoked in the meantime. The response does not carry the
    /// configuration itself: one with 1,200 routes has 260 KB, which takes 0.2 s on the weakest
    /// entries' links, for each call that is in progress while it changes.
    fn newer_config_version(&self, request: &CallerRequest) -> Option<Version> {
        let version = self.node.in_force.borrow().version();
        if version < request.version {
            refresh::refresh_soon(&self.node);
        }
        (version > request.version).then_some(version)
    }

    /// Returns whether a caller may learn of a job. Only the job's workspace may, or a caller of
    /// the queue that the job was submitted to, if that queue is open to all now. To all others the
    /// job does not exist.
    fn may_see(&self, caller: &Caller, queue: &str, id: JobId) -> bool {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return true;
        };
        match (&job.submission.workspace, caller) {
            (None, _) => true,
            (Some(workspace), Caller::Workspace(by)) => workspace == by,
            (Some(_), Caller::Anyone) => job.submission.queue == queue,
        }
    }

    /// Starts to hand the cell over to an entry that is much stronger, unless this owner is still
    /// loading, is not certain of its lease or waits for the store. The lease's background task
    /// then releases the cell.
    pub fn hand_over(&self, cpu: MilliCpu) -> PeerResponse {
        let is_stable = self.loaded.get()
            && self.is_certain()
            && !self.is_append_pending_for(STORE_OUTAGE_THRESHOLD);
        if !is_stable || !outranks(cpu, self.node.settings.cpu_millis) {
            return PeerResponse::Refused;
        }
        self.successor.set(Some(cpu));
        self.lease_due.notify_one();
        PeerResponse::HandedOver
    }

    /// Accepts a job. A job that is already known is not refused, even while the store is
    /// unavailable. A job whose record is not durable in time is withdrawn, if nothing of it has
    /// been sent.
    async fn submit(self: &Rc<Self>, submission: Submission, within: Duration) -> PeerResponse {
        let id = submission.id;
        let job = format!("{id:016x}");
        match self.admit(&submission) {
            Admission::Admitted => {}
            Admission::IdTaken => return PeerResponse::Refused,
            Admission::Unstorable => {
                info!(
                    target: kind::JOB,
                    job,
                    tasks = submission.spec.task_count() * u64::from(submission.spec.rounds()),
                    "rejected: the log may not accept the records of the job"
                );
                return PeerResponse::Refused;
            }
            Admission::TooLarge => {
                info!(
                    target: kind::JOB,
                    job,
                    workspace = submission.workspace,
                    "rejected: the job can never run under its workspace's bound"
                );
                return PeerResponse::TooLarge;
            }
        }
        if let Some(ms) = self.forecast(&submission) {
            self.node.metrics.rejected_too_late();
            info!(
                target: kind::JOB,
                job,
                ms,
                workspace = submission.workspace,
                "rejected: the job would be done too late"
            );
            return PeerResponse::TooLate(ms);
        }
        if self.is_append_pending_for(STORE_OUTAGE_THRESHOLD)
            && !self.cell.borrow().jobs.contains_key(&id)
        {
            info!(target: kind::REQUEST, job, "refused: the store is away");
            return PeerResponse::Refused;
        }
        let accepted = self.cell.borrow_mut().accept(submission);
        self.wake();
        match time::timeout(within, self.wait_durable(id)).await {
            Ok(DurableOutcome::Durable(_)) => {
                info!(target: kind::JOB, job, new = accepted == Accepted::New, "accepted");
                PeerResponse::Accepted
            }
            // Another request for the same job has withdrawn it.
            Ok(DurableOutcome::Missing) => PeerResponse::Refused,
            Ok(DurableOutcome::Ended) | Err(_) => self.withdraw(id),
        }
    }

    /// Returns whether a job may be accepted, and for its workspace.
    fn admit(&self, submission: &Submission) -> Admission {
        self.update_workspaces();
        let cell = self.cell.borrow();
        if let Some(job) = cell.jobs.get(&submission.id) {
            return match job.submission.workspace == submission.workspace {
                true => Admission::Admitted,
                // The job is that of another workspace, and the response must not reveal that it
                // exists.
                false => Admission::IdTaken,
            };
        }
        let record_bytes = self.node.settings.append_limits.record_bytes;
        if !submission.is_storable(record_bytes) {
            return Admission::Unstorable;
        }
        let steps = &submission.spec.steps;
        match &submission.workspace {
            Some(workspace) if cell.exceeds_bound(workspace, steps) => Admission::TooLarge,
            _ => Admission::Admitted,
        }
    }

    /// Returns in how many ms there may be capacity for a job, if it would be done too late when
    /// accepted now.
    fn forecast(&self, submission: &Submission) -> Option<u64> {
        let mut cell = self.cell.borrow_mut();
        if cell.jobs.contains_key(&submission.id) {
            return None;
        }
        cell.set_dispatch(self.node.dispatch());
        match cell.forecast(submission) {
            Forecast::Worthwhile => None,
            Forecast::TooLate(ms) => {
                cell.record_rejected(submission);
                Some(ms)
            }
        }
    }

    /// Withdraws a job of which nothing was sent. The outcome of any other job is not known.
    fn withdraw(&self, id: JobId) -> PeerResponse {
        if !self.cell.borrow_mut().withdraw(id) {
            return PeerResponse::Unsure;
        }
        let job = format!("{id:016x}");
        info!(target: kind::JOB, job, "withdrawn: nothing of the job was sent to the log");
        // Other requests may wait for the same job.
        self.state_changed.notify_waiters();
        // The next owner may still accept the job in time.
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
        info!(target: kind::JOB, job = format!("{id:016x}"), "cancelled");
        match self.wait_durable(id).await {
            DurableOutcome::Durable(_) => PeerResponse::Cancelled,
            DurableOutcome::Missing => self.not_found(),
            DurableOutcome::Ended => PeerResponse::Unsure,
        }
    }

    /// Returns the phase of a job once it is durable.
    async fn state(&self, id: JobId) -> PeerResponse {
        let shown = self
            .cell
            .borrow()
            .jobs
            .get(&id)
            .map(|job| job.durable_phase);
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

    /// Responds that there is no such job, if this owner can be certain. An owner whose last
    /// renewal is too old may have been replaced, and the next owner may have accepted the job.
    fn not_found(&self) -> PeerResponse {
        if self.is_certain() {
            PeerResponse::Unknown
        } else {
            PeerResponse::NotOwner
        }
    }

    /// Waits until the phase of a job is durable, or can no longer become so.
    async fn wait_durable(&self, id: JobId) -> DurableOutcome {
        loop {
            let change = self.state_changed.notified();
            if !self.is_alive() {
                return DurableOutcome::Ended;
            }
            match self.durable_outcome(id) {
                Some(outcome) => return outcome,
                None => change.await,
            }
        }
    }

    /// Returns the current outcome for a job, or `None` while its record is being appended.
    fn durable_outcome(&self, id: JobId) -> Option<DurableOutcome> {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return Some(DurableOutcome::Missing);
        };
        // A response must be right about whether the job has ended. Other changes of the phase may
        // not be durable yet.
        let shown = job.durable_phase?;
        (shown.is_over() == job.phase.is_over()).then_some(DurableOutcome::Durable(shown))
    }
}

/// Whether a job may be accepted for its workspace.
enum Admission {
    /// The job may be accepted, or it was submitted before.
    Admitted,
    /// The id belongs to a job of another workspace.
    IdTaken,
    /// The log may not accept the records of the job.
    Unstorable,
    /// The job needs more than its workspace may ever have running.
    TooLarge,
}

/// Outcome of a wait for a job's record.
enum DurableOutcome {
    /// The job does not exist, or no longer does.
    Missing,
    /// The job is in this phase, which is durable.
    Durable(Phase),
    /// The owner ended before the record was durable.
    Ended,
}
