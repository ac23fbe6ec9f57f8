//! Runs the soak by hand: `soak --program target/release/havenladder --seeds 50`.

use clap::Parser;
use havenladder_soak::{Plan, Report, run};
use std::{fs, io, path::PathBuf, process::ExitCode, time::Duration};

#[derive(Parser)]
#[command(about = "Runs entries under random faults and checks what callers and workers see")]
struct Args {
    /// Path of the program under test.
    #[arg(long)]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Time for which faults are injected, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of VMs.
    #[arg(long, default_value_t = 8)]
    vms: usize,
    /// Directory for the entries' logs, with a folder for each seed; the folders of seeds that pass
    /// are removed.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
    /// Keeps the logs and prints the faults of seeds that pass as well.
    #[arg(long)]
    keep: bool,
}

fn main() -> io::Result<ExitCode> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut failed_seeds = 0;
    for seed in args.first..args.first + args.seeds {
        let plan = plan(&args, seed);
        let report = runtime.block_on(run(&plan))?;
        print_report(seed, &report, args.keep);
        if !report.violations.is_empty() {
            failed_seeds += 1;
        } else if !args.keep {
            fs::remove_dir_all(&plan.logs)?;
        }
    }
    Ok(if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Returns the settings of the run with a seed.
fn plan(args: &Args, seed: u64) -> Plan {
    Plan {
        program: args.program.clone(),
        seed,
        span: Duration::from_secs(args.seconds),
        entries: args.entries,
        vms: args.vms,
        logs: args.logs.join(seed.to_string()),
        link_mbps: None,
        resources: None,
    }
}

/// Prints a summary of a run, and its faults if an invariant was violated or `with_faults` is set.
fn print_report(seed: u64, report: &Report, with_faults: bool) {
    println!(
        "seed {seed}: {} jobs, {} accepted, {} succeeded, {} faults, {} invariants violated",
        report.jobs,
        report.accepted,
        report.succeeded,
        report.faults.len(),
        report.violations.len()
    );
    if report.violations.is_empty() && !with_faults {
        return;
    }
    for violation in &report.violations {
        println!("  {violation}");
    }
    for fault in &report.faults {
        println!("  {fault}");
    }
}
