//! Notices that the machine was suspended.
//!
//! Ages and deadlines count the time of a suspension, so that an owner which wakes knows before its next order that its
//! lease may be lost. What is left are waits: the runtime's timers stood still meanwhile.

use super::node::Node;
use clock::timer;
use std::{convert::Infallible, env, fs, path::PathBuf, thread, time::Duration};
use tokio::time;
use tracing::info;

/// The variable that names the file by which tests put the clock of an entry forward, in ms.
const CLOCK_FILE: &str = "HAVENLADDER_CLOCK_FILE";

/// Time between two looks for a suspension while a caller waits. Most are answered before the first, and an answer
/// that is later by this is in nobody's way after seconds.
const WATCH: Duration = Duration::from_millis(200);

/// Time between two looks at that file.
const LOOK: Duration = Duration::from_millis(20);

/// Looks whether the machine was suspended, and ends the waits whose time has passed. Each entry reads the lease or
/// renews it several times a second; so often it is called, at no cost but two reads of a clock.
pub fn notice(node: &Node) {
    if let Some(span) = timer::detect_suspension() {
        node.metrics.suspended();
        info!(ms = span.as_millis() as u64, "the machine was suspended");
    }
}

/// Looks for a suspension as long as somebody waits: nothing else may wake the entry before the caller's time is over
/// by the steady clock.
pub async fn watch(node: &Node) -> Infallible {
    loop {
        time::sleep(WATCH).await;
        notice(node);
    }
}

/// Has the clock put forward by what a file tells, where the environment names one: a test cannot suspend its machine.
pub fn follow_test_clock() {
    let Some(path) = env::var_os(CLOCK_FILE).map(PathBuf::from) else {
        return;
    };
    thread::spawn(move || {
        loop {
            // A file that is being written says nothing yet.
            let text = fs::read_to_string(&path).unwrap_or_default();
            if let Ok(ms) = text.trim().parse() {
                clock::advance_to(Duration::from_millis(ms));
            }
            thread::sleep(LOOK);
        }
    });
}
