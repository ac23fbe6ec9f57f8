//! An owner is told to stop while the log is away.
//!
//! What users saw: tasks that had ended were started again by the next owner. What happened: the owner's release, which
//! tells of runs that it started without a record, did not reach the log; the same process then owned the cell anew,
//! knew nothing of those runs, and released it without a word of them once the log was back; the next owner started
//! what waited without looking for them.
//!
//! The cause: a release without an answer was given up, though only its record tells the next owner.
//!
//! The evidence: the process logged three times within a second that it owns the cell and that it stops, with one
//! epoch, while the log was away.

mod entries;

use entries::{block_on, count_lines};
use rustix::process::Signal;
use std::time::Duration;
use tokio::time;

/// What an entry logs that comes to own the cell.
const OWNS: &str = "\"owns the cell\"";

/// Long enough for an owner to be found, and for several renewals.
const BEGIN: Duration = Duration::from_secs(4);

/// Longer than the 0.4 s between two renewals, shorter than the time in which a process must end.
const AWAY: Duration = Duration::from_millis(2_000);

async fn stop_while_the_log_is_away() {
    let (name, seed) = ("released", 951);
    let mut site = entries::start(name, seed, 2).await;
    time::sleep(BEGIN).await;
    let before = count_lines(name, seed, OWNS);
    site.links.iter().for_each(|link| link.cut(true));
    time::sleep(Duration::from_millis(200)).await;
    for entry in &mut site.entries {
        entry.signal(Signal::TERM);
    }
    time::sleep(AWAY).await;
    assert_eq!(count_lines(name, seed, OWNS), before);
}

#[test]
fn an_owner_that_stops_while_the_log_is_away_does_not_own_the_cell_anew() {
    block_on(stop_while_the_log_is_away());
}
