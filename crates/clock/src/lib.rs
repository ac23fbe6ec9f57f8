//! A clock that advances while the machine is suspended.
//!
//! `std::time::Instant` uses Linux's monotonic clock, which stops during a suspension: an owner that was
//! suspended for 5 s would trust its lease as if no time had passed. Times on which another process relies,
//! and the ages of data that was read, are therefore measured by [`Instant`]. It is a separate type so that
//! the two clocks cannot be mixed up.

pub mod timer;

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The offset that [`advance_to`] has added to the clock, in ms.
static ADVANCED_MS: AtomicU64 = AtomicU64::new(0);

/// A point in time, measured from the start of the machine and including suspensions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Self {
        let advanced = Duration::from_millis(ADVANCED_MS.load(Ordering::Relaxed));
        Instant(read(ClockId::Boottime) + advanced)
    }

    /// Returns the time since this instant, or zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Instant(self.0 + span)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        self.0 += span;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// Returns an earlier instant, but none before the start of the machine.
    fn sub(self, span: Duration) -> Self {
        Instant(self.0.saturating_sub(span))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

impl fmt::Debug for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", self.0.as_secs_f64())
    }
}

/// Returns by how much this clock is ahead of the monotonic one. The difference grows by the length of each
/// suspension. Timers use the monotonic clock and therefore fire late by as much.
pub fn suspended_time() -> Duration {
    // In this order, a thread that is preempted between the two reads returns too little rather than too
    // much.
    let now = Instant::now();
    let steady = read(ClockId::Monotonic);
    now.0.saturating_sub(steady)
}

/// Sets the offset of the clock to `span`, unless it is larger already, as suspensions of the machine
/// would. This is for tests, which cannot suspend the machine.
pub fn advance_to(span: Duration) {
    ADVANCED_MS.fetch_max(span.as_millis() as u64, Ordering::Relaxed);
}

/// Reads a clock of the system.
fn read(id: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(id);
    // Neither part is negative, since both clocks count from the machine's start.
    Duration::new(tv_sec.unsigned_abs(), tv_nsec as u32)
}
