//! Thread that writes snapshots of the agreed state to the log.
//!
//! All entries compute the same state, so it does no harm if two entries write a snapshot. The
//! first entry by rank writes it, and the next one only if there is still no recent snapshot.

use crate::context::Context;
use fleet::{Chunk, Fleet, assemble, chunks, encode_snapshot};
use platform::{CallError, HttpPlatform, Log};
use protocol::{Offset, RecordId, decode, encode, rank};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

/// Name of the log stream that holds the snapshots.
const SNAPSHOTS: &str = "snapshots";

/// Number of records at the end of the stream that are searched for the newest complete snapshot.
const SEARCHED_RECORDS: Offset = 64;

/// Interval between two checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Writes snapshots to the log until the process ends.
pub fn snapshots(ctx: &Arc<Context>) {
    let mut written: Offset = 0;
    let mut due = Instant::now() + ctx.config.snapshots.interval;
    loop {
        sleep(CHECK_INTERVAL);
        if !ctx.fleet.is_loaded() || !ctx.reaches_log() {
            continue;
        }
        let next = ctx.fleet.get().next;
        let has_enough_records =
            next.saturating_sub(written) >= ctx.config.snapshots.records as Offset;
        let is_old = next > written && Instant::now() >= due;
        if !(has_enough_records || is_old) {
            continue;
        }
        // Entries of lower rank wait longer, and usually find that the snapshot has been written.
        sleep(CHECK_INTERVAL * rank_of(ctx));
        let newest = newest(&ctx.platform).map_or(0, |fleet| fleet.next);
        written = if newest > written {
            newest
        } else {
            write(ctx).unwrap_or(written)
        };
        due = Instant::now() + ctx.config.snapshots.interval;
    }
}

/// Returns the newest complete snapshot in the log.
pub fn newest(platform: &HttpPlatform) -> Option<Fleet> {
    let bounds = platform.read(SNAPSHOTS, Offset::MAX, Duration::ZERO).ok()?;
    let mut from = bounds
        .next
        .saturating_sub(SEARCHED_RECORDS)
        .max(bounds.oldest);
    let mut chunks_found: Vec<Chunk> = Vec::new();
    while from < bounds.next {
        let slice = platform.read(SNAPSHOTS, from, Duration::ZERO).ok()?;
        let last = slice.records.last()?.offset;
        chunks_found.extend(
            slice
                .records
                .iter()
                .filter_map(|record| decode(&record.data).ok()),
        );
        from = last + 1;
    }
    assemble(&chunks_found)
}

fn write(ctx: &Context) -> Result<Offset, CallError> {
    let (next, bytes) = {
        let fleet = ctx.fleet.get();
        (fleet.next, encode_snapshot(&fleet))
    };
    let Ok(bytes) = bytes else {
        return Ok(next);
    };
    for chunk in chunks(RecordId::new(), next, &bytes) {
        if let Ok(data) = encode(&chunk) {
            ctx.platform.append(SNAPSHOTS, &data)?;
        }
    }
    tracing::info!(next, bytes = bytes.len(), "wrote a snapshot");
    Ok(next)
}

fn rank_of(ctx: &Context) -> u32 {
    let members = ctx.peers.members(&ctx.config, true);
    let names = members.keys().map(String::as_str);
    let rank = rank(names, &ctx.config.entry.name, SNAPSHOTS);
    rank.and_then(|rank| u32::try_from(rank).ok()).unwrap_or(0)
}
