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

/// Period that one bucket covers.
const BUCKET_SPAN: Duration = Duration::from_secs(30);

/// Maximum number of buckets that are kept for a service: those of the longest window.
const MAX_BUCKETS: usize = 6 * 60 * 2 + 1;

/// Counts of one service by period, the newest last, each with the number of its period since 1970.
type Buckets = VecDeque<(u64, BurnCounts)>;

/// Counters of one entry.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    services: BTreeMap<ServiceId, Buckets>,
}

impl Burn {
    /// Counts one request as good, or as lost for a cause.
    pub fn count(&mut self, service: &str, loss: Option<Loss>, now: SystemTime) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Buckets::new());
        }
        let Some(buckets) = self.services.get_mut(service) else {
            return;
        };
        let number = bucket_number(now);
        if buckets.back().is_none_or(|(newest, _)| *newest < number) {
            buckets.push_back((number, BurnCounts::default()));
        }
        if buckets.len() > MAX_BUCKETS {
            buckets.pop_front();
        }
        let Some((_, bucket)) = buckets.back_mut() else {
            return;
        };
        match loss {
            None => bucket.good += 1,
            Some(loss) => *bucket.lost.entry(loss).or_default() += 1,
        }
    }

    /// Returns the counts of each service, summed over the windows that end at `now`.
    pub fn sums(&self, now: SystemTime) -> BTreeMap<ServiceId, BurnWindows> {
        self.services
            .iter()
            .map(|(service, buckets)| (service.clone(), sum(buckets, now)))
            .collect()
    }
}

/// Returns the rate at which a service consumes its error budget. At 1.0 the budget lasts exactly for the
/// period.
pub fn burn_rate(counts: &BurnCounts, objective: f64) -> f64 {
    let total = counts.total();
    if total == 0 {
        return 0.0;
    }
    let bad = counts.bad() as f64 / total as f64;
    bad / (1.0 - objective)
}

fn sum(buckets: &Buckets, now: SystemTime) -> BurnWindows {
    let windows = WINDOWS.iter().map(|window| {
        let oldest = bucket_number(now.checked_sub(window.span).unwrap_or(UNIX_EPOCH));
        let mut total = BurnCounts::default();
        for (_, bucket) in buckets.iter().filter(|(number, _)| *number > oldest) {
            total.add(bucket);
        }
        total
    });
    BurnWindows {
        windows: windows.collect(),
    }
}

fn bucket_number(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / BUCKET_SPAN.as_secs()
}
