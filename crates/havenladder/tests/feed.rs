//! News that entries pass on, with entries as processes of their own.
//!
//! Each entry read the operators' topic and the lease's for itself, some 4 calls a second: the platform's store was asked the
//! more the more entries there were, and a configuration was read by all of them at once.

mod entries;

use entries::{block_on, owner, request, send_request};
use fleet::READERS_PER_HALL;
use havenladder_soak::site::{Site, WORKSPACES, key};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// Seeds from here on have workspaces, whose keys show which configuration an entry knows.
const SEED: u64 = 10_920;

/// How many entries there are, in two data centres.
const ENTRIES: usize = 24;

/// Long enough for an owner to be found and for all entries to have their places.
const SETTLE: Duration = Duration::from_secs(8);

/// For how long calls are counted.
const SPAN: Duration = Duration::from_secs(5);

/// How many reads a second an entry makes that reads for itself: the lease's renewals, and the operators' topic.
const READS: usize = 4;

/// Limit of every wait; generous, so that a busy machine changes no verdict.
const LIMIT: Duration = Duration::from_secs(30);

/// The topics that all entries have to know.
const TOPICS: [&str; 2] = ["keyed.op", "owner"];

fn reads(site: &Site) -> usize {
    TOPICS.iter().map(|topic| site.log.reads(topic)).sum()
}

/// Waits until an entry refuses the second key of a workspace, as the newest configuration says.
async fn wait_refused(site: &Site, entry: usize, number: u64) {
    let shown = format!("authorization: Token {}\r\n", key(WORKSPACES[0], number));
    let call = request("GET", 1, "").replacen("host:", &format!("{shown}host:"), 1);
    let began = Instant::now();
    loop {
        let head = send_request(site.entries[entry].address, &call).await;
        if head.starts_with("HTTP/1.1 401") {
            return;
        }
        assert!(began.elapsed() < LIMIT, "entry {entry} says {head}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn a_few_entries_read_and_all_know_what_is_new() {
    block_on(async {
        let mut site = entries::start_with("feed", SEED, 4, ENTRIES).await;
        time::sleep(SETTLE).await;
        let before = reads(&site);
        time::sleep(SPAN).await;
        let made = reads(&site) - before;
        // The readers of two data centres, the owner, and as many again that may be between two sources.
        let readers = 2 * (2 * READERS_PER_HALL + 1);
        let most = readers * READS * SPAN.as_secs() as usize;
        assert!(made <= most, "{made} reads, {most} at the most");
        site.rotate_keys();
        for entry in 0..ENTRIES {
            wait_refused(&site, entry, 1).await;
        }
    });
}

#[test]
fn those_whose_source_has_ended_or_stands_still_know_what_is_new() {
    block_on(async {
        let (name, seed) = ("feed-lost", SEED + 1);
        let mut site = entries::start_with(name, seed, 4, ENTRIES).await;
        time::sleep(SETTLE).await;
        let owner = owner(name, seed, ENTRIES);
        // Every third entry ends and every third stands still, readers and others.
        let lost = |entry: &usize| *entry != owner && !entry.is_multiple_of(3);
        for entry in (0..ENTRIES).filter(lost) {
            let signal = [Signal::KILL, Signal::STOP][entry % 3 - 1];
            site.entries[entry].signal(signal);
        }
        site.rotate_keys();
        for entry in (0..ENTRIES).filter(|entry| !lost(entry)) {
            wait_refused(&site, entry, 1).await;
        }
    });
}
