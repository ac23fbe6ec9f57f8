//! Detects that the machine was suspended.
//!
//! Ages and deadlines include the time of a suspension, so that an owner that wakes up knows before
//! its next order that it may have lost its lease. Only waits have to be ended here, since the
//! runtime's timers stood still in the meantime.

use super::node::Node;
use clock::timer;
use std::{convert::Infallible, env, fs, path::PathBuf, thread, time::Duration};
use tokio::time;
use tracing::info;

/// Environment variable with the path of the file by which tests advance the clock of an entry, in
/// ms.
const CLOCK_FILE_VARIABLE: &str = "HAVENLADDER_CLOCK_FILE";

/// Interval between two checks for a suspension while a caller waits. Most callers are answered
/// before the first check, and after a suspension of seconds such a delay does not matter.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two reads of the clock file.
const CLOCK_FILE_INTERVAL: Duration = Duration::from_millis(20);

/// Checks whether the machine was suspended, and ends the waits whose time is over. Each entry
/// calls this several times a second, whenever it reads or renews the lease. It costs two reads of
/// a clock.
pub fn check(node: &Node) {
    if let Some(span) = timer::detect_suspension() {
        node.metrics.suspended();
        info!(ms = span.as_millis() as u64, "the machine was suspended");
    }
}

/// Checks for a suspension for as long as a caller waits. Nothing else may wake the entry before
/// the caller's time is over on the steady clock.
pub async fn check_periodically(node: &Node) -> Infallible {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        check(node);
    }
}

/// Advances the clock as a file says, if the environment names one. A test cannot suspend its
/// machine.
pub fn follow_test_clock() {
    let Some(path) = env::var_os(CLOCK_FILE_VARIABLE).map(PathBuf::from) else {
        return;
    };
    thread::spawn(move || {
        loop {
            // A file that is being written cannot be parsed yet, and is read again later.
            let text = fs::read_to_string(&path).unwrap_or_default();
            if let Ok(ms) = text.trim().parse() {
                clock::advance_to(Duration::from_millis(ms));
            }
            thread::sleep(CLOCK_FILE_INTERVAL);
        }
    });
}
