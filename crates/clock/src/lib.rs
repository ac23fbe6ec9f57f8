//! A clock that goes on while the machine is suspended.
//!
//! `std::time::Instant` is the steady clock on Linux, which stands still meanwhile: an owner that slept for 5 s would
//! believe in its lease as if no time had passed. What another process relies on, and the ages of what was read, are
//! measured by [`Instant`] instead; the two types cannot be mixed up.

pub mod timer;

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// How far the clock has been put forward by [`advance_to`], in ms.
static ADVANCED_MS: AtomicU64 = AtomicU64::new(0);

/// A moment of this machine's time since its start, suspensions included.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// This moment.
    pub fn now() -> Self {
        let advanced = Duration::from_millis(ADVANCED_MS.load(Ordering::Relaxed));
        Instant(read(ClockId::Boottime) + advanced)
    }

    /// How long ago it was; nothing if it is to come.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// How long after another moment it is; nothing if it is before that.
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

    /// A moment before it, the start of the machine at the earliest.
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

/// By how much this clock is ahead of the steady one: it grows by the length of each suspension. Timers stand on the
/// steady clock, and fire late by as much.
pub fn suspended_time() -> Duration {
    // Read in this order, a thread that loses its turn between the two finds too little rather than too much.
    let now = Instant::now();
    let steady = read(ClockId::Monotonic);
    now.0.saturating_sub(steady)
}

/// Puts the clock forward by so much in all, as suspensions of the machine would: for tests, which cannot suspend it.
pub fn advance_to(span: Duration) {
    ADVANCED_MS.fetch_max(span.as_millis() as u64, Ordering::Relaxed);
}

/// What a clock of the system shows.
fn read(id: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(id);
    // Neither is negative since the machine's start.
    Duration::new(tv_sec.unsigned_abs(), tv_nsec as u32)
}
