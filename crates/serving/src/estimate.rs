//! Run times as they were measured; what is declared is not believed.

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Samples after which the older half is forgotten.
const WINDOW: u64 = 256;

/// Time after which old samples say nothing any more, so that a service is tried again.
const STALE: Duration = Duration::from_secs(10);

/// Share of runs that the careful estimate covers.
const CAREFUL: f64 = 0.9;

/// The longest run that is told apart, in microseconds: one day.
const LONGEST_US: u64 = 24 * 60 * 60 * 1_000_000;

/// Measured run times of one service, the newest few hundred.
#[derive(Clone, Debug)]
pub struct Estimate {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    mean: Duration,
    percentile_90: Duration,
    min: Duration,
    stale: Option<Instant>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            mean: Duration::ZERO,
            percentile_90: Duration::ZERO,
            min: Duration::ZERO,
            stale: None,
        }
    }
}

impl Estimate {
    /// Takes in one run that ended at `now`; one that was cut off counts as far as it went.
    pub fn record(&mut self, run: Duration, now: Instant) {
        self.stale = Some(now + STALE);
        let micros = u64::try_from(run.as_micros()).unwrap_or(LONGEST_US);
        self.current.saturating_record(micros.clamp(1, LONGEST_US));
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.refresh();
    }

    /// The mean run; zero while nothing was measured.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// A run that nine of ten do not exceed; zero while nothing was measured lately.
    pub fn percentile_90(&self, now: Instant) -> Duration {
        self.if_fresh(self.percentile_90, now)
    }

    /// The shortest run; zero while nothing was measured lately.
    pub fn min(&self, now: Instant) -> Duration {
        self.if_fresh(self.min, now)
    }

    fn if_fresh(&self, value: Duration, now: Instant) -> Duration {
        match self.stale {
            Some(stale) if now < stale => value,
            _ => Duration::ZERO,
        }
    }

    fn refresh(&mut self) {
        let mut all = self.previous.clone();
        if all.add(&self.current).is_err() {
            return;
        }
        self.mean = Duration::from_secs_f64(all.mean() / 1e6);
        self.percentile_90 = Duration::from_micros(all.value_at_quantile(CAREFUL));
        self.min = Duration::from_micros(all.min());
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST_US, 1).expect("the bounds are constant and in order")
}
