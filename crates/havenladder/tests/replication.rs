//! Replication of updates between entries, with entries as processes of their own.
//!
//! Guards against every entry reading the operators' topic and the lease's topic itself, at some 4 calls a second:
//! the load on the platform's store then grew with the number of entries, and all of them read each new configuration
//! at the same time.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod entries;

use entries::{block_on, owner, request, send_request};
use fleet::READERS_PER_HALL;
use havenladder_soak::site::{Site, WORKSPACES, key};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// From this seed on, sites have workspaces. Which of their keys an entry accepts shows which configuration it has.
const SEED: u64 = 10_920;

/// Number of entries, in two data centres.
const ENTRIES: usize = 24;

/// Time for an entry to become owner of the cell and for all entries to get their replication assignments.
const STARTUP_TIME: Duration = Duration::from_secs(8);

/// Time for which reads are counted.
const COUNTING_TIME: Duration = Duration::from_secs(5);

/// Reads per second of an entry that polls the store itself, for the lease's renewals and the operators' topic.
const READS_PER_SECOND: usize = 4;

/// Limit of every wait. It is generous, so that no test fails because the machine is busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which a change must be in force on entries that hear from others.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(4);

/// The topics whose updates all entries need.
const TOPICS: [&str; 2] = ["keyed.op", "owner"];

fn count_reads(site: &Site) -> usize {
    TOPICS.iter().map(|topic| site.log.reads(topic)).sum()
}

/// Waits until an entry refuses key `number` of the first workspace, as the newest configuration says.
async fn wait_until_refused(site: &Site, entry: usize, number: u64) {
    let header = format!("authorization: Token {}\r\n", key(WORKSPACES[0], number));
    let call = request("GET", 1, "").replacen("host:", &format!("{header}host:"), 1);
    let began = Instant::now();
    loop {
        let head = send_request(site.entries[entry].address, &call).await;
        if head.starts_with("HTTP/1.1 401") {
            return;
        }
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "entry {entry} responds {head}"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn few_entries_poll_the_store_and_all_get_its_updates() {
    block_on(async {
        let mut site = entries::start_with("replication", SEED, 4, ENTRIES).await;
        time::sleep(STARTUP_TIME).await;
        let before = count_reads(&site);
        time::sleep(COUNTING_TIME).await;
        let count = count_reads(&site) - before;
        // The readers of both data centres and the owner, and as many more entries that may be changing their source.
        let readers = 2 * (2 * READERS_PER_HALL + 1);
        let max_reads = readers * READS_PER_SECOND * COUNTING_TIME.as_secs() as usize;
        assert!(
            count <= max_reads,
            "{count} reads, at most {max_reads} allowed"
        );
        site.rotate_keys();
        for entry in 0..ENTRIES {
            wait_until_refused(&site, entry, 1).await;
        }
    });
}

#[test]
fn entries_whose_source_has_ended_or_is_stopped_get_updates() {
    block_on(async {
        let (name, seed) = ("replication-lost", SEED + 1);
        let mut site = entries::start_with(name, seed, 4, ENTRIES).await;
        time::sleep(STARTUP_TIME).await;
        let owner = owner(name, seed, ENTRIES);
        // Every third entry is killed and every third is stopped, both readers and others.
        let is_lost = |entry: &usize| *entry != owner && !entry.is_multiple_of(3);
        for entry in (0..ENTRIES).filter(is_lost) {
            let signal = [Signal::KILL, Signal::STOP][entry % 3 - 1];
            site.entries[entry].signal(signal);
        }
        site.rotate_keys();
        for entry in (0..ENTRIES).filter(|entry| !is_lost(entry)) {
            wait_until_refused(&site, entry, 1).await;
        }
    });
}

/// Seeds are the first three entries, and entries are placed in two data centres alternately.
#[test]
fn entries_find_the_only_one_that_the_store_answers() {
    block_on(async {
        let (name, seed, entries) = ("replication-refused", SEED + 2, 6);
        let mut site = entries::start_with(name, seed, 4, entries).await;
        time::sleep(STARTUP_TIME).await;
        // An entry that is neither a seed nor the owner, so that the others have to find it.
        let owner = owner(name, seed, entries);
        let answered = (3..entries).find(|entry| *entry != owner).unwrap();
        let links = site.links.iter().enumerate();
        for (_, link) in links.filter(|(entry, _)| *entry != answered) {
            link.stall(true, true);
        }
        // The entry that the store answers owns the cell after this time.
        time::sleep(STARTUP_TIME).await;
        site.rotate_keys();
        let began = Instant::now();
        for entry in 0..entries {
            wait_until_refused(&site, entry, 1).await;
        }
        let took = began.elapsed();
        assert!(took < UPDATE_TIMEOUT, "{took:?}");
    });
}
