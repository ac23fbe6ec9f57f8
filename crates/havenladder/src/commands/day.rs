//! `day`: what pools had and needed over a time, and what stopped decisions, from the logs of entries.
//!
//! Reads what entries wrote to standard output, of one entry or of all in one file. Text before a line's JSON
//! is passed over, so that logs collected with a prefix can be read as they are.

use super::{CommandError, Setup, table};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fs, path::Path};

/// Thousandths of a core in a core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// From how late an owner's rounds on it counts as full, in ms: three rounds and the append between them.
const OVERLOAD_MS: u64 = 50;

/// How much of a log's time is kept, in characters: up to the second.
const SECOND_LENGTH: usize = "2026-12-02T18:00:00".len();

/// A line of a log; what a kind of line does not have is left out.
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
}

/// What one pool had and needed when it was last logged in a second.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Row {
    /// The second.
    time: String,
    /// The pool.
    pool: String,
    /// Its VMs, and how many of them were idle.
    vms: u64,
    idle: u64,
    /// Cores that runs took, at their highest of late.
    busy: f64,
    /// Cores that waiting tasks asked for, and the part that could not be in time any more.
    waiting: f64,
    late: f64,
}

/// Changes of what entries reach in a second: hundreds of entries change at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct CutOffs {
    /// How many entries were cut off.
    begun: u64,
    /// How many were no longer.
    ended: u64,
}

impl CutOffs {
    /// Notes the change of one entry.
    fn count(&mut self, cut_off: bool) {
        if cut_off {
            self.begun += 1;
        } else {
            self.ended += 1;
        }
    }
}

/// How full the owner was in a second.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Rounds {
    /// How many rounds of decisions it made.
    rounds: u64,
    /// The longest that one took, in ms.
    longest: u64,
    /// By how much it woke too late between two of them, at the most, in ms.
    latest: u64,
}

impl Rounds {
    /// Whether the owner had more to do than it could.
    fn is_overloaded(&self) -> bool {
        self.longest.max(self.latest) >= OVERLOAD_MS
    }
}

/// What is worth knowing of the logs.
#[derive(Debug, Default, Serialize)]
struct Day {
    /// The pools, second by second.
    pools: Vec<Row>,
    /// How full the owner was, by second.
    owner: BTreeMap<String, Rounds>,
    /// Changes of owner.
    events: Vec<String>,
    /// How many entries were cut off, or were no longer, by second.
    cuts: BTreeMap<String, CutOffs>,
    /// Requests that were given up or refused, by second.
    refusals: BTreeMap<String, u64>,
}

/// Shows what the logs of entries tell of a time.
pub fn day(setup: &Setup<'_>, file: &Path) -> Result<(), CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::Io(file.display().to_string(), error))?;
    let day = read(&text);
    setup.print(&day, show);
    Ok(())
}

/// Reads logs; lines that are none are passed over.
fn read(text: &str) -> Day {
    let mut day = Day::default();
    let mut pools = BTreeMap::new();
    for line in text.lines().filter_map(parse) {
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
            _ => {}
        }
    }
    day.events.sort();
    day.pools = pools.into_values().collect();
    day
}

/// Reads a line from its first brace on.
fn parse(line: &str) -> Option<Line> {
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
            "{time} entries cut off: {}, no longer: {}",
            cuts.begun, cuts.ended
        );
    }
    for (time, count) in &day.refusals {
        println!("{time} refused or given up: {count}");
    }
}
