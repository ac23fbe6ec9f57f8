//! The lives of workers as entries name them and as they answer.

use crate::{AnswerOutcome, Cell, Listing, Loss, StartedAtMs, WorkerId, WorkerInfo};
use clock::Instant;

impl Cell {
    /// Takes in an entry of the list, which may be of any life of its worker. Lives that only entries have named are
    /// forgotten where too many are.
    pub fn list_worker(&mut self, mut info: WorkerInfo, now: Instant) -> Listing {
        let listing = self
            .lives
            .record_listing(info.id.name(), info.id.started_at());
        let Listing::Incarnation(life) = &listing else {
            return listing;
        };
        info.id = life.clone();
        self.see_worker(info, now);
        for excess in self.lives.excess(life.name()) {
            let worker = self.workers.get(&excess);
            if excess != *life && worker.is_some_and(|worker| !worker.has_answered_or_runs()) {
                self.lose_worker(&excess, Loss::Lapsed, now);
            }
        }
        listing
    }

    /// Takes in which life of a worker has answered at `now` what `meant` was asked at `asked`. A worker that is over
    /// gets no new runs; it is given up once the one in its place has been asked what it runs ([`Cell::outlived`]).
    pub fn hear(
        &mut self,
        meant: &WorkerId,
        born: Option<StartedAtMs>,
        asked: Instant,
        now: Instant,
    ) -> AnswerOutcome {
        if self.workers.get(meant).is_none() {
            // It was given up meanwhile.
            return AnswerOutcome::Outdated;
        }
        let hearing = self.lives.record_answer(meant, born, asked, now);
        if let AnswerOutcome::Replaced { next, .. } = &hearing {
            self.mute_worker(meant, now);
            self.succeed(meant, next, now);
        }
        hearing
    }

    /// Another life answers in the place of one. Until its own entry has been read it gets no runs: it may be of another
    /// kind.
    fn succeed(&mut self, former: &str, next: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(former) else {
            return;
        };
        if self.workers.get(next).is_some() {
            return;
        }
        let info = WorkerInfo {
            id: next.clone(),
            draining: false,
            ..WorkerInfo::clone(&worker.info)
        };
        self.see_worker(info, now);
        if let Some(worker) = self.workers.get_mut(next) {
            // What was on its way to the life before may have come there.
            worker.contacted = false;
            worker.unusable = true;
        }
    }

    /// The lives of a worker that are over for certain, now that this one has answered a question that was asked at
    /// `asked`: what they ran ended with them, and what was on its way to them is listed, or never comes.
    pub fn outlived(&self, life: &str, asked: Instant) -> Vec<WorkerId> {
        self.lives.ended_by(life, asked)
    }

    /// The lives of a worker that are over since this one has answered, while it may still list what they were to run.
    pub fn former(&self, life: &str) -> Vec<WorkerId> {
        self.lives.predecessors(life)
    }

    /// The life of a worker that counts, by the worker's name; none if nothing is known of it.
    pub fn current_life(&self, name: &str) -> Option<&WorkerId> {
        self.lives.current(name)
    }

    /// All lives of a worker that may have runs, by the worker's name.
    pub fn lives_of(&self, name: &str) -> Vec<WorkerId> {
        self.lives.of(name).cloned().collect()
    }

    /// How often this owner has found another life of a worker in the place of one. A worker keeps the highest fence
    /// that it has seen and does nothing for a lower one: a fence that rises with this count shuts out what is still
    /// under way to the lives before.
    pub fn changes_of(&self, life: &str) -> u64 {
        self.lives.changes(life)
    }
}
