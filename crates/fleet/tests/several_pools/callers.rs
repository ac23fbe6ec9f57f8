//! The callers of a played load: the jobs that they submit and the outcomes that they see.

use super::*;
use jobs::{JobSpec, Step, Submission};

const STRETCH: f64 = 1.6;
const SLACK_MS: u64 = 600;

/// A service with its pool and its class of jobs: up to two steps of eight tasks.
pub struct Service {
    pub name: &'static str,
    pub vms: usize,
    /// The share of jobs with two steps.
    pub two_steps: f64,
    /// The typical duration of a task in ms, and its need in thousandths of a core.
    pub task: (f64, f64),
    /// The demand in cores, and during a peak between two times in ms.
    pub cores: f64,
    pub peak: (u64, u64, f64),
}

/// Numbers of jobs of a class by their outcome, and their work in core-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    pub in_time: u32,
    pub late: u32,
    pub rejected_first: u32,
    pub rejected_later: u32,
    pub work: f64,
    pub work_in_time: f64,
}

impl Outcomes {
    /// Adds those of another play.
    pub fn add(&mut self, other: Outcomes) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected_first += other.rejected_first;
        self.rejected_later += other.rejected_later;
        self.work += other.work;
        self.work_in_time += other.work_in_time;
    }

    /// Returns the share of the work that ended in time.
    pub fn share(self) -> f64 {
        self.work_in_time / self.work
    }
}

/// A job on the side of its caller.
pub(super) struct Call {
    pub(super) service: usize,
    pub(super) sent: u64,
    pub(super) retried: bool,
    pub(super) step_ms: Vec<f64>,
    pub(super) work: f64,
    /// Since when the job has been idle although its pool has room.
    pub(super) idle: Option<u64>,
}

impl Call {
    pub(super) fn deadline(&self) -> u64 {
        self.sent + (STRETCH * self.step_ms.iter().sum::<f64>()) as u64 + SLACK_MS
    }
}

impl Play {
    /// Submits a job of long-running tasks, each on a VM of its own.
    pub fn submit_long_running(&mut self, service: usize, tasks: u32) {
        let mut step = step(tasks, 9_000, 0);
        (step.long_running, step.max_per_worker) = (true, Some(1));
        let submission = self.submission(service, vec![step]);
        self.cell.accept(submission);
    }

    pub(super) fn submission(&mut self, service: usize, steps: Vec<Step>) -> Submission {
        let id = self.next_job;
        self.next_job += 1;
        Submission {
            id,
            queue: self.services[service].name.to_owned(),
            service: self.services[service].name.to_owned(),
            priority: 0,
            max_attempts: 3,
            requires_permits: false,
            submitted_at: self.now,
            stretch: STRETCH,
            slack: SLACK_MS,
            spec: JobSpec {
                text: String::new(),
                steps,
                schedule: None,
            },
            workspace: Some(WORKSPACES[id as usize % WORKSPACES.len()].to_owned()),
        }
    }

    pub(super) fn submit_due(&mut self, partition: (u64, u64)) {
        for service in 0..self.reserve() {
            let Service {
                two_steps,
                task: (ms, cpu),
                cores,
                peak,
                ..
            } = self.services[service];
            let wanted = match self.now {
                at if (peak.0..peak.1).contains(&at) => peak.2,
                _ => cores,
            };
            // The factors 2^x with x between -1 and 1 have a mean of 1.08.
            let work = (1.0 + two_steps) * 8.0 * ms / 1_000.0 * cpu / 1_000.0 * 1.08 * 1.08;
            let rate = wanted / work * TICK_MS as f64 / 1_000.0;
            let count = rate as u32 + u32::from(self.rng.random_bool(rate.fract()));
            for _ in 0..count {
                self.submit(service, partition);
            }
        }
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|next| next.key().0 <= self.now)
        {
            let (call, submission) = entry.remove();
            if self.cell.forecast(&submission) == Forecast::Worthwhile {
                self.calls.insert(submission.id, call);
                self.cell.accept(submission);
                continue;
            }
            self.cell.record_rejected(&submission);
            let outcomes = &mut self.outcomes[call.service];
            if call.retried {
                outcomes.rejected_later += 1;
            } else {
                outcomes.rejected_first += 1;
            }
        }
    }

    pub(super) fn submit(&mut self, service: usize, partition: (u64, u64)) {
        let Service {
            two_steps,
            task: (ms, cpu),
            ..
        } = self.services[service];
        let mut vary = || 2_f64.powf(self.rng.random_range(-1.0..1.0));
        let (ms, cpu) = (ms * vary(), cpu * vary());
        let steps = 1 + usize::from(self.rng.random_bool(two_steps));
        // A uniform error of 0.35 has a standard deviation of 0.2.
        let estimate = ms * self.rng.random_range(0.65..1.35);
        let spec = (0..steps as u32).map(|number| Step {
            after: number.checked_sub(1).into_iter().collect(),
            ..step(8, cpu as u64, estimate as u64)
        });
        let spec = spec.collect();
        let retried = (partition.0..partition.1).contains(&self.now) && self.rng.random_bool(0.33);
        let arrival = match retried {
            true => self.now + self.rng.random_range(500..2_000),
            false => self.now,
        };
        let call = Call {
            service,
            sent: self.now,
            retried,
            step_ms: vec![ms; steps],
            work: steps as f64 * 8.0 * ms * cpu / 1e6,
            idle: None,
        };
        *self.bound.entry(call.deadline()).or_default() += call.work;
        self.outcomes[service].work += call.work;
        let mut submission = self.submission(service, spec);
        submission.submitted_at = arrival;
        self.due
            .insert((arrival, submission.id), (call, submission));
    }

    pub(super) fn record_ended_jobs(&mut self) {
        let done = |id: &JobId| self.cell.jobs[id].phase == Phase::Succeeded;
        let ended: Vec<JobId> = self.calls.keys().copied().filter(done).collect();
        for id in ended {
            let in_time = self.now <= self.calls[&id].deadline();
            self.record(id, in_time);
        }
    }

    pub(super) fn record(&mut self, id: JobId, in_time: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let outcomes = &mut self.outcomes[call.service];
        if in_time {
            outcomes.in_time += 1;
            outcomes.work_in_time += call.work;
        } else {
            outcomes.late += 1;
        }
    }
}

/// Returns a step of independent tasks.
fn step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        need: Need {
            cpu,
            ..Need::default()
        },
        estimate_ms,
        ..Step::default()
    }
}
