//! Estimates of run times. They use only measured run times, since declared ones are not reliable.

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Number of samples after which a histogram is full. It then replaces the previous one.
const WINDOW_SAMPLES: u64 = 256;

/// Age of the last sample from which the percentile and the minimum are ignored, so that the service is tried
/// again.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// Share of runs that the 90th percentile covers.
const PERCENTILE_90: f64 = 0.9;

/// Maximum run time that is measured, in microseconds: one day. Longer runs count as this.
const MAX_RUN_US: u64 = 24 * 60 * 60 * 1_000_000;

/// Measured run times of one service, from the last few hundred runs.
#[derive(Clone, Debug)]
pub struct Estimate {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    mean: Duration,
    percentile_90: Duration,
    min: Duration,
    expires: Option<Instant>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            mean: Duration::ZERO,
            percentile_90: Duration::ZERO,
            min: Duration::ZERO,
            expires: None,
        }
    }
}

impl Estimate {
    /// Records a run that ended at `now`. A run that was cut off counts with the time that it took until then.
    pub fn record(&mut self, run: Duration, now: Instant) {
        self.expires = Some(now + MAX_SAMPLE_AGE);
        let micros = u64::try_from(run.as_micros()).unwrap_or(MAX_RUN_US);
        self.current.saturating_record(micros.clamp(1, MAX_RUN_US));
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.refresh();
    }

    /// Returns the mean run time, or zero without samples.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the 90th percentile of the run times, or zero without recent samples.
    pub fn percentile_90(&self, now: Instant) -> Duration {
        self.unless_expired(self.percentile_90, now)
    }

    /// Returns the shortest run time, or zero without recent samples.
    pub fn min(&self, now: Instant) -> Duration {
        self.unless_expired(self.min, now)
    }

    fn unless_expired(&self, value: Duration, now: Instant) -> Duration {
        match self.expires {
            Some(expires) if now < expires => value,
            _ => Duration::ZERO,
        }
    }

    fn refresh(&mut self) {
        let mut all = self.previous.clone();
        if all.add(&self.current).is_err() {
            return;
        }
        self.mean = Duration::from_secs_f64(all.mean() / 1e6);
        self.percentile_90 = Duration::from_micros(all.value_at_quantile(PERCENTILE_90));
        self.min = Duration::from_micros(all.min());
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_RUN_US, 1).expect("the bounds are constant and in order")
}
