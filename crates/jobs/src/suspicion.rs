//! Attributes crashes of workers (ends without notice) to the tasks that ran there.
//!
//! A task may crash each worker that starts it, and a dozen other runs with it. A crashed worker lists no
//! ends, so each crash counts against the tasks that may be its cause, first of all those that had just
//! begun. These are started again in quarantine: one at a time on a worker with little to lose, until the run
//! has outlived the age at which the worker crashed. The next crash then identifies one task, and all others
//! are cleared. Many suspects start in groups first (`suspect_group.rs`).

use crate::{JobId, TaskId, WorkerId};
use clock::Instant;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// How long a worker must answer after a start before that run is no longer suspected of crashing it. Users
/// saw crashes 2 to 10 ms after the start; 25 times that leaves a margin for slow workers. A quarantine takes
/// as long, so a higher value would hold capacity back from other tasks.
pub(crate) const PROVEN_AGE: Duration = Duration::from_millis(250);

/// The runtime of a run beyond which a crash of its worker no longer counts against its task, since the start
/// did not cause the crash; 100 times what users saw. Without this limit, a long-running task would fail
/// after some days because of unrelated crashes.
pub(crate) const MAX_SUSPECT_RUNTIME: Duration = Duration::from_millis(1_000);

/// The age up to which a run is the most likely cause of a crash. Users saw 2 to 10 ms, and an owner at full
/// load learns of the crash 76 ms later.
const PROMPT_AGE: Duration = Duration::from_millis(100);

/// How many crashes prove the cause if all came promptly, the last one in quarantine, and accidents are rare.
/// The first crash makes tasks suspects, the quarantine identifies one.
const PROOF_CRASHES: usize = 2;

/// How many crashes prove the cause if the run was older or workers may crash by accident. When each of 20
/// workers crashed every 8 s, two prompt crashes hit some of 3,000 harmless tasks within a minute.
const PROOF_CRASHES_LATER: usize = 3;

/// How many crashes in quarantine, one after the other, make the same number suffice where accidents are common, if all
/// crashes came promptly: accidents hardly ever hit the same task promptly twice in a row.
const PROOF_IN_QUARANTINE: usize = 2;

/// How many crashes prove the cause in any case. Users allow two starts after the third, and one crash in
/// five may hit a start that no record names and so goes uncounted.
const MAX_CRASHES: usize = 4;

/// How many crashes that no owner has witnessed, and for which there were other suspects, count as evidence against a
/// task. The owner that sent the start was replaced before it knew of the crash, and the next one knows of the run only
/// from records: it may never have been sent. When each of them counted, four such crashes made harmless jobs fail.
const MAX_UNWITNESSED: usize = 1;

/// How many crashes not caused by a task, within [`ACCIDENT_SPAN`], make accidents common; they must also be
/// at least as many as the tasks that were proven in that time to crash workers. Where tasks crash workers
/// all the time, a few accidents would otherwise require four crashes of each task: with 40 such tasks in
/// 20 s on 8 workers, harmless suspects waited 18 s to start.
const COMMON_ACCIDENTS: usize = 2;

/// The time span over which [`COMMON_ACCIDENTS`] are counted.
const ACCIDENT_SPAN: Duration = Duration::from_secs(30);

/// How many recent events of a kind are remembered; more would add no information.
const MAX_RECENT: usize = 64;

/// A crash of a worker while it had a run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The time from sending the start until the worker was found silent, in ms; `None` if an earlier owner
    /// sent the start.
    #[serde(rename = "age")]
    pub age_ms: Option<u64>,
    /// Whether the run had just begun.
    pub fresh: bool,
    /// Whether the run was the only one that had just begun, or was in quarantine; where no owner has witnessed the
    /// crash, whether no other run was suspected.
    pub alone: bool,
}

impl Crash {
    /// Returns whether the crash came promptly after the start.
    fn is_prompt(&self) -> bool {
        self.age_ms
            .is_some_and(|age| age <= PROMPT_AGE.as_millis() as u64)
    }

    /// Returns whether the owner that found the crash had sent the start itself, or knew the age of the run.
    fn is_witnessed(&self) -> bool {
        self.fresh || self.age_ms.is_some()
    }

    /// Returns whether a run that was at work for `runtime_ms` shows that the task did not cause this crash:
    /// a task that crashes its workers does so at about the same age each time.
    fn is_disproved_by(&self, runtime_ms: u64) -> bool {
        self.age_ms
            .is_some_and(|age| runtime_ms > 2 * age + PROVEN_AGE.as_millis() as u64)
    }
}

/// The standing of a task after the crashes of workers that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// The task is started like others.
    Clear,
    /// The task is started in quarantine, which ends when the run has outlived this age.
    Quarantined(Duration),
    /// The task fails, and its job with it.
    Failed,
}

/// The crashes that count against a task, and the runtime that counts for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// The crashes that the task may have caused.
    pub crashes: Vec<Crash>,
    /// The longest time that a run of it is known to have been at work, in ms.
    #[serde(rename = "outlived")]
    pub max_runtime_ms: u64,
}

impl CrashHistory {
    /// Records a crash of a worker during a run that had been at work for `runtime_ms`. Returns whether it
    /// counts against the task.
    pub(crate) fn record_crash(&mut self, crash: Crash, runtime_ms: u64) -> bool {
        let is_late = runtime_ms > MAX_SUSPECT_RUNTIME.as_millis() as u64;
        let counts = !is_late && !crash.is_disproved_by(self.max_runtime_ms);
        self.crashes
            .retain(|earlier| !earlier.is_disproved_by(runtime_ms));
        self.max_runtime_ms = self.max_runtime_ms.max(runtime_ms);
        if counts {
            self.crashes.push(crash);
        }
        counts
    }

    /// Returns the age that a run must reach to show that the task is not the cause: twice the lowest age at
    /// which a worker crashed, since a task does its work at about the same pace everywhere.
    pub(crate) fn threshold(&self) -> Duration {
        let ages = self.crashes.iter().filter_map(|crash| crash.age_ms);
        let min_age = Duration::from_millis(ages.min().unwrap_or(0));
        PROVEN_AGE.max(min_age * 2)
    }

    /// Returns the standing of the task.
    pub(crate) fn standing(&self, accidents: Accidents) -> Standing {
        let count = self.crashes.len();
        // Where accidents are common, one crash is no evidence against any of a dozen tasks on the worker.
        let one_is_enough = accidents != Accidents::Common;
        if self.is_proven(accidents) || self.evidence() >= MAX_CRASHES {
            Standing::Failed
        } else if count >= PROOF_CRASHES
            || one_is_enough && self.crashes.iter().any(|crash| crash.fresh)
        {
            Standing::Quarantined(self.threshold())
        } else {
            Standing::Clear
        }
    }

    /// Returns the number of crashes that count as evidence against a task that no crash in quarantine has proven.
    fn evidence(&self) -> usize {
        let counts = |crash: &&Crash| crash.is_witnessed() || crash.alone;
        let evidence = self.crashes.iter().filter(counts).count();
        evidence + (self.crashes.len() - evidence).min(MAX_UNWITNESSED)
    }

    /// Returns whether the crashes prove that the task is the cause.
    fn is_proven(&self, accidents: Accidents) -> bool {
        let is_prompt = self.crashes.iter().all(Crash::is_prompt);
        let is_alone = |crash: &&Crash| crash.alone && crash.is_witnessed();
        let alone = self.crashes.iter().rev().take_while(is_alone).count();
        let enough = match (accidents, is_prompt) {
            (Accidents::Rare, true) => PROOF_CRASHES,
            (Accidents::Rare, false) | (Accidents::Suspected, _) => PROOF_CRASHES_LATER,
            (Accidents::Common, true) if alone >= PROOF_IN_QUARANTINE => PROOF_CRASHES_LATER,
            (Accidents::Common, _) => MAX_CRASHES,
        };
        alone > 0 && self.crashes.len() >= enough
    }
}

/// How often workers crash without a task being the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Accidents {
    /// Workers hardly ever crash by accident.
    Rare,
    /// Workers have crashed on which no run had just begun, by accident or by a task that causes it later.
    Suspected,
    /// Workers crash by accident so often that one more crash is little evidence against a task.
    Common,
}

/// The suspected tasks, and the crashes for which they are suspected.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// The tasks with crashes against them, in all rounds of their jobs.
    pub(crate) tasks: BTreeSet<TaskId>,
    /// The tasks that may have crashed each worker.
    by_worker: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    /// The tasks that started together in quarantine on each worker and have not been cleared.
    pub(crate) groups: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    /// When crashes were found to have been caused by no task.
    accidents: Recent,
    /// When workers crashed on which no run had just begun.
    late_crashes: Recent,
    /// When tasks were proven to crash their workers.
    proven: Recent,
}

/// The times of the last few events of a kind.
#[derive(Debug, Default)]
struct Recent(VecDeque<Instant>);

impl Recent {
    fn record(&mut self, now: Instant) {
        self.0.push_back(now);
        if self.0.len() > MAX_RECENT {
            self.0.pop_front();
        }
    }

    /// Returns how often the event happened within [`ACCIDENT_SPAN`].
    fn count(&self, now: Instant) -> usize {
        let recent = |at: &&Instant| now < **at + ACCIDENT_SPAN;
        self.0.iter().filter(recent).count()
    }
}

impl Suspicions {
    /// Records a crash that one of these tasks may have caused, or an accident if there are none.
    pub(crate) fn record_suspects(&mut self, worker: &str, tasks: BTreeSet<TaskId>, now: Instant) {
        if tasks.is_empty() {
            return self.accidents.record(now);
        }
        self.by_worker.insert(worker.into(), tasks);
    }

    /// Clears a task of suspicion. A crash for which no suspect is left was an accident.
    pub(crate) fn clear(&mut self, task: TaskId, now: Instant) {
        self.tasks.remove(&task);
        for group in self.groups.values_mut() {
            group.remove(&task);
        }
        let mut accidents = 0;
        self.by_worker.retain(|_, tasks| {
            accidents += usize::from(tasks.remove(&task) && tasks.is_empty());
            !tasks.is_empty()
        });
        (0..accidents).for_each(|_| self.accidents.record(now));
    }

    /// Records that a task has been proven to crash its workers.
    pub(crate) fn record_proven(&mut self, now: Instant) {
        self.proven.record(now);
    }

    /// Removes the tasks of a job that is over, about which nothing more will be learned.
    pub(crate) fn drop_job(&mut self, job: JobId) {
        if self.tasks.iter().any(|task| task.job == job) {
            self.tasks.retain(|task| task.job != job);
            let is_of_job = |tasks: &BTreeSet<TaskId>| tasks.iter().any(|task| task.job == job);
            self.by_worker.retain(|_, tasks| !is_of_job(tasks));
        }
    }

    /// Returns how often workers have recently crashed without a task being the cause.
    pub(crate) fn accidents(&self, now: Instant) -> Accidents {
        let enough = COMMON_ACCIDENTS.max(self.proven.count(now));
        if self.accidents.count(now) >= enough {
            Accidents::Common
        } else if self.late_crashes.count(now) >= enough {
            Accidents::Suspected
        } else {
            Accidents::Rare
        }
    }

    /// Records that a worker on which no run had just begun has crashed, if `ages`, the ages of the runs that
    /// may have caused the crash, show that.
    pub(crate) fn record_ages(
        &mut self,
        mut ages: impl Iterator<Item = Option<Duration>>,
        now: Instant,
    ) {
        // A run that an earlier owner started may have just begun.
        let prompted = ages.any(|age| age.is_none_or(|age| age <= PROMPT_AGE));
        if !prompted {
            self.late_crashes.record(now);
        }
    }
}
