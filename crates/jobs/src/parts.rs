//! The parts in which the state of a large job is recorded.
//!
//! The state of a job whose tasks may need more than one part has a record for each part that differs from that of a
//! job of which nothing has started. The number of tasks in a part follows from the largest size that a task's state
//! can have, so that no record of a part exceeds [`MAX_PART_BYTES`].

use crate::{
    Job, JobSpec, Round, RunId, Submission, Task, record::submission_bytes, spec::MAX_TASKS,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, mem};

/// The maximum size of a record of tasks, key included, unless a single task needs more. The division of jobs into parts
/// depends on it, so that it cannot be changed without converting records.
const MAX_PART_BYTES: usize = 131_072;

/// The maximum size of all else in a record of tasks: its key, the identity of the job, and the phase.
const OVERHEAD_BYTES: usize = 128;

/// The maximum length of saved progress that is recorded. A task whose progress is longer continues from an earlier one
/// or from the beginning.
pub(crate) const MAX_PROGRESS_BYTES: usize = 1_024;

/// The maximum number of worker crashes that are recorded against a task.
pub(crate) const MAX_RECORDED_CRASHES: usize = 16;

/// The maximum length of the id of a worker: a name, which is a key of the log and has a length of one byte, a separator
/// and a start time.
const MAX_WORKER_ID_BYTES: usize = 255 + 1 + 20;

/// The maximum size of an encoded number.
const MAX_NUMBER_BYTES: usize = 9;

/// The maximum size of the header of an encoded list or text.
const MAX_HEADER_BYTES: usize = 5;

/// The tasks of a part as they are stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct Part {
    /// The position of the job in the order of arrival, which with the time tells it from another job with the same id.
    pub order: u64,
    /// When the job was submitted, in ms since 1970.
    pub submitted_at: u64,
    /// The tasks.
    pub tasks: Vec<Task>,
}

/// The division of a job into parts.
#[derive(Clone, Debug)]
pub(crate) struct Parts {
    /// The number of tasks of a part.
    size: usize,
    /// The number of tasks of the job.
    total: usize,
    /// The number of tasks of a round.
    round_size: usize,
    /// For each step, the number of tasks of a round before it.
    offsets: Vec<usize>,
    /// The parts that have changed since they were last recorded.
    changed: BTreeSet<usize>,
    /// The parts that have records.
    recorded: BTreeSet<usize>,
}

impl Parts {
    /// Divides a job into parts; `None` if one record holds the state of all its tasks.
    pub(crate) fn new(spec: &JobSpec, max_attempts: u32) -> Option<Self> {
        let size = part_size(max_attempts);
        let round_size = spec.task_count() as usize;
        let total = round_size * spec.rounds() as usize;
        if total <= size {
            return None;
        }
        let before = |sum: &mut usize, count: u32| Some(mem::replace(sum, *sum + count as usize));
        let counts = spec.steps.iter().map(|step| step.count);
        Some(Parts {
            size,
            total,
            round_size,
            offsets: counts.scan(0, before).collect(),
            changed: BTreeSet::new(),
            recorded: BTreeSet::new(),
        })
    }

    /// Marks the part of a task as changed.
    pub(crate) fn mark_changed(&mut self, round: u32, step: u32, index: u32) {
        if let Some(offset) = self.offsets.get(step as usize) {
            let position = round as usize * self.round_size + offset + index as usize;
            self.changed.insert(position / self.size);
        }
    }

    /// Marks all parts as changed.
    fn mark_all_changed(&mut self) {
        self.changed.extend(0..self.total.div_ceil(self.size));
    }

    /// Takes the parts that have changed, which are recorded from then on. Returns the position of the first task of
    /// each.
    pub(crate) fn take_changed(&mut self) -> Vec<usize> {
        let changed = mem::take(&mut self.changed);
        self.recorded.extend(&changed);
        changed.into_iter().map(|part| part * self.size).collect()
    }

    /// Takes the parts that have records. Returns the position of the first task of each.
    pub(crate) fn take_recorded(&mut self) -> Vec<usize> {
        let recorded = mem::take(&mut self.recorded);
        recorded.into_iter().map(|part| part * self.size).collect()
    }
}

impl Job {
    /// Returns the part whose first task is at this position.
    pub(crate) fn part(&self, first: usize) -> Part {
        let size = self.parts.as_ref().map_or(0, |parts| parts.size);
        let steps = self.rounds.iter().flat_map(|round| &round.steps);
        Part {
            order: self.order,
            submitted_at: self.submission.submitted_at,
            tasks: steps.flatten().skip(first).take(size).cloned().collect(),
        }
    }

    /// Restores the tasks of all rounds from one record of an earlier version, which later ones replace.
    pub(crate) fn restore_rounds(&mut self, rounds: Vec<Round>) {
        self.rounds = rounds;
        if let Some(parts) = &mut self.parts {
            parts.mark_all_changed();
        }
    }

    /// Restores the tasks from parts and the positions of their first tasks. Parts of an earlier job with the same id
    /// are ignored. Returns whether the parts match the job.
    pub(crate) fn restore_parts(&mut self, stored: Vec<(usize, Part)>) -> bool {
        for (first, part) in stored {
            let Some(parts) = &mut self.parts else {
                return false;
            };
            parts.recorded.insert(first / parts.size);
            if part.order != self.order || part.submitted_at != self.submission.submitted_at {
                continue;
            }
            if first % parts.size != 0
                || part.tasks.len() != parts.size.min(parts.total.saturating_sub(first))
            {
                return false;
            }
            let steps = self.rounds.iter_mut().flat_map(|round| &mut round.steps);
            let tasks = steps.flatten().skip(first);
            tasks
                .zip(part.tasks)
                .for_each(|(task, stored)| *task = stored);
        }
        let steps = &self.submission.spec.steps;
        let rounds = self.rounds.iter_mut();
        rounds.for_each(|round| round.recount(steps));
        self.parts.is_some()
    }
}

impl Submission {
    /// Returns whether the log takes all records that the job can ever have, if it takes records of up to
    /// `record_bytes`, key and value together, and whether all rounds together have no more tasks than an owner keeps.
    pub fn is_storable(&self, record_bytes: usize) -> bool {
        let tasks = self.spec.task_count() * u64::from(self.spec.rounds());
        let part = tasks.min(part_size(self.max_attempts) as u64) as usize;
        let state_bytes = OVERHEAD_BYTES + part * max_task_bytes(self.max_attempts);
        tasks <= MAX_TASKS && state_bytes <= record_bytes && submission_bytes(self) <= record_bytes
    }
}

/// Returns the number of tasks whose state fits in a record, whatever happens to them.
fn part_size(max_attempts: u32) -> usize {
    let tasks = (MAX_PART_BYTES - OVERHEAD_BYTES) / max_task_bytes(max_attempts);
    tasks.max(1)
}

/// Returns the maximum size of the encoded state of a task that may fail this often, including its share of the
/// lists of rounds and steps.
fn max_task_bytes(max_attempts: u32) -> usize {
    const PHASE_BYTES: usize = 8 + MAX_HEADER_BYTES + MAX_WORKER_ID_BYTES;
    const RUN_BYTES: usize = size_of::<RunId>() + 1;
    const CRASH_BYTES: usize = 3 + MAX_NUMBER_BYTES;
    const HISTORY_BYTES: usize =
        1 + MAX_HEADER_BYTES + MAX_RECORDED_CRASHES * CRASH_BYTES + MAX_NUMBER_BYTES;
    // A round has one list of its fields, of its steps and of their numbers, and a flag; a step a list and a number.
    const LISTS_BYTES: usize = 1 + 2 * MAX_HEADER_BYTES + 1 + 2 * MAX_HEADER_BYTES;
    let failed_bytes = MAX_HEADER_BYTES + max_attempts.max(1) as usize * RUN_BYTES;
    let saved_bytes = MAX_HEADER_BYTES + MAX_PROGRESS_BYTES;
    1 + PHASE_BYTES + 2 * RUN_BYTES + failed_bytes + saved_bytes + HISTORY_BYTES + LISTS_BYTES
}
