//! Foresees when a job that is handed in would be done, so that one that would come far too late is refused at once.
//!
//! What waits for a service and what its pool can have of VMs tell how long a new job waits at the least. It is an
//! estimate from callers' guesses of run times and learned paces, so that it errs for the job: VMs that other pools or
//! the reserve could give count as if they were there, and where nothing is known a job is taken in.

use crate::{
    Cell, Need, Step, Submission, WorkspaceId,
    job::{longest_chain, work_of_steps},
    rank::Rank,
};
use std::collections::HashMap;

/// Up to how many times its objective a job of a workspace is taken in. What is foreseen to be later goes behind what can be
/// in time as long as more comes than there is room for: of 426 jobs of a workspace that sent eight times its usual, 67 were
/// taken in for nothing at 2 and 28 at 1.2, where 23 more were in time (tests/overload.rs).
const MAX_OBJECTIVE_FACTOR: f64 = 1.2;

/// The same where there are no workspaces to be kept from each other: until then, what is late is worth something to its
/// caller. With 1.2, 0.08 of what 1,100 VMs were asked for on a calm day was refused while the owner was short of processor
/// time, and none with as much as it wants.
const MAX_OBJECTIVE_FACTOR_WITHOUT_WORKSPACES: f64 = 3.0;

/// The part of a pool's room that its jobs fill while others wait: sizes of tasks leave gaps.
const FILL_RATIO: f64 = 0.9;

/// What is known of the work that waits for a service: cores times ms, with what was taken in since the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Backlog {
    /// All of it.
    work: f64,
    /// That of each workspace.
    workspace_work: HashMap<WorkspaceId, f64>,
    /// How many cores its pool can have.
    cores: f64,
}

impl Backlog {
    /// Counts the work of a job.
    fn add(&mut self, workspace: Option<&WorkspaceId>, work: f64) {
        self.work += work;
        let Some(workspace) = workspace else { return };
        match self.workspace_work.get_mut(workspace) {
            Some(total) => *total += work,
            None => drop(self.workspace_work.insert(workspace.clone(), work)),
        }
    }

    /// How many ms of the pool's work go before a job: all that waits, or, where that is less, what its workspace has
    /// waiting, by the part of the pool that it has beside the others that are at work.
    fn queue_wait_ms(&self, workspace: Option<&WorkspaceId>, share: f64) -> f64 {
        let cores = self.cores * FILL_RATIO;
        let all = self.work / cores;
        let own = workspace.map(|id| self.workspace_work.get(id).copied().unwrap_or(0.0));
        own.map_or(all, |own| all.min(own / (cores * share)))
    }
}

/// What is foreseen of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Forecast {
    /// It may be done in time, or late, but while somebody waits for it.
    Worthwhile,
    /// It would be done too late, and in so many ms there may be room for it.
    TooLate(u64),
}

impl Cell {
    /// Takes in how many thousandths of a core a service's pool can have, and sums up the work that waits for it.
    pub fn update_backlog(&mut self, service: &str, cpu: u64) {
        let mut backlog = Backlog {
            cores: cpu as f64 / 1_000.0,
            ..Backlog::default()
        };
        for rank in self.waiting.get(service).into_iter().flatten() {
            if let Some((workspace, work)) = self.work_of(rank) {
                backlog.add(workspace, work);
            }
        }
        self.backlogs.insert(service.to_owned(), backlog);
    }

    /// Whether a job that is handed in now would be done while somebody waits for it.
    pub fn forecast(&self, submission: &Submission) -> Forecast {
        let backlog = self.backlogs.get(&submission.service);
        let known = backlog.filter(|backlog| backlog.cores > 0.0);
        let Some(backlog) = known.filter(|_| has_objective(submission)) else {
            return Forecast::Worthwhile;
        };
        let factor = self.estimate_factor(&submission.queue);
        let chain = longest_chain(&submission.spec.steps) as f64 * factor;
        let limit = match submission.workspace {
            Some(_) => MAX_OBJECTIVE_FACTOR,
            None => MAX_OBJECTIVE_FACTOR_WITHOUT_WORKSPACES,
        };
        let allowed_ms = limit * (submission.stretch * chain + submission.slack as f64) - chain;
        let workspace = submission.workspace.as_ref();
        let share = workspace.map_or(1.0, |id| self.shares.share(&submission.service, id));
        let wait_ms = backlog.queue_wait_ms(workspace, share);
        if wait_ms <= allowed_ms {
            return Forecast::Worthwhile;
        }
        Forecast::TooLate((wait_ms - allowed_ms) as u64)
    }

    /// How many thousandths of a core of a service's pool its jobs can fill; none if that is not known.
    pub(super) fn usable_cpu(&self, service: &str) -> Option<f64> {
        let backlog = self.backlogs.get(service);
        let cores = backlog
            .map(|backlog| backlog.cores)
            .filter(|cores| *cores > 0.0);
        cores.map(|cores| cores * 1_000.0 * FILL_RATIO)
    }

    /// Counts a job that is taken in to the work that waits.
    pub(super) fn add_to_backlog(&mut self, submission: &Submission) {
        let factor = self.estimate_factor(&submission.queue);
        if let Some(backlog) = self.backlogs.get_mut(&submission.service) {
            let work = work_of_steps(&submission.spec.steps) * factor / 1_000.0;
            backlog.add(submission.workspace.as_ref(), work);
        }
    }

    /// The work of a waiting task, or of the gang that it stands for, and whose it is.
    fn work_of(&self, rank: &Rank) -> Option<(Option<&WorkspaceId>, f64)> {
        let task = rank.task();
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        let step = job.find_step(task).filter(|step| !step.lasting)?;
        let members = if step.gang {
            f64::from(step.count)
        } else {
            1.0
        };
        let work = work(step, members, self.estimate_factor(&job.given.queue));
        Some((job.given.workspace.as_ref(), work))
    }
}

/// The work of so many tasks of a step: cores times ms.
fn work(step: &Step, tasks: f64, factor: f64) -> f64 {
    let Need { cpu, .. } = step.need;
    let cpu = if step.fills { 0 } else { cpu };
    cpu as f64 / 1_000.0 * step.estimate as f64 * factor * tasks
}

/// Whether somebody waits for a job's end: it runs at once and ends by itself, and its queue says what is in time.
fn has_objective(submission: &Submission) -> bool {
    let guessed = submission.spec.steps.iter().all(|step| step.estimate > 0);
    let ends = !submission.spec.lasts() && submission.spec.schedule.is_none();
    ends && guessed && submission.stretch > 0.0 && submission.slack > 0
}
