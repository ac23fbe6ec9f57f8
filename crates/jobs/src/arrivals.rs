//! Estimates the rate of work that arrives at a service, now and once a VM ordered now is available.
//!
//! A peak of load grows for about 3 s, and a VM needs 1.5 s to change its pool. When VMs were ordered by the
//! current rate, their number was always what had been needed 2 s before. The rate is therefore extrapolated,
//! limited by the peaks seen earlier where there are any.

use crate::Need;
use std::{collections::VecDeque, time::Duration};

/// The longest window over which arriving jobs are counted. Ten jobs a second arrive at the peak of a small
/// site: over a shorter window one large job looks like a peak, over a longer one a peak is noticed too late.
const MAX_WINDOW: Duration = Duration::from_millis(1_200);

/// Shorter windows that are used when enough jobs arrive. At 350 jobs a second, the first 200 ms of a peak
/// show as much as the first 1.2 s, and a VM ordered a second earlier serves a quarter more of a peak of
/// 4.5 s.
const SHORT_WINDOWS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// The number of jobs that makes a shorter window sufficient: where sizes deviate by half of their mean, the
/// sum of 32 jobs is off by a tenth.
const MIN_JOBS: usize = 32;

/// How far ahead growth is extrapolated: the 1.5 s in which a VM ordered now changes its pool, and the time
/// until its worker is contacted.
const FORECAST_SPAN: Duration = Duration::from_millis(1_600);

/// The increase over the window before that counts as growth, in standard deviations of the difference. By
/// chance, one window in 44 exceeds it.
const MIN_DEVIATION: f64 = 2.0;

/// The highest growth that is extrapolated, as a multiple of the current rate, since growth ends at some
/// point.
const MAX_GROWTH: f64 = 2.0;

/// How far the forecast may exceed earlier peaks, as a multiple, since peaks differ in height.
const MAX_PEAK_FACTOR: f64 = 1.25;

/// The minimum age of a peak that counts as an earlier one.
const MIN_EARLIER_PEAK_AGE: Duration = Duration::from_millis(6_000);

/// How long peaks are remembered, which covers a few cycles of load.
const MAX_PEAK_AGE: Duration = Duration::from_secs(120);

/// The interval for which one peak is stored.
const PEAK_INTERVAL: Duration = Duration::from_millis(1_000);

/// A point in time, in ms since 1970.
type WallMs = u64;

/// The jobs that arrived recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// The arrival time of each job and its work (need times seconds), oldest first.
    jobs: VecDeque<(WallMs, Need)>,
    /// The highest rate in each [`PEAK_INTERVAL`], measured over [`MAX_WINDOW`], with the start of the
    /// interval; oldest first.
    peaks: VecDeque<(WallMs, Need)>,
}

/// The rate of work that arrives at a service, as the resources that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Inflow {
    /// The current rate.
    pub(crate) now: Need,
    /// The rate expected once a VM ordered now is available, if growth continues.
    pub(crate) ahead: Need,
}

impl Arrivals {
    /// Records the work of a job.
    pub(crate) fn record(&mut self, now: WallMs, work: Need) {
        let since = time_before(now, MAX_WINDOW * 2);
        self.jobs.push_back((now, work));
        while self.jobs.front().is_some_and(|(at, _)| *at < since) {
            self.jobs.pop_front();
        }
        self.record_peak(now);
    }

    /// Records the current rate if it is the highest of its interval.
    fn record_peak(&mut self, now: WallMs) {
        let rate = self.rate(MAX_WINDOW, now);
        match self.peaks.back_mut() {
            Some((start, max)) if now < *start + PEAK_INTERVAL.as_millis() as WallMs => {
                *max = max.max(rate);
            }
            Some(_) | None => self.peaks.push_back((now, rate)),
        }
        let since = time_before(now, MAX_PEAK_AGE);
        while self.peaks.front().is_some_and(|(at, _)| *at < since) {
            self.peaks.pop_front();
        }
    }

    /// Returns the highest rate among peaks that are older than [`MIN_EARLIER_PEAK_AGE`].
    fn earlier_peak(&self, now: WallMs) -> Need {
        let until = time_before(now, MIN_EARLIER_PEAK_AGE);
        let earlier = self.peaks.iter().take_while(|(at, _)| *at <= until);
        earlier.fold(Need::default(), |max, (_, rate)| max.max(*rate))
    }

    /// Returns the rate over a window.
    fn rate(&self, window: Duration, now: WallMs) -> Need {
        let since = time_before(now, window);
        let recent = self.jobs.iter().rev().take_while(|(at, _)| *at >= since);
        Need::sum(recent.map(|(_, work)| *work)).times(1.0 / window.as_secs_f64())
    }

    /// Returns the rate over the shortest window in which at least [`MIN_JOBS`] arrived.
    pub(crate) fn inflow(&self, now: WallMs) -> Inflow {
        let is_sufficient =
            |window: &Duration| self.count(time_before(now, *window), now) >= MIN_JOBS;
        let window = SHORT_WINDOWS
            .into_iter()
            .find(is_sufficient)
            .unwrap_or(MAX_WINDOW);
        let rate = self.rate(window, now);
        let ahead = rate.times(1.0 + self.growth(window, now).min(MAX_GROWTH));
        let known = self.earlier_peak(now).times(MAX_PEAK_FACTOR);
        Inflow {
            now: rate,
            // A peak that is higher than all earlier ones may grow without limit.
            ahead: if rate.is_within(known) {
                ahead.min(known)
            } else {
                ahead
            },
        }
    }

    /// Returns by which fraction of itself the rate will have grown once a VM ordered now is available. Uses
    /// the shortest window, not shorter than `min_window`, that shows significant growth.
    fn growth(&self, min_window: Duration, now: WallMs) -> f64 {
        let windows = SHORT_WINDOWS.into_iter().chain([MAX_WINDOW]);
        let mut growths = windows
            .filter(|window| *window >= min_window)
            .map(|window| self.growth_over(window, now));
        growths.find(|growth| *growth > 0.0).unwrap_or(0.0)
    }

    /// Returns by which fraction of itself the rate will have grown, according to one window. The measured
    /// rate is that of the window's middle, so growth is extrapolated from there.
    fn growth_over(&self, window: Duration, now: WallMs) -> f64 {
        let since = time_before(now, window);
        let recent = self.count(since, now) as f64;
        let earlier = self.count(time_before(now, window * 2), since.saturating_sub(1)) as f64;
        let ahead = FORECAST_SPAN + window / 2;
        growth(recent, earlier) * ahead.as_secs_f64() / window.as_secs_f64()
    }

    /// Returns how many jobs arrived between two points in time, both included.
    fn count(&self, since: WallMs, until: WallMs) -> usize {
        let late = self.jobs.iter().rev().skip_while(|(at, _)| *at > until);
        late.take_while(|(at, _)| *at >= since).count()
    }
}

/// Returns the increase over the window before as a fraction of `recent`; 0 if it may be due to chance.
fn growth(recent: f64, earlier: f64) -> f64 {
    let more = recent - earlier;
    if more <= MIN_DEVIATION * (recent + earlier).sqrt() {
        return 0.0;
    }
    more / recent
}

/// Returns the point in time that lies `window` before `now`.
fn time_before(now: WallMs, window: Duration) -> WallMs {
    now.saturating_sub(window.as_millis() as WallMs)
}
