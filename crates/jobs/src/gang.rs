//! Places all tasks of a gang at once.

use crate::{
    Cell, Need, Step, Task, TaskId, Worker, WorkerId,
    cell::need_of,
    hall_return::is_within_limit,
    place::{Placing, may_join},
};
use clock::Instant;

/// A worker that members of a gang may be assigned to, and its state with those that already are.
struct Candidate<'w> {
    worker: &'w Worker,
    used: Need,
    /// The usage up to which it gets work.
    limit: Need,
    /// How many tasks of the gang's step it has.
    siblings: u32,
    /// Whether a member of the gang has been assigned to it.
    has_member: bool,
    /// Whether a suspected member has been assigned to it, so that no other may start there.
    closed: bool,
}

impl<'w> Candidate<'w> {
    /// Creates the candidate for a worker before any member of the gang of `task` is placed.
    fn new(worker: &'w Worker, limit: Need, task: TaskId) -> Self {
        Candidate {
            worker,
            used: worker.used,
            limit,
            siblings: worker.siblings(task),
            has_member: false,
            closed: false,
        }
    }

    /// Assigns a member of the gang to the worker.
    fn assign(&mut self, need: Need, alone: bool) {
        self.used.add(need);
        self.siblings += 1;
        self.has_member = true;
        self.closed = alone;
    }

    /// Returns whether a crash of the worker would identify the member, since no other run has just begun
    /// there.
    fn suits_quarantine(&self) -> bool {
        !self.has_member && self.worker.is_settled()
    }

    /// Returns the free capacity, in thousandths of a core.
    fn free(&self) -> u64 {
        self.worker.info.capacity.cpu.saturating_sub(self.used.cpu)
    }

    /// Returns whether one more member with this need fits.
    fn fits(&self, need: Need, step: &Step) -> bool {
        !self.closed
            && need.fits(self.used, self.worker.info.capacity)
            && is_within_limit(need, self.used, self.limit)
            && may_join(step, || self.siblings)
    }
}

impl Cell {
    /// Places all tasks of a gang at once. In the queue, one task stands for the whole gang.
    pub(crate) fn place_gang(&mut self, task: TaskId, now: Instant) -> Placing {
        if self.is_misfit(task) {
            return Placing::NoFit;
        }
        let Some(places) = self.gang_places(task, now) else {
            self.record_misfit(task, now);
            return Placing::NoFit;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        let tasks = &job.rounds[task.round as usize].steps[task.step as usize];
        let run = tasks.iter().map(Task::next_run).max().unwrap_or(1);
        for (index, worker) in (0..).zip(places) {
            self.order_start(worker, TaskId { index, ..task }, run, now);
        }
        Placing::Done
    }

    /// Returns a worker for each member of a gang, or `None` if they don't all fit at once.
    fn gang_places(&self, task: TaskId, now: Instant) -> Option<Vec<WorkerId>> {
        let job = self.jobs.get(&task.job)?;
        if !job.step(task.step).same_rack {
            return self.gang_places_in(task, None, now);
        }
        let workers = self.workers.of(&job.submission.service);
        let mut racks: Vec<&str> = workers.map(|w| w.info.rack()).collect();
        racks.sort_unstable();
        racks.dedup();
        let within = racks
            .into_iter()
            .find_map(|rack| self.gang_places_in(task, Some(rack), now));
        within.or_else(|| self.gang_places_in(task, None, now))
    }

    /// Returns a worker of one rack, or of any rack if `rack` is `None`, for each member of a gang; `None` if
    /// the members don't all fit at once.
    fn gang_places_in(
        &self,
        task: TaskId,
        rack: Option<&str>,
        now: Instant,
    ) -> Option<Vec<WorkerId>> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step);
        let need = need_of(job, task);
        let is_eligible = |w: &&Worker| {
            let here = rack.is_none_or(|rack| w.info.rack() == rack);
            here && self.accepts(w, job, task, now)
        };
        let mut candidates: Vec<Candidate<'_>> = self
            .workers
            .of(&job.submission.service)
            .filter(is_eligible)
            .map(|worker| Candidate::new(worker, self.limit_of(worker, now), task))
            .collect();
        let workers = candidates.len();
        let needs_own = |index| self.needs_own_worker(TaskId { index, ..task }, workers, now);
        let members = (0..step.count).map(|index| (needs_own(index), index));
        let mut members: Vec<(bool, u32)> = members.collect();
        // Members that need a worker of their own are placed first.
        members.sort_by_key(|(alone, _)| !alone);
        let mut places = vec![WorkerId::default(); members.len()];
        for (alone, index) in members {
            let fitting = candidates
                .iter_mut()
                .filter(|host| host.fits(need, step) && (!alone || host.suits_quarantine()));
            let freest = fitting.max_by_key(|host| host.free())?;
            freest.assign(need, alone);
            places[index as usize].clone_from(&freest.worker.info.id);
        }
        Some(places)
    }

    /// Returns whether a member of a gang must be the only one that starts on its worker, so that a crash
    /// identifies it. If the gang has more such members than there are workers, none is placed alone, since
    /// the gang would never start.
    fn needs_own_worker(&self, member: TaskId, workers: usize, now: Instant) -> bool {
        if self.quarantine_threshold(member, now).is_none() {
            return false;
        }
        let members = self.members(member);
        let in_quarantine = |member: &&TaskId| self.quarantine_threshold(**member, now).is_some();
        let suspects = members.iter().filter(in_quarantine).count();
        let others = usize::from(suspects < members.len());
        suspects + others <= workers
    }
}
