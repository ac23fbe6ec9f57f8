//! Waits that end in time although the machine was suspended meanwhile.
//!
//! The runtime's timers stand on the steady clock: one that was to fire during a suspension of 5 s fires up to 5 s
//! late. Waits in here look again as soon as somebody has noticed the suspension.

use crate::{Instant, suspended_time};
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// How much this clock may gain on the steady one without a suspension, in ms: both are read in ns and told in ms.
const SUSPENSION_THRESHOLD_MS: u64 = 20;

/// Told after each suspension that was noticed.
static SUSPENSION_DETECTED: Notify = Notify::const_new();

/// By how much this clock was ahead of the steady one at the most so far, in ms; none before the first look. The machine
/// may have been suspended before the process began.
static MAX_SUSPENDED_MS: Mutex<Option<u64>> = Mutex::new(None);

/// The time for a wait has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until a moment.
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

/// Waits for something until a moment.
///
/// # Errors
///
/// Fails when it has not come by then.
pub async fn timeout_at<T>(at: Instant, what: impl Future<Output = T>) -> Result<T, Elapsed> {
    tokio::select! {
        biased;
        outcome = what => Ok(outcome),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Looks whether the machine was suspended since the last look, and if so ends the waits whose time has passed. Returns
/// for how long.
pub fn detect_suspension() -> Option<Duration> {
    let now = suspended_time().as_millis() as u64;
    let gained = record_suspended_ms(now);
    if gained < SUSPENSION_THRESHOLD_MS {
        return None;
    }
    SUSPENSION_DETECTED.notify_waiters();
    Some(Duration::from_millis(gained))
}

/// Notes by how much this clock is ahead, in ms, and returns by how much that is more than ever before.
fn record_suspended_ms(now: u64) -> u64 {
    // A thread that panicked here has changed nothing by halves.
    let mut max = MAX_SUSPENDED_MS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let gained = max.map_or(0, |max| now.saturating_sub(max));
    *max = (*max).max(Some(now));
    gained
}
