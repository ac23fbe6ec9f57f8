//! The specification of a job as submitted by a caller, and its validation.

use crate::{JobId, Need, QueueId, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The maximum length of a job's text, in bytes, which is the limit of the workers' interface.
const MAX_TEXT_BYTES: usize = 4_000;

/// The maximum number of tasks of one job. It is far more than a pool could run, and keeps a caller's mistake
/// from filling the owner's memory.
pub const MAX_TASKS: u64 = 20_000;

/// The maximum number of repeats of one job.
const MAX_REPEATS: u32 = 10_000;

/// The specification of a step and its tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks of the step.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Need,
    /// The caller's estimate of a task's run time in ms; 0 if there is none.
    #[serde(rename = "estimate")]
    pub estimate_ms: u64,
    /// The earlier steps that must have ended before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether the tasks are slow unless they run in the same rack.
    #[serde(rename = "together")]
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// The limit of tasks of the step on one worker.
    #[serde(rename = "apart")]
    pub max_per_worker: Option<u32>,
    /// Whether two runs of a task may be active at the same time.
    #[serde(rename = "copies")]
    pub allow_duplicates: bool,
    /// Whether the tasks save their progress.
    #[serde(rename = "saves")]
    pub saves_progress: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// The tail latency in ms that a long-running task should not exceed.
    #[serde(rename = "target")]
    pub target_latency_ms: Option<u64>,
    /// Whether the tasks use only the processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of a long-running step the system may disrupt at once.
    #[serde(rename = "budget")]
    pub disruption_budget: Option<u32>,
}

/// The schedule of a job's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first repeat is due, in ms since 1970.
    #[serde(rename = "first")]
    pub first_due_ms: u64,
    /// The time between two repeats, in ms.
    #[serde(rename = "interval")]
    pub interval_ms: u64,
    /// The number of repeats.
    pub repeats: u32,
}

/// The specification of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that each run is started with.
    pub text: String,
    /// The steps, each of which may depend on earlier ones only.
    pub steps: Vec<Step>,
    /// The schedule of the repeats; `None` for a job that runs once, at once.
    pub schedule: Option<Schedule>,
}

/// A submitted job, with the settings of its queue at that moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The id of the job.
    pub id: JobId,
    /// The queue of the job.
    pub queue: QueueId,
    /// The service whose workers run the job.
    pub service: ServiceId,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// How often a task may fail before the job fails.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether only workers with a permit may run the job.
    #[serde(rename = "permits")]
    pub requires_permits: bool,
    /// When the job was submitted, in ms since 1970.
    #[serde(rename = "at")]
    pub submitted_at: u64,
    /// How many times as long as its critical path, the longest chain of estimated work, the job may take and
    /// still be in time.
    pub stretch: f64,
    /// The time that the job may take in addition, in ms.
    pub slack: u64,
    /// The specification of the job.
    pub spec: JobSpec,
    /// The workspace that submitted the job; `None` for a queue that is open to all. Older records lack the
    /// field.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

/// The reason why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The text is too long.
    #[error("the text has {0} bytes; {MAX_TEXT_BYTES} is the limit")]
    Text(usize),
    /// The job has no steps.
    #[error("the job has no steps")]
    Empty,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step depends on itself, a later or a missing step.
    #[error("step {step} waits for step {after}, which is not before it")]
    After {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u32,
    },
    /// The job has too many tasks.
    #[error("the job has {0} tasks; {MAX_TASKS} is the limit")]
    TooMany(u64),
    /// The job has too many repeats.
    #[error("the job repeats {0} times; {MAX_REPEATS} is the limit")]
    Repeats(u32),
}

impl JobSpec {
    /// Validates the specification.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the number of the step where it occurs.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(SpecError::Text(self.text.len()));
        }
        if self.steps.is_empty() {
            return Err(SpecError::Empty);
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS {
            return Err(SpecError::TooMany(tasks));
        }
        match self.schedule {
            Some(s) if s.repeats > MAX_REPEATS => Err(SpecError::Repeats(s.repeats)),
            _ => Ok(()),
        }
    }

    /// Returns about how much memory the specification takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let texts = |step: &Step| {
            let texts = [&step.label, &step.data_rack, &step.image];
            let bytes: usize = texts.into_iter().flatten().map(String::len).sum();
            bytes + step.after.len() * size_of::<u32>()
        };
        let steps: usize = self.steps.iter().map(texts).sum();
        self.text.len() + steps + self.steps.len() * size_of::<Step>()
    }

    /// Returns the number of tasks of a round.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns how often the steps run.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.repeats.max(1))
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

/// Checks that a step has tasks and depends only on steps before it.
fn check_step(number: usize, step: &Step) -> Result<(), SpecError> {
    if step.count == 0 {
        return Err(SpecError::NoTasks(number));
    }
    match step.after.iter().find(|after| **after as usize >= number) {
        Some(after) => Err(SpecError::After {
            step: number,
            after: *after,
        }),
        None => Ok(()),
    }
}
