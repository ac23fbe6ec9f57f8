//! A randomized soak test. Entries run as separate processes against stand-ins of the users' log,
//! workers and VMs. Faults are injected from outside, by signals and by proxies on the links to the
//! log and to the workers, and what callers and workers observe is checked against invariants.
//!
//! A seed gives the same faults and jobs at the same times; how the processes react differs with
//! their timing. Signals go only to processes that the soak started, by their ids.

#![expect(
    clippy::missing_panics_doc,
    reason = "a soak stops when its own state is broken"
)]

pub mod caller;
pub mod crowd;
pub mod crowd_faults;
pub mod cut_off;
pub mod entries;
pub mod faults;
pub mod invariants;
pub mod journal;
pub mod prober;
pub mod site;
pub mod specs;
pub mod usage;

use caller::Ledger;
use crowd_faults::{CROWDS_FROM_SEED, Crowds};
use cut_off::CUT_OFF_FROM_SEED;
use invariants::Violation;
use prober::Prober;
use rand::{SeedableRng, rngs::StdRng};
use site::Site;
use specs::LONG_RUN_MS;
use standin::users::{settings::Resources, worker::MAX_HOLD_MS};
use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::time;

/// The time in which the entries elect an owner before callers start.
const STARTUP_TIME: Duration = Duration::from_millis(2_500);

/// The time for which the effects of faults may last after the last fault: the leases of a lost
/// worker (4.7 s) and of an owner that could not renew its own (6 s), a failover, and the work that
/// was waiting.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The same for soaks with long tasks. One that was lost waits for the longest lease in addition, and takes its time.
const LONG_SETTLE_TIMEOUT: Duration = SETTLE_TIMEOUT
    .saturating_add(Duration::from_millis(MAX_HOLD_MS))
    .saturating_add(Duration::from_millis(*LONG_RUN_MS.end()));

/// The name of the file with what the workers recorded.
const JOURNAL: &str = "workers.log";

/// The settings of one run of the soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Seed that determines the faults, the jobs and their times.
    pub seed: u64,
    /// Time for which faults are injected.
    pub span: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of VMs.
    pub vms: usize,
    /// Directory for the entries' settings and logs.
    pub logs: PathBuf,
    /// Bandwidth of each entry's link according to its settings, in Mbit/s; `None` leaves it out.
    pub link_mbps: Option<f64>,
    /// Memory and descriptors of each entry's machine. The processes cannot open more descriptors; `None` leaves the
    /// machine without stated limits.
    pub resources: Option<Resources>,
}

/// The results of one run of the soak.
#[derive(Debug)]
pub struct Report {
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs that an entry accepted.
    pub accepted: usize,
    /// Number of jobs that an entry reported as done.
    pub succeeded: usize,
    /// Injected faults in order.
    pub faults: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs the soak once.
///
/// # Errors
///
/// Fails when processes can't be started or ports aren't free.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut site = Site::start(plan).await?;
    time::sleep(STARTUP_TIME).await;
    let ledger = Ledger::default();
    let callers = caller::start(&site, &ledger, plan.seed);
    let prober = Prober::start(&site, plan.seed);
    let crowds = Crowds::start(&site, plan.seed);
    let (faults, settle_timeout) = match plan.seed {
        ..CUT_OFF_FROM_SEED | CROWDS_FROM_SEED.. => {
            let faults = faults::inject(&mut site, plan.seed, &mut rng, plan.span).await?;
            (faults, SETTLE_TIMEOUT)
        }
        CUT_OFF_FROM_SEED..CROWDS_FROM_SEED => {
            let faults = cut_off::inject(&mut site, &mut rng, plan.span).await?;
            (faults, LONG_SETTLE_TIMEOUT)
        }
    };
    callers.stop();
    let mut violations = crowds.stop();
    let faults_ended = Instant::now();
    wait_for_jobs(&mut site, &ledger, faults_ended + settle_timeout).await?;
    let rejections = prober.stop();
    violations.extend(invariants::check(
        &ledger.all(),
        &site.events.all(),
        &site.bounds,
        &rejections,
    ));
    journal::write(&plan.logs.join(JOURNAL), &site.events)?;
    Ok(Report {
        jobs: ledger.all().len(),
        accepted: ledger.count(|job| job.accepted.is_some()),
        succeeded: ledger.count(|job| job.succeeded.is_some()),
        faults,
        violations,
    })
}

/// Polls the jobs that have not ended until all have or the time is up.
///
/// # Errors
///
/// Fails when a process cannot be restarted.
async fn wait_for_jobs(site: &mut Site, ledger: &Ledger, until: Instant) -> io::Result<()> {
    let mut round = 0;
    while Instant::now() < until && ledger.is_open() {
        // A process that received the signal to stop may have ended only now.
        site.heal()?;
        caller::poll_open_jobs(site, ledger, round).await;
        round += 1;
        time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}
