//! Timers that end on time even if the machine is suspended meanwhile.
//!
//! The runtime's timers use the monotonic clock: one that is due during a suspension of 5 s fires up to 5 s
//! late. The waits in this module check the time again as soon as a suspension is detected.

use crate::{Instant, suspended_time};
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// The threshold in ms above which a difference between the clocks counts as a suspension. Both clocks are
/// read in ns and compared in ms.
const SUSPENSION_THRESHOLD_MS: u64 = 20;

/// The notification that a suspension was detected.
static SUSPENSION_DETECTED: Notify = Notify::const_new();

/// The largest lead of this clock over the monotonic one so far, in ms, or `None` before the first check.
/// The machine may have been suspended before the process started.
static MAX_SUSPENDED_MS: Mutex<Option<u64>> = Mutex::new(None);

/// The error of a wait whose deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until `at`.
pub async fn sleep_until(at: Instant) {
    loop {
        let suspended = SUSPENSION_DETECTED.notified();
        let left = at - Instant::now();
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = time::sleep(left) => {}
            () = suspended => {}
        }
    }
}

/// Waits for a future until the deadline `at`.
///
/// # Errors
///
/// Returns an error if the future has not completed by the deadline.
pub async fn timeout_at<T>(at: Instant, what: impl Future<Output = T>) -> Result<T, Elapsed> {
    tokio::select! {
        biased;
        outcome = what => Ok(outcome),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Checks whether the machine was suspended since the last check. If so, it ends the waits whose deadline
/// has passed and returns the duration of the suspension.
pub fn detect_suspension() -> Option<Duration> {
    let now = suspended_time().as_millis() as u64;
    let gained = record_suspended_ms(now);
    if gained < SUSPENSION_THRESHOLD_MS {
        return None;
    }
    SUSPENSION_DETECTED.notify_waiters();
    Some(Duration::from_millis(gained))
}

/// Records the current lead of this clock in ms and returns by how much it exceeds the largest one so far.
fn record_suspended_ms(now: u64) -> u64 {
    // The lock may be poisoned: a thread that panicked while holding it has left no partial update.
    let mut max = MAX_SUSPENDED_MS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let gained = max.map_or(0, |max| now.saturating_sub(max));
    *max = (*max).max(Some(now));
    gained
}
