//! Counters for the burn report, and the burn rate over several windows as the Site Reliability Workbook
//! describes it.

use protocol::{BurnCounts, BurnWindows, Loss, ServiceId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Window of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Name of the window in the report.
    pub name: &'static str,
    /// Length of the window.
    pub span: Duration,
}

/// Windows of the report: a short and a long one for a fast burn, and the same for a slow burn, as the Site
/// Reliability Workbook pairs them. They are shortened to what an entry keeps in memory.
pub const WINDOWS: [Window; 4] = [
    Window {
        name: "5m",
        span: Duration::from_secs(5 * 60),
    },
    Window {
        name: "30m",
        span: Duration::from_secs(30 * 60),
    },
    Window {
        name: "1h",
        span: Duration::from_secs(60 * 60),
    },
    Window {
        name: "6h",
        span: Duration::from_secs(6 * 60 * 60),
    },
];

/// Time that one cell covers.
const CELL_SPAN: Duration = Duration::from_secs(30);

/// Number of cells that the longest window needs.
const MAX_CELLS: usize = 6 * 60 * 2 + 1;

/// Cells of one service, the newest last, each with its number since 1970.
type Cells = VecDeque<(u64, BurnCounts)>;

/// Counters of one entry.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    services: BTreeMap<ServiceId, Cells>,
}

impl Burn {
    /// Counts one request as good, or as lost for a cause.
    pub fn count(&mut self, service: &str, loss: Option<Loss>, now: SystemTime) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Cells::new());
        }
        let Some(cells) = self.services.get_mut(service) else {
            return;
        };
        let number = cell_number(now);
        if cells.back().is_none_or(|(newest, _)| *newest < number) {
            cells.push_back((number, BurnCounts::default()));
        }
        if cells.len() > MAX_CELLS {
            cells.pop_front();
        }
        let Some((_, cell)) = cells.back_mut() else {
            return;
        };
        match loss {
            None => cell.good += 1,
            Some(loss) => *cell.lost.entry(loss).or_default() += 1,
        }
    }

    /// Sums the cells of each service over the windows that end at `now`.
    pub fn sums(&self, now: SystemTime) -> BTreeMap<ServiceId, BurnWindows> {
        self.services
            .iter()
            .map(|(service, cells)| (service.clone(), sum(cells, now)))
            .collect()
    }
}

/// Returns the rate at which a service consumes its error budget. At 1.0 the budget lasts exactly for the
/// period.
pub fn burn_rate(cell: &BurnCounts, objective: f64) -> f64 {
    let total = cell.total();
    if total == 0 {
        return 0.0;
    }
    let bad = cell.bad() as f64 / total as f64;
    bad / (1.0 - objective)
}

fn sum(cells: &Cells, now: SystemTime) -> BurnWindows {
    let windows = WINDOWS.iter().map(|window| {
        let oldest = cell_number(now.checked_sub(window.span).unwrap_or(UNIX_EPOCH));
        let mut total = BurnCounts::default();
        for (_, cell) in cells.iter().filter(|(number, _)| *number > oldest) {
            total.add(cell);
        }
        total
    });
    BurnWindows {
        windows: windows.collect(),
    }
}

fn cell_number(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / CELL_SPAN.as_secs()
}
