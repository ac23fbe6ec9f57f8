//! How much work comes to a service, now and once a VM that is ordered now is there.
//!
//! A turn grows for some 3 s, and a VM that changes its pool takes 1.5 s: ordered by what comes now, VMs were always as many as
//! were wanted 2 s before. So what comes is foreseen to grow on, up to what came in earlier turns where that is known.

use crate::Need;
use std::{collections::VecDeque, time::Duration};

/// Over how long the jobs that come are counted to foresee what a pool needs, at the most. Ten jobs a second
/// come at a peak of a small site; over less, one large job looks like a peak, over more, a peak is seen too
/// late.
const LONGEST: Duration = Duration::from_millis(1_200);

/// The shorter spans over which they are counted where enough come: with 350 jobs a second, the first fifth of
/// a second of a peak tells what the first 1.2 s would, and a VM that is ordered a second sooner serves a
/// quarter more of a peak of 4.5 s.
const SHORT: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// How many jobs are enough for a shorter span: where their sizes differ by half of their mean, the sum of 32
/// is off by a tenth.
const ENOUGH: usize = 32;

/// How far ahead a growth is foreseen: until a VM that is ordered now has changed its pool (1.5 s) and is met.
const AHEAD: Duration = Duration::from_millis(1_600);

/// From how much more jobs than in the span before on, in standard deviations of the difference, more come for certain: by
/// chance, one span in 44 looks so.
const CERTAIN: f64 = 2.0;

/// By how much a growth may raise what comes at the most, as a part of it: it ends some time.
const MOST_GROWTH: f64 = 2.0;

/// By how much more than in earlier turns may be foreseen, as a multiple: turns differ.
const HIGHER: f64 = 1.25;

/// How long ago a peak must have been at the least to belong to an earlier turn.
const EARLIER: Duration = Duration::from_millis(6_000);

/// For how long a peak is remembered: some rounds of turns.
const REMEMBERED: Duration = Duration::from_secs(120);

/// In which steps peaks are remembered.
const STEP: Duration = Duration::from_millis(1_000);

/// A moment, in ms since 1970.
type WallMs = u64;

/// The jobs that came of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// When each came, and its work as needs times seconds; the oldest first.
    jobs: VecDeque<(WallMs, Need)>,
    /// The most that came in each [`STEP`], oldest first: when it began, and what came over [`LONGEST`].
    peaks: VecDeque<(WallMs, Need)>,
}

/// What comes to a service, as what it takes for as long as it comes so.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Inflow {
    /// By what came of late.
    pub(crate) now: Need,
    /// Once a VM that is ordered now is there, if it goes on growing as it does.
    pub(crate) ahead: Need,
}

impl Arrivals {
    /// Notes the work of a job.
    pub(crate) fn record(&mut self, now: WallMs, work: Need) {
        let since = before(now, LONGEST * 2);
        self.jobs.push_back((now, work));
        while self.jobs.front().is_some_and(|(at, _)| *at < since) {
            self.jobs.pop_front();
        }
        self.note_peak(now);
    }

    /// Notes what comes now, if that is the most in its step.
    fn note_peak(&mut self, now: WallMs) {
        let rate = self.rate(LONGEST, now);
        match self.peaks.back_mut() {
            Some((began, most)) if now < *began + STEP.as_millis() as WallMs => {
                *most = most.max(rate);
            }
            Some(_) | None => self.peaks.push_back((now, rate)),
        }
        let since = before(now, REMEMBERED);
        while self.peaks.front().is_some_and(|(at, _)| *at < since) {
            self.peaks.pop_front();
        }
    }

    /// The most that came in earlier turns.
    fn earlier_peak(&self, now: WallMs) -> Need {
        let until = before(now, EARLIER);
        let earlier = self.peaks.iter().take_while(|(at, _)| *at <= until);
        earlier.fold(Need::default(), |most, (_, rate)| most.max(*rate))
    }

    /// What came over a span.
    fn rate(&self, span: Duration, now: WallMs) -> Need {
        let since = before(now, span);
        let recent = self.jobs.iter().rev().take_while(|(at, _)| *at >= since);
        Need::sum(recent.map(|(_, work)| *work)).times(1.0 / span.as_secs_f64())
    }

    /// What comes: over the shortest span in which [`ENOUGH`] came.
    pub(crate) fn inflow(&self, now: WallMs) -> Inflow {
        let enough = |span: &Duration| self.count(before(now, *span), now) >= ENOUGH;
        let span = SHORT.into_iter().find(enough).unwrap_or(LONGEST);
        let rate = self.rate(span, now);
        let ahead = rate.times(1.0 + self.growth(span, now).min(MOST_GROWTH));
        let known = self.earlier_peak(now).times(HIGHER);
        Inflow {
            now: rate,
            // A turn that is higher than all before may grow to anything.
            ahead: if rate.is_within(known) {
                ahead.min(known)
            } else {
                ahead
            },
        }
    }

    /// By which part of itself what comes will have grown once a VM that is ordered now is there: over the shortest span, of
    /// at least this length, that shows a growth for certain.
    fn growth(&self, least: Duration, now: WallMs) -> f64 {
        let spans = SHORT.into_iter().chain([LONGEST]);
        let mut grows = spans
            .filter(|span| *span >= least)
            .map(|span| self.growth_over(span, now));
        grows.find(|growth| *growth > 0.0).unwrap_or(0.0)
    }

    /// The same over one span: what came in its middle grows on to where it will be.
    fn growth_over(&self, span: Duration, now: WallMs) -> f64 {
        let since = before(now, span);
        let recent = self.count(since, now) as f64;
        let earlier = self.count(before(now, span * 2), since.saturating_sub(1)) as f64;
        let ahead = AHEAD + span / 2;
        growth(recent, earlier) * ahead.as_secs_f64() / span.as_secs_f64()
    }

    /// How many jobs came between two moments, both included.
    fn count(&self, since: WallMs, until: WallMs) -> usize {
        let late = self.jobs.iter().rev().skip_while(|(at, _)| *at > until);
        late.take_while(|(at, _)| *at >= since).count()
    }
}

/// By which part of what came in a span more came than in the span before it; 0 where that may be by chance.
fn growth(recent: f64, earlier: f64) -> f64 {
    let more = recent - earlier;
    if more <= CERTAIN * (recent + earlier).sqrt() {
        return 0.0;
    }
    more / recent
}

/// The moment so long before another.
fn before(now: WallMs, span: Duration) -> WallMs {
    now.saturating_sub(span.as_millis() as WallMs)
}
