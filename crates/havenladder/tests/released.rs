//! An owner is stopped while the log is unavailable.
//!
//! Guards against an owner that abandons its release when the append has no response. Only that record tells the next
//! owner about runs that were started without a record. The same process became owner again, knew nothing of those
//! runs, and released the cell without listing them once the log was back; the next owner then started tasks again
//! that had already ended.
//!
//! In the logs, the process reported three times within a second, under one epoch, that it owns the cell and that it
//! stops, while the log was unavailable.

mod entries;

use entries::{block_on, count_lines};
use rustix::process::Signal;
use std::time::Duration;
use tokio::time;

/// Message that an entry logs when it becomes owner of the cell.
const OWNER_MESSAGE: &str = "\"owns the cell\"";

/// Time for an entry to become owner of the cell and to renew its lease several times.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Longer than the 0.4 s between two renewals, and shorter than the time within which a process must end.
const OUTAGE_DURATION: Duration = Duration::from_millis(2_000);

async fn stop_during_log_outage() {
    let (name, seed) = ("released", 951);
    let mut site = entries::start(name, seed, 2).await;
    time::sleep(STARTUP_TIME).await;
    let before = count_lines(name, seed, OWNER_MESSAGE);
    site.links.iter().for_each(|link| link.cut(true));
    time::sleep(Duration::from_millis(200)).await;
    for entry in &mut site.entries {
        entry.signal(Signal::TERM);
    }
    time::sleep(OUTAGE_DURATION).await;
    assert_eq!(count_lines(name, seed, OWNER_MESSAGE), before);
}

#[test]
fn an_owner_that_stops_during_a_log_outage_does_not_become_owner_again() {
    block_on(stop_during_log_outage());
}
