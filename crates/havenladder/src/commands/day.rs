//! `day`: shows the capacity and demand of pools over time, and what blocked decisions, from the
//! logs of entries.
//!
//! Reads the standard output of one entry, or of several entries in one file. Any text before the
//! JSON object of a line is skipped, so logs that were collected with a prefix can be read
//! unchanged.

use super::{CommandError, GlobalOptions, table};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fs, path::Path};

/// Thousandths of a core in one core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Duration or delay of an owner's rounds, in ms, from which the owner counts as overloaded. It
/// covers three rounds and the append between them.
const OVERLOAD_MS: u64 = 50;

/// Number of characters of a timestamp that are kept, which cuts it off after the seconds.
const SECOND_LENGTH: usize = "2026-12-02T18:00:00".len();

/// One line of a log; fields that this kind of line lacks keep their defaults.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Line {
    timestamp: String,
    message: String,
    pool: String,
    vms: u64,
    idle: u64,
    busy: u64,
    waiting: u64,
    late: u64,
    why: String,
    cut_off: bool,
    rounds: u64,
    longest: u64,
    latest: u64,
    kinds: BTreeMap<String, u64>,
}

/// State of one pool in its last log line of a second.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Row {
    /// Timestamp, to the second.
    time: String,
    /// Name of the pool.
    pool: String,
    /// Number of its VMs, and of those that were idle.
    vms: u64,
    idle: u64,
    /// Recent peak of the cores used by runs.
    busy: f64,
    /// Cores requested by waiting tasks, and the part of them that could no longer meet its
    /// deadline.
    waiting: f64,
    late: f64,
}

/// Number of entries whose connectivity changed in one second. They are counted, not listed, since
/// hundreds of entries can change at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct CutOffs {
    /// Number of entries that became cut off.
    begun: u64,
    /// Number of entries that were reconnected.
    ended: u64,
}

impl CutOffs {
    /// Counts the change of one entry.
    fn count(&mut self, cut_off: bool) {
        if cut_off {
            self.begun += 1;
        } else {
            self.ended += 1;
        }
    }
}

/// Load of the owner in one second.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Rounds {
    /// Number of decision rounds.
    rounds: u64,
    /// Duration of the longest round, in ms.
    longest: u64,
    /// Largest delay of a wake-up between two rounds, in ms.
    latest: u64,
}

impl Rounds {
    /// Returns whether the owner had more work than it could do in time.
    fn is_overloaded(&self) -> bool {
        self.longest.max(self.latest) >= OVERLOAD_MS
    }
}

/// Summary of the logs.
#[derive(Debug, Default, Serialize)]
struct Day {
    /// State of the pools, one row per pool and second.
    pools: Vec<Row>,
    /// Load of the owner by second.
    owner: BTreeMap<String, Rounds>,
    /// Changes of owner.
    events: Vec<String>,
    /// Entries that became cut off or were reconnected, by second.
    cuts: BTreeMap<String, CutOffs>,
    /// Number of requests that failed or were refused, by second.
    refusals: BTreeMap<String, u64>,
    /// Number of log lines that entries left out, by second and kind. Other counts of that second may be too low.
    dropped: BTreeMap<String, BTreeMap<String, u64>>,
}

/// Reads a log file and prints its summary.
pub fn day(options: &GlobalOptions<'_>, file: &Path) -> Result<(), CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::Io(file.display().to_string(), error))?;
    let day = summarize(&text);
    options.print(&day, show);
    Ok(())
}

/// Summarizes log lines; lines without a JSON object are skipped.
fn summarize(text: &str) -> Day {
    let mut day = Day::default();
    let mut pools = BTreeMap::new();
    for line in text.lines().filter_map(parse_line) {
        let Some(second) = line.timestamp.get(..SECOND_LENGTH) else {
            continue;
        };
        let time = second.to_owned();
        match line.message.as_str() {
            "pool" => {
                let row = row(time.clone(), &line);
                pools.insert((time, line.pool), row);
            }
            "owner's rounds" => {
                day.owner.insert(time, rounds(&line));
            }
            "given up" | "refused: the store is away" => {
                *day.refusals.entry(time).or_default() += 1;
            }
            "owns the cell" | "owns the cell no longer" => {
                day.events
                    .push(format!("{time} {} {}", line.message, line.why));
            }
            "what the entry reaches has changed" => {
                day.cuts.entry(time).or_default().count(line.cut_off);
            }
            "log lines dropped" => {
                let dropped = day.dropped.entry(time).or_default();
                for (kind, count) in line.kinds {
                    *dropped.entry(kind).or_default() += count;
                }
            }
            _ => {}
        }
    }
    day.events.sort();
    day.pools = pools.into_values().collect();
    day
}

/// Parses the JSON object that begins at the first brace of a line.
fn parse_line(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn row(time: String, line: &Line) -> Row {
    Row {
        time,
        pool: line.pool.clone(),
        vms: line.vms,
        idle: line.idle,
        busy: line.busy as f64 / MILLICORES_PER_CORE,
        waiting: line.waiting as f64 / MILLICORES_PER_CORE,
        late: line.late as f64 / MILLICORES_PER_CORE,
    }
}

fn rounds(line: &Line) -> Rounds {
    Rounds {
        rounds: line.rounds,
        longest: line.longest,
        latest: line.latest,
    }
}

fn show(day: &Day) {
    let headings = ["TIME", "POOL", "VMS", "IDLE", "BUSY", "WAITING", "LATE"];
    let mut pools = table::table(&headings);
    for row in &day.pools {
        pools.add_row([
            row.time.clone(),
            row.pool.clone(),
            row.vms.to_string(),
            row.idle.to_string(),
            format!("{:.1}", row.busy),
            format!("{:.1}", row.waiting),
            format!("{:.1}", row.late),
        ]);
    }
    table::print(&pools, "no lines about pools");
    for (time, second) in day
        .owner
        .iter()
        .filter(|(_, second)| second.is_overloaded())
    {
        println!(
            "{time} owner full: {} rounds, the longest of {} ms, up to {} ms late",
            second.rounds, second.longest, second.latest
        );
    }
    for event in &day.events {
        println!("{event}");
    }
    for (time, cuts) in &day.cuts {
        println!(
            "{time} entries cut off: {}, reconnected: {}",
            cuts.begun, cuts.ended
        );
    }
    for (time, count) in &day.refusals {
        println!("{time} refused or failed: {count}");
    }
    for (time, kinds) in &day.dropped {
        let counts = kinds.iter().map(|(kind, count)| format!("{kind} {count}"));
        let counts = counts.collect::<Vec<_>>().join(", ");
        println!("{time} log lines left out: {counts}");
    }
}
