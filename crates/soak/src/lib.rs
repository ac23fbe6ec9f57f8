//! A randomized soak: entries run as separate processes against stand-ins of the users' log, workers and
//! VMs; faults come from outside them, by signals and by a proxy in front of the log; and what callers and
//! workers see is checked against the promises.
//!
//! A seed gives the same faults and jobs at the same times; what the processes make of them differs with
//! their timing. Only processes that the soak started are signalled, by their ids.

#![expect(
    clippy::missing_panics_doc,
    reason = "a soak stops when its own state is broken"
)]

pub mod caller;
pub mod entries;
pub mod faults;
pub mod invariants;
pub mod site;

use caller::Ledger;
use invariants::Violation;
use rand::{SeedableRng, rngs::StdRng};
use site::Site;
use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::time;

/// How long the entries get to find an owner before callers come.
const START: Duration = Duration::from_millis(2_500);

/// How long the faults' effects may last after the last of them: a lost worker's lease and that of an
/// owner that could not renew, 4.7 and 6 s, a takeover, and the work that waited.
const SETTLE: Duration = Duration::from_secs(20);

/// What a run of the soak does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program under test.
    pub program: PathBuf,
    /// What faults and jobs come when.
    pub seed: u64,
    /// For how long faults come.
    pub span: Duration,
    /// How many entries run.
    pub entries: usize,
    /// How many VMs there are.
    pub vms: usize,
    /// Where the entries' logs go.
    pub logs: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// Jobs that were handed in.
    pub jobs: usize,
    /// Jobs of which an entry said that they are kept.
    pub accepted: usize,
    /// Jobs that an entry showed as done.
    pub succeeded: usize,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

/// Runs the soak once.
///
/// # Errors
///
/// Fails when processes or ports are not to be had.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut site = Site::start(plan).await?;
    time::sleep(START).await;
    let ledger = Ledger::default();
    let callers = caller::start(&site, &ledger, plan.seed);
    let faults = faults::inject(&mut site, plan.seed, &mut rng, plan.span).await?;
    callers.stop();
    let calm = Instant::now();
    wait_for_jobs(&mut site, &ledger, calm + SETTLE).await?;
    let violations = invariants::check(&ledger.all(), &site.events.all(), &site.bounds);
    Ok(Report {
        jobs: ledger.all().len(),
        accepted: ledger.count(|job| job.accepted.is_some()),
        succeeded: ledger.count(|job| job.succeeded.is_some()),
        faults,
        violations,
    })
}

/// Asks for the jobs that are not over until all are, or the time is.
///
/// # Errors
///
/// Fails when a process cannot be started again.
async fn wait_for_jobs(site: &mut Site, ledger: &Ledger, until: Instant) -> io::Result<()> {
    let mut round = 0;
    while Instant::now() < until && ledger.is_open() {
        // A process that was told to stop may end only now.
        site.heal()?;
        caller::ask_open(site, ledger, round).await;
        round += 1;
        time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}
