//! How much room the jobs of a service ask for: what runs, what waits, and what comes.

use crate::{Cell, Job, JobId, Step, Submission, cell::room_of, rank::Rank};
use std::time::Duration;

/// Over how long the jobs that come are counted to foresee what a pool needs. Ten jobs a second come
/// at a peak; over less, one large job looks like a peak, over more, a peak is seen too late.
const INFLOW: Duration = Duration::from_millis(1_200);

/// What the jobs of a service ask for, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What runs take.
    pub busy: u64,
    /// What waits for room.
    pub waiting: u64,
    /// The part of it that cannot be in time any more.
    pub late: u64,
    /// What the jobs that came of late will take, as long as as many come.
    pub inflow: u64,
    /// Whether the service has had a job that ends by itself.
    pub begun: bool,
    /// How many workers the widest step needs whose tasks must be apart, and one more, so that a
    /// task whose worker is lost or taken out finds another.
    pub spread: usize,
}

impl Cell {
    /// What the jobs of a service take, and what more they wait for, in thousandths of a core.
    pub fn demand(&self, service: &str) -> Demand {
        let busy = self.workers.of(service).map(|w| w.used.cpu).sum();
        let needs = |rank: &Rank| {
            let task = rank.task();
            let job = self
                .jobs
                .get(&task.job)
                .filter(|job| !job.phase.is_over())?;
            let step = job.step(task.step);
            let members = if step.gang { u64::from(step.count) } else { 1 };
            Some(room_of(job, task).cpu * members)
        };
        let queue = || self.waiting.get(service).into_iter().flatten();
        let late = queue().filter(|rank| rank.is_late()).filter_map(needs);
        Demand {
            busy,
            waiting: queue().filter_map(needs).sum(),
            late: late.sum(),
            inflow: self.inflow(service),
            begun: self.begun.contains(service),
            spread: self.spread(service),
        }
    }

    /// Since when the jobs that came are counted, in ms since 1970.
    fn inflow_start(&self) -> u64 {
        self.wall.saturating_sub(INFLOW.as_millis() as u64)
    }

    /// The work of the jobs that came within [`INFLOW`], per second.
    fn inflow(&self, service: &str) -> u64 {
        let since = self.inflow_start();
        let came = self.came.get(service).into_iter().flatten();
        let work: f64 = came
            .filter(|(at, _)| *at >= since)
            .map(|(_, work)| work)
            .sum();
        (work / INFLOW.as_secs_f64()) as u64
    }

    /// Notes the work of a job, in thousandths of a core times seconds.
    pub(super) fn note_inflow(&mut self, given: &Submission) {
        let pace = self.pace_of(&given.queue);
        let finite = given
            .spec
            .steps
            .iter()
            .filter(|step| !step.lasting && !step.fills);
        let work = |step: &Step| f64::from(step.count) * (step.need.cpu * step.estimate) as f64;
        let work = finite.map(work).sum::<f64>() * pace / 1_000.0;
        let since = self.inflow_start();
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
    pub(super) fn note_spread(&mut self, job: &Job) {
        let spread = widest_spread(job);
        self.spreads
            .extend(spread.map(|spread| (job.given.id, spread)));
    }
}

/// How many workers the widest step of a job needs whose tasks must be apart; none if it has no such step.
pub(super) fn widest_spread(job: &Job) -> Option<usize> {
    let steps = job.given.spec.steps.iter();
    let apart = steps.filter_map(|step| Some(step.count.div_ceil(step.apart?)));
    apart.max().map(|widest| widest as usize)
}
