//! Finds room for all tasks of a gang at once.

use crate::{
    Cell, Need, Step, Task, TaskId, Worker, WorkerId,
    cell::room_of,
    place::{Placing, may_join},
};
use clock::Instant;

/// A worker while the members of a gang are placed, with those that it has got already.
struct Host<'w> {
    worker: &'w Worker,
    used: Need,
    /// How many tasks of the step it has.
    siblings: u32,
    /// Whether it has got members of the gang already.
    joined: bool,
    /// Whether it has got one that is under suspicion: no other begins there.
    closed: bool,
}

impl<'w> Host<'w> {
    /// A worker before members of the gang of `task` are placed there.
    fn new(worker: &'w Worker, task: TaskId) -> Self {
        Host {
            worker,
            used: worker.used,
            siblings: worker.siblings(task),
            joined: false,
            closed: false,
        }
    }

    /// Gives it a member of the gang.
    fn join(&mut self, room: Need, alone: bool) {
        self.used.add(room);
        self.siblings += 1;
        self.joined = true;
        self.closed = alone;
    }

    /// Whether its end would name a member of the gang: no other run there has just begun.
    fn suits_quarantine(&self) -> bool {
        !self.joined && self.worker.is_settled()
    }

    /// The room that is left, in thousandths of a core.
    fn free(&self) -> u64 {
        self.worker.info.capacity.cpu.saturating_sub(self.used.cpu)
    }

    /// Whether one more member, which needs this room, finds it.
    fn fits(&self, room: Need, step: &Step) -> bool {
        !self.closed
            && room.fits(self.used, self.worker.info.capacity)
            && may_join(step, || self.siblings)
    }
}

impl Cell {
    /// Places all tasks of a gang at once; one of them stands for all in the queue.
    pub(crate) fn place_gang(&mut self, task: TaskId, now: Instant) -> Placing {
        let Some(places) = self.gang_places(task, now) else {
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

    /// A worker for each member of a gang, or none if not all find room at once.
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

    /// The same within one rack, or anywhere.
    fn gang_places_in(
        &self,
        task: TaskId,
        rack: Option<&str>,
        now: Instant,
    ) -> Option<Vec<WorkerId>> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step);
        let room = room_of(job, task);
        let may = |w: &&Worker| {
            let here = rack.is_none_or(|rack| w.info.rack() == rack);
            here && self.accepts(w, job, task, now)
        };
        let mut hosts: Vec<Host<'_>> = self
            .workers
            .of(&job.submission.service)
            .filter(may)
            .map(|worker| Host::new(worker, task))
            .collect();
        let workers = hosts.len();
        let needs_own = |index| self.needs_own_worker(TaskId { index, ..task }, workers, now);
        let members = (0..step.count).map(|index| (needs_own(index), index));
        let mut members: Vec<(bool, u32)> = members.collect();
        // Those that need a worker of their own choose first.
        members.sort_by_key(|(alone, _)| !alone);
        let mut places = vec![WorkerId::default(); members.len()];
        for (alone, index) in members {
            let fitting = hosts
                .iter_mut()
                .filter(|host| host.fits(room, step) && (!alone || host.suits_quarantine()));
            let freest = fitting.max_by_key(|host| host.free())?;
            freest.join(room, alone);
            places[index as usize].clone_from(&freest.worker.info.id);
        }
        Some(places)
    }

    /// Whether a member of a gang is to be the only one that begins on its worker, so that the end of the worker names
    /// it. Where the gang has more such members than there are workers, none is: it would never start.
    fn needs_own_worker(&self, member: TaskId, workers: usize, now: Instant) -> bool {
        if self.quarantine_bar(member, now).is_none() {
            return false;
        }
        let members = self.members(member);
        let in_quarantine = |member: &&TaskId| self.quarantine_bar(**member, now).is_some();
        let suspects = members.iter().filter(in_quarantine).count();
        let others = usize::from(suspects < members.len());
        suspects + others <= workers
    }
}
