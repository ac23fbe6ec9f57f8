//! How much room the jobs of a service ask for: what runs, what waits, and what comes.

use crate::{
    Cell, Job, JobId, Need, Step, StepId, Submission, cell::room_of, permit::step_of, rank::Rank,
};
use std::{collections::BTreeMap, time::Duration};

/// Over how long the jobs that come are counted to foresee what a pool needs, at the most. Ten jobs a second
/// come at a peak of a small site; over less, one large job looks like a peak, over more, a peak is seen too
/// late.
const INFLOW: Duration = Duration::from_millis(1_200);

/// The shorter spans over which they are counted where enough come: with 350 jobs a second, the first fifth of
/// a second of a peak tells what the first 1.2 s would, and a VM that is ordered a second sooner serves a
/// quarter more of a peak of 4.5 s.
const SHORT_INFLOWS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// How many jobs are enough for a shorter span: where their sizes differ by half of their mean, the sum of 32
/// is off by a tenth.
const ENOUGH: usize = 32;

/// What the jobs of a service ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What runs take.
    pub busy: Need,
    /// What waits for room.
    pub waiting: Need,
    /// The part of it that cannot be in time any more.
    pub late: Need,
    /// What the jobs that came of late will take, as long as as many come.
    pub inflow: Need,
    /// Whether the service has had a job that ends by itself.
    pub begun: bool,
    /// How many workers the widest step needs whose tasks must be apart, and one more, so that a
    /// task whose worker is lost or taken out finds another.
    pub spread: usize,
    /// The lasting tasks that found no room.
    pub roomless: Roomless,
}

/// Lasting tasks that found no room at the last look, however much room the workers have in sum: what is free
/// may be too small on each of them, or on workers that have such a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Roomless {
    /// What they need.
    pub need: Need,
    /// How many workers the most of one step need that must be apart.
    pub apart: usize,
}

impl Roomless {
    /// How many more workers with this room they need.
    pub fn workers(&self, room: Need) -> usize {
        let filled = self.need.workers_of(self.need.scarcest(room), room);
        self.apart.max(filled.ceil() as usize)
    }
}

impl Cell {
    /// What the jobs of a service take, and what more they wait for.
    pub fn demand(&self, service: &str) -> Demand {
        let busy = Need::sum(self.workers.of(service).map(|worker| worker.used));
        let needs = |rank: &Rank| {
            let task = rank.task();
            let job = self
                .jobs
                .get(&task.job)
                .filter(|job| !job.phase.is_over())?;
            let step = job.step(task.step);
            let members = if step.gang {
                f64::from(step.count)
            } else {
                1.0
            };
            Some(room_of(job, task).times(members))
        };
        let queue = || self.waiting.get(service).into_iter().flatten();
        let late = queue().filter(|rank| rank.is_late()).filter_map(needs);
        Demand {
            busy,
            waiting: Need::sum(queue().filter_map(needs)),
            late: Need::sum(late),
            inflow: self.inflow(service),
            begun: self.begun.contains(service),
            spread: self.spread(service),
            roomless: self.roomless(service),
        }
    }

    /// The lasting tasks of a service that found no room at the last look.
    fn roomless(&self, service: &str) -> Roomless {
        let mut roomless = Roomless::default();
        let mut steps: BTreeMap<StepId, u32> = BTreeMap::new();
        for task in self.roomless.get(service).into_iter().flatten() {
            let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
                continue;
            };
            roomless.need.add(room_of(job, *task));
            if let Some(most) = job.step(task.step).apart {
                let tasks = steps.entry(step_of(*task)).or_default();
                *tasks += 1;
                let workers = tasks.div_ceil(most.max(1)) as usize;
                roomless.apart = roomless.apart.max(workers);
            }
        }
        roomless
    }

    /// What the jobs that came of late take, as long as as many come: over the shortest span in which
    /// [`ENOUGH`] came.
    fn inflow(&self, service: &str) -> Need {
        let Some(came) = self.came.get(service) else {
            return Need::default();
        };
        let within = |span: Duration| {
            let since = self.start_of(span);
            came.iter().rev().take_while(move |(at, _)| *at >= since)
        };
        let enough = |span: &Duration| within(*span).count() >= ENOUGH;
        let span = SHORT_INFLOWS.into_iter().find(enough).unwrap_or(INFLOW);
        let work = within(span).map(|(_, work)| *work);
        Need::sum(work).times(1.0 / span.as_secs_f64())
    }

    /// When a span that ends now began, in ms since 1970.
    fn start_of(&self, span: Duration) -> u64 {
        self.wall.saturating_sub(span.as_millis() as u64)
    }

    /// Notes the work of a job: what it needs, times seconds.
    pub(super) fn note_inflow(&mut self, given: &Submission) {
        let pace = self.pace_of(&given.queue);
        let finite = given.spec.steps.iter().filter(|step| !step.lasting);
        let work = |step: &Step| {
            let cpu = if step.fills { 0 } else { step.need.cpu };
            let seconds = step.estimate as f64 * pace / 1_000.0;
            Need { cpu, ..step.need }.times(f64::from(step.count) * seconds)
        };
        let work = Need::sum(finite.map(work));
        let since = self.start_of(INFLOW);
        let came = self.came.entry(given.service.clone()).or_default();
        came.push_back((self.wall, work));
        while came.front().is_some_and(|(at, _)| *at < since) {
            came.pop_front();
        }
    }

    /// How many workers the widest step of a service's live jobs needs whose tasks must be apart, and one
    /// more; 0 if there is no such step.
    fn spread(&self, service: &str) -> usize {
        let of_service = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.given.service == service)
        };
        let spreads = self.spreads.iter().filter(|(id, _)| of_service(id));
        let widest = spreads.map(|(_, spread)| *spread).max();
        widest.map_or(0, |widest| widest + 1)
    }

    /// Notes what a job asks for whose tasks must be apart.
    pub(super) fn note_spread(&mut self, id: JobId) {
        let spread = self.jobs.get(&id).and_then(widest_spread);
        self.spreads.extend(spread.map(|spread| (id, spread)));
    }
}

/// How many workers the widest step of a job needs whose tasks must be apart; none if it has no such step.
fn widest_spread(job: &Job) -> Option<usize> {
    let steps = job.given.spec.steps.iter();
    let apart = steps.filter_map(|step| Some(step.count.div_ceil(step.apart?)));
    apart.max().map(|widest| widest as usize)
}
