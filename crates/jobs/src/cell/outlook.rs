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
const WORTH_DOING: f64 = 1.2;

/// The same where there are no workspaces to be kept from each other: until then, what is late is worth something to its
/// caller. With 1.2, 0.08 of what 1,100 VMs were asked for on a calm day was refused while the owner was short of processor
/// time, and none with as much as it wants.
const WORTH_DOING_ALONE: f64 = 3.0;

/// The part of a pool's room that its jobs fill while others wait: sizes of tasks leave gaps.
const FILL: f64 = 0.9;

/// What is known of the work that waits for a service: cores times ms, with what was taken in since the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Outlook {
    /// All of it.
    work: f64,
    /// That of each workspace.
    parts: HashMap<WorkspaceId, f64>,
    /// How many cores its pool can have.
    cores: f64,
}

impl Outlook {
    /// Counts the work of a job.
    fn add(&mut self, workspace: Option<&WorkspaceId>, work: f64) {
        self.work += work;
        let Some(workspace) = workspace else { return };
        match self.parts.get_mut(workspace) {
            Some(part) => *part += work,
            None => drop(self.parts.insert(workspace.clone(), work)),
        }
    }

    /// How many ms of the pool's work go before a job: all that waits, or, where that is less, what its workspace has
    /// waiting, by the part of the pool that it has beside the others that are at work.
    fn wait(&self, workspace: Option<&WorkspaceId>, part: f64) -> f64 {
        let cores = self.cores * FILL;
        let all = self.work / cores;
        let own = workspace.map(|id| self.parts.get(id).copied().unwrap_or(0.0));
        own.map_or(all, |own| all.min(own / (cores * part)))
    }
}

/// What is foreseen of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Foreseen {
    /// It may be done in time, or late, but while somebody waits for it.
    Worthwhile,
    /// It would be done too late, and in so many ms there may be room for it.
    Hopeless(u64),
}

impl Cell {
    /// Takes in how many thousandths of a core a service's pool can have, and sums up the work that waits for it.
    pub fn look_ahead(&mut self, service: &str, cpu: u64) {
        let mut outlook = Outlook {
            cores: cpu as f64 / 1_000.0,
            ..Outlook::default()
        };
        for rank in self.waiting.get(service).into_iter().flatten() {
            if let Some((workspace, work)) = self.work_of(rank) {
                outlook.add(workspace, work);
            }
        }
        self.outlooks.insert(service.to_owned(), outlook);
    }

    /// Whether a job that is handed in now would be done while somebody waits for it.
    pub fn foresee(&self, given: &Submission) -> Foreseen {
        let outlook = self.outlooks.get(&given.service);
        let known = outlook.filter(|outlook| outlook.cores > 0.0);
        let Some(outlook) = known.filter(|_| is_timed(given)) else {
            return Foreseen::Worthwhile;
        };
        let pace = self.pace_of(&given.queue);
        let chain = longest_chain(&given.spec.steps) as f64 * pace;
        let limit = match given.workspace {
            Some(_) => WORTH_DOING,
            None => WORTH_DOING_ALONE,
        };
        let allowed = limit * (given.stretch * chain + given.slack as f64) - chain;
        let workspace = given.workspace.as_ref();
        let part = workspace.map_or(1.0, |id| self.shares.part(&given.service, id));
        let wait = outlook.wait(workspace, part);
        if wait <= allowed {
            return Foreseen::Worthwhile;
        }
        Foreseen::Hopeless((wait - allowed) as u64)
    }

    /// How many thousandths of a core of a service's pool its jobs can fill; none if that is not known.
    pub(super) fn room_of_service(&self, service: &str) -> Option<f64> {
        let outlook = self.outlooks.get(service);
        let cores = outlook
            .map(|outlook| outlook.cores)
            .filter(|cores| *cores > 0.0);
        cores.map(|cores| cores * 1_000.0 * FILL)
    }

    /// Counts a job that is taken in to the work that waits.
    pub(super) fn note_work(&mut self, given: &Submission) {
        let pace = self.pace_of(&given.queue);
        if let Some(outlook) = self.outlooks.get_mut(&given.service) {
            let work = work_of_steps(&given.spec.steps) * pace / 1_000.0;
            outlook.add(given.workspace.as_ref(), work);
        }
    }

    /// The work of a waiting task, or of the gang that it stands for, and whose it is.
    fn work_of(&self, rank: &Rank) -> Option<(Option<&WorkspaceId>, f64)> {
        let task = rank.task();
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        let step = job.find_step(task).filter(|step| !step.long_running)?;
        let members = if step.gang {
            f64::from(step.count)
        } else {
            1.0
        };
        let work = work(step, members, self.pace_of(&job.submission.queue));
        Some((job.submission.workspace.as_ref(), work))
    }
}

/// The work of so many tasks of a step: cores times ms.
fn work(step: &Step, tasks: f64, pace: f64) -> f64 {
    let Need { cpu, .. } = step.need;
    let cpu = if step.best_effort { 0 } else { cpu };
    cpu as f64 / 1_000.0 * step.estimate_ms as f64 * pace * tasks
}

/// Whether somebody waits for a job's end: it runs at once and ends by itself, and its queue says what is in time.
fn is_timed(given: &Submission) -> bool {
    let guessed = given.spec.steps.iter().all(|step| step.estimate_ms > 0);
    let ends = !given.spec.is_long_running() && given.spec.schedule.is_none();
    ends && guessed && given.stretch > 0.0 && given.slack > 0
}
