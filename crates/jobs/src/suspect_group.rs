//! Starts suspected tasks in groups where single quarantines would take too long.
//!
//! A worker that crashes under 500 small tasks leaves 500 suspects, most of them harmless. A group of them starts
//! together on a worker that takes nothing else. If the worker outlives the quarantine, the whole group is cleared;
//! if it crashes, only the group stays suspected, and its tasks then start one at a time.

use crate::{
    Cell, TaskId, TaskPhase, WorkerId,
    cell::need_of,
    place::{has_required_label, may_join},
    quarantine::QuarantineRound,
    rank::Rank,
    suspicion::PROVEN_AGE,
    worker::Quarantine,
};
use clock::Instant;
use std::collections::{BTreeSet, VecDeque};

/// How many rounds the single quarantines of all suspects with one crash, and of those with two, may take. If they
/// take more, groups are started. A crash in a group counts against each member, so that a task with more crashes
/// starts alone: it would fail without proof, and a task that crashes its workers would be started too often.
const MAX_SINGLE_ROUNDS: [usize; 2] = [8, 24];

/// How many suspected tasks start together, by the number of crashes against them, from one on.
#[derive(Clone, Copy, Default)]
pub(crate) struct GroupSizes([usize; MAX_SINGLE_ROUNDS.len()]);

impl GroupSizes {
    /// Returns how many tasks with this number of crashes start together.
    fn of(&self, crashes: usize) -> usize {
        let index = crashes.checked_sub(1);
        let size = index.and_then(|index| self.0.get(index));
        size.copied().unwrap_or(1)
    }
}

/// The state of a group of suspected tasks on a worker.
enum GroupState {
    /// No member is left on the worker that may still crash it.
    Over,
    /// The worker was given up while it had the group, and may prove to have crashed.
    Lost,
    /// Nothing else may start on the worker until these members have been cleared.
    Suspected(BTreeSet<TaskId>, Quarantine),
}

impl Cell {
    /// Returns how many of the suspected tasks that may start now start together. Groups as large as the square root
    /// of their number keep both the rounds of groups and the single quarantines after a crash few.
    pub(crate) fn group_sizes(
        &self,
        service: &str,
        ready: &VecDeque<Rank>,
        now: Instant,
    ) -> GroupSizes {
        let places = self.quarantine_places(service, now);
        let mut sizes = GroupSizes::default();
        for (index, max_rounds) in MAX_SINGLE_ROUNDS.into_iter().enumerate() {
            let has_crashes = |rank: &&Rank| self.crash_count(rank.task()) == index + 1;
            let count = ready.iter().filter(has_crashes).count();
            let is_slow = count > max_rounds * places;
            sizes.0[index] = if is_slow { count.isqrt() } else { 1 };
        }
        sizes
    }

    /// Starts further suspected tasks with as many crashes beside one that has just started in quarantine.
    pub(crate) fn fill_group(
        &mut self,
        service: &str,
        first: TaskId,
        round: &mut QuarantineRound,
        now: Instant,
    ) {
        let crashes = self.crash_count(first);
        let size = round.group_sizes.of(crashes);
        let Some(worker) = self.placed_on(first).filter(|_| size > 1) else {
            return;
        };
        if self.is_gang(first) {
            return;
        }
        let mut group = BTreeSet::from([first]);
        round.ready.retain(|rank| {
            let task = rank.task();
            let joins = group.len() < size
                && self.crash_count(task) == crashes
                && self.may_join_group(&worker, task, now);
            if joins {
                self.start_in_quarantine(worker.clone(), task, now);
                self.drop_rank(service, rank);
                group.insert(task);
            }
            !joins
        });
        if group.len() > 1 {
            let thresholds = group
                .iter()
                .filter_map(|task| self.quarantine_threshold(*task, now));
            let longest = thresholds.max().unwrap_or(PROVEN_AGE);
            let host = self.workers.get_mut(&worker);
            if let Some(quarantine) = host.and_then(|host| host.quarantine.as_mut()) {
                quarantine.threshold = longest;
            }
            self.suspicions.groups.insert(worker, group);
        }
    }

    /// Returns whether a suspected task may start on a worker beside the group that starts there.
    fn may_join_group(&self, worker: &str, task: TaskId, now: Instant) -> bool {
        let (Some(worker), Some(job)) = (self.workers.get(worker), self.jobs.get(&task.job)) else {
            return false;
        };
        let step = job.step(task.step);
        !step.gang
            && self.has_capacity(worker, need_of(job, task), now)
            && has_required_label(worker, step)
            && may_join(step, || worker.siblings(task))
            && (!job.submission.requires_permits || self.has_permit(task, &worker.info.id, now))
    }

    /// Returns how many suspected tasks started together on a worker and have not been cleared.
    pub(crate) fn group_len(&self, worker: &str) -> usize {
        self.suspicions.groups.get(worker).map_or(1, BTreeSet::len)
    }

    /// Keeps workers closed on which members of a group are still suspected, also where the run that stands for the
    /// group has ended.
    pub(crate) fn renew_groups(&mut self, now: Instant) {
        let ids: Vec<WorkerId> = self.suspicions.groups.keys().cloned().collect();
        for id in ids {
            match self.group_state(&id, now) {
                GroupState::Lost => {}
                GroupState::Over => {
                    self.suspicions.groups.remove(&id);
                }
                GroupState::Suspected(members, quarantine) => {
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.quarantine.get_or_insert(quarantine);
                    }
                    self.suspicions.groups.insert(id, members);
                }
            }
        }
    }

    /// Returns the state of the group on a worker.
    fn group_state(&self, id: &str, now: Instant) -> GroupState {
        let (Some(worker), Some(group)) = (self.workers.get(id), self.suspicions.groups.get(id))
        else {
            return GroupState::Over;
        };
        if !worker.lapsed.is_empty() {
            return GroupState::Lost;
        }
        let mut members = BTreeSet::new();
        let mut last = None;
        for (key, state) in &worker.runs {
            let threshold = self.quarantine_threshold(key.0, now);
            let threshold = threshold.unwrap_or(PROVEN_AGE);
            if group.contains(&key.0) && worker.known_runtime(state) < threshold {
                members.insert(key.0);
                last = Some(Quarantine {
                    key: *key,
                    threshold,
                });
            }
        }
        last.map_or(GroupState::Over, |quarantine| {
            GroupState::Suspected(members, quarantine)
        })
    }

    /// Returns the worker on which a task has been placed.
    fn placed_on(&self, task: TaskId) -> Option<WorkerId> {
        let state = self.jobs.get(&task.job)?;
        match &state.task(task.round, task.step, task.index)?.phase {
            TaskPhase::Placed(worker) => Some(worker.clone()),
            _ => None,
        }
    }

    /// Returns whether a task is a member of a gang.
    fn is_gang(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.step(task.step).gang)
    }
}
