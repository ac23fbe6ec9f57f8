//! What the ends of workers without notice say against the tasks that ran there.
//!
//! A task may end each worker that starts it, and with it a dozen runs of others. A worker that has ended lists no
//! end, so each such end counts against the tasks that may be its cause: first those that had just begun. These are
//! started again in quarantine: one at a time on a worker with little to lose, until the run has outlived the age at
//! which the worker ended. The next end then names one of them, and all others are cleared.

use crate::{JobId, TaskId, WorkerId};
use clock::Instant;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Until a worker has answered for so long after a start, that run may be what ends it. Users saw workers end 2 to
/// 10 ms after the start; 25 times that leaves room for slow workers. A quarantine takes as long, so that longer ones
/// would keep room from others.
pub(crate) const PROVEN_AGE: Duration = Duration::from_millis(250);

/// Once a run has been at work for longer, the end of its worker counts against no task: it is not the start that ended
/// it. 100 times what users saw. A lasting task would else be given up after some days for ends that have nothing to do
/// with it.
pub(crate) const MAX_SUSPECT_RUNTIME: Duration = Duration::from_millis(1_000);

/// Within this time after its start, the end of a worker is most likely the run's doing: users saw 2 to 10 ms, and an
/// owner that is full learns of it 76 ms later.
const PROMPT_AGE: Duration = Duration::from_millis(100);

/// How many ends of workers are proof, the last of them in quarantine, where all came promptly and accidents are rare:
/// the first makes suspects, the quarantine names one.
const PROOF_CRASHES: usize = 2;

/// How many are where the run was older, or workers may end by accident: where each of 20 ended every 8 s, two prompt
/// ends met some of 3,000 harmless tasks within a minute.
const PROOF_CRASHES_LATER: usize = 3;

/// How many ends of workers are proof in any case. The users allow two starts after the third; one end in five may
/// meet a start that no record names, and is not known.
const MAX_CRASHES: usize = 4;

/// How many ends of workers that no task has caused make accidents common, and within which time; and more than have
/// been proven to be the doing of tasks. Where tasks end workers all the time, a few accidents beside them would else
/// ask for four ends of each: with 40 such tasks in 20 s on 8 workers, harmless suspects waited 18 s for their turn.
const COMMON_ACCIDENTS: usize = 2;

/// See [`COMMON_ACCIDENTS`].
const ACCIDENT_SPAN: Duration = Duration::from_secs(30);

/// How many of the last such ends are remembered: more than that say no more.
const MAX_RECENT: usize = 64;

/// The end of a worker without notice under a run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// How long after the start the worker was found to be silent, in ms; none if an earlier owner sent the start.
    pub age: Option<u64>,
    /// Whether the run had just begun.
    pub fresh: bool,
    /// Whether it was the only one there that had just begun, or was in quarantine.
    pub alone: bool,
}

impl Crash {
    /// Whether the end came promptly after the start.
    fn is_prompt(&self) -> bool {
        self.age
            .is_some_and(|age| age <= PROMPT_AGE.as_millis() as u64)
    }

    /// Whether a run that was at work for so long, in ms, shows that the task did not cause this end: one that ends its
    /// workers does so at about the same age each time.
    fn is_disproved_by(&self, lived: u64) -> bool {
        self.age
            .is_some_and(|age| lived > 2 * age + PROVEN_AGE.as_millis() as u64)
    }
}

/// How a task stands, by the ends of workers under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It is started like others.
    Clear,
    /// It is started in quarantine, which ends when the run has outlived this age.
    Quarantined(Duration),
    /// Its job is given up.
    Failed,
}

/// The record of a task: what speaks against it, and what for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// The ends of workers that may have been caused by it.
    pub crashes: Vec<Crash>,
    /// For how long a run of it has been at work at the most, in ms.
    pub outlived: u64,
}

impl CrashHistory {
    /// Takes note of the end of a worker under a run that had been at work for so long, in ms. True if it counts.
    pub(crate) fn record_crash(&mut self, crash: Crash, lived: u64) -> bool {
        let is_late = lived > MAX_SUSPECT_RUNTIME.as_millis() as u64;
        let counts = !is_late && !crash.is_disproved_by(self.outlived);
        self.crashes
            .retain(|earlier| !earlier.is_disproved_by(lived));
        self.outlived = self.outlived.max(lived);
        if counts {
            self.crashes.push(crash);
        }
        counts
    }

    /// How old a run must become to show that the task is not the cause: twice the least age at which a worker ended,
    /// since a task does its work at about the same pace everywhere.
    pub(crate) fn threshold(&self) -> Duration {
        let ages = self.crashes.iter().filter_map(|crash| crash.age);
        let least = Duration::from_millis(ages.min().unwrap_or(0));
        PROVEN_AGE.max(least * 2)
    }

    /// How the task stands.
    pub(crate) fn standing(&self, accidents: Accidents) -> Standing {
        let count = self.crashes.len();
        // Where accidents are common, one end of a worker says next to nothing of a dozen tasks there.
        let one_is_enough = accidents != Accidents::Common;
        if self.is_proven(accidents) || count >= MAX_CRASHES {
            Standing::Failed
        } else if count >= PROOF_CRASHES
            || one_is_enough && self.crashes.iter().any(|crash| crash.fresh)
        {
            Standing::Quarantined(self.threshold())
        } else {
            Standing::Clear
        }
    }

    /// Whether the ends of workers prove that the task is the cause.
    fn is_proven(&self, accidents: Accidents) -> bool {
        let is_prompt = self.crashes.iter().all(Crash::is_prompt);
        let last_alone = self.crashes.last().is_some_and(|crash| crash.alone);
        let enough = match (accidents, is_prompt) {
            (Accidents::Rare, true) => PROOF_CRASHES,
            (Accidents::Rare, false) | (Accidents::Suspected, _) => PROOF_CRASHES_LATER,
            (Accidents::Common, _) => MAX_CRASHES,
        };
        last_alone && self.crashes.len() >= enough
    }
}

/// How often workers end that no task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Accidents {
    /// Hardly ever.
    Rare,
    /// Workers have ended on which no run had just begun: by accident, or by a task that does it later.
    Suspected,
    /// Now and then: one more end of a worker says little of a task.
    Common,
}

/// Who is under suspicion, and for the end of which worker.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// The tasks with ends of workers against them, in all repeats of their jobs.
    pub(crate) tasks: BTreeSet<TaskId>,
    /// Which tasks may have ended a worker.
    by_worker: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    /// When ends of workers were found to have been caused by no task.
    accidents: Recent,
    /// When workers ended on which no run had just begun.
    unprompted: Recent,
    /// When tasks were proven to end their workers.
    proven: Recent,
}

/// The last few times at which something happened.
#[derive(Debug, Default)]
struct Recent(VecDeque<Instant>);

impl Recent {
    fn record(&mut self, now: Instant) {
        self.0.push_back(now);
        if self.0.len() > MAX_RECENT {
            self.0.pop_front();
        }
    }

    /// How often it happened of late.
    fn count(&self, now: Instant) -> usize {
        let recent = |at: &&Instant| now < **at + ACCIDENT_SPAN;
        self.0.iter().filter(recent).count()
    }
}

impl Suspicions {
    /// A worker has ended; one of these tasks may be the cause.
    pub(crate) fn record_suspects(&mut self, worker: &str, tasks: BTreeSet<TaskId>, now: Instant) {
        if tasks.is_empty() {
            return self.accidents.record(now);
        }
        self.by_worker.insert(worker.into(), tasks);
    }

    /// A task is not the cause of what it was under suspicion for; where nothing else can be, nothing was.
    pub(crate) fn clear(&mut self, task: TaskId, now: Instant) {
        self.tasks.remove(&task);
        let mut solved = 0;
        self.by_worker.retain(|_, tasks| {
            solved += usize::from(tasks.remove(&task) && tasks.is_empty());
            !tasks.is_empty()
        });
        (0..solved).for_each(|_| self.accidents.record(now));
    }

    /// A task has been proven to end its workers.
    pub(crate) fn record_proven(&mut self, now: Instant) {
        self.proven.record(now);
    }

    /// A job is over: of its tasks nothing more will be learned.
    pub(crate) fn drop_job(&mut self, job: JobId) {
        if self.tasks.iter().any(|task| task.job == job) {
            self.tasks.retain(|task| task.job != job);
            let is_of_job = |tasks: &BTreeSet<TaskId>| tasks.iter().any(|task| task.job == job);
            self.by_worker.retain(|_, tasks| !is_of_job(tasks));
        }
    }

    /// How often workers end that no task has ended.
    pub(crate) fn accidents(&self, now: Instant) -> Accidents {
        let enough = COMMON_ACCIDENTS.max(self.proven.count(now));
        if self.accidents.count(now) >= enough {
            Accidents::Common
        } else if self.unprompted.count(now) >= enough {
            Accidents::Suspected
        } else {
            Accidents::Rare
        }
    }

    /// A worker has ended on which these runs may have been the cause, by the ages that they had.
    pub(crate) fn record_ages(
        &mut self,
        mut ages: impl Iterator<Item = Option<Duration>>,
        now: Instant,
    ) {
        // What an earlier owner started may have just begun.
        let prompted = ages.any(|age| age.is_none_or(|age| age <= PROMPT_AGE));
        if !prompted {
            self.unprompted.record(now);
        }
    }
}
