//! Arguments and subcommands of the command line.

use clap::{Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// Environment variable with the path of this process's settings file.
const CONFIG_VARIABLE: &str = "HAVENLADDER_CONFIG";

/// Fleet capacity and maintenance manager for services on borrowed VMs.
#[derive(Parser)]
#[command(version, about, after_help = EXIT_CODES)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
    /// Settings file of this process; commands read the entry's address and key from it.
    #[arg(long, global = true, env = CONFIG_VARIABLE, default_value = "havenladder.jsonc")]
    pub config: PathBuf,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 refused or not found; 2 wrong command line; 3 findings in a file; \
4 the entry does not answer; 5 not in force on every live entry in time.";

/// Top-level commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run an entry.
    Serve,
    /// Run an entry on the users' platform, with the settings file that the platform writes.
    Entry,
    /// Check, publish and show settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Start and control maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// Show VMs and take them out of service.
    #[command(subcommand)]
    Vm(VmCommand),
    /// Show pools.
    #[command(subcommand)]
    Pool(PoolCommand),
    /// Explain the state of a VM, level or request.
    Explain {
        /// ID of a VM, a level such as place/pool/service, or the ID of a request.
        subject: String,
    },
    /// Show the capacity and demand of pools over time, from the logs of entries on the users'
    /// platform.
    Day {
        /// Log file of one entry, or of several entries combined.
        file: PathBuf,
    },
    /// Report how fast services use up their error budgets.
    Burn,
    /// Show the entries and how far each one has applied the log.
    Entries,
    /// Print a report for diagnosing a fault; keys are left out.
    BugReport,
    /// Print the settings in force for this process; keys are left out.
    PrintConfig,
    /// Time each kind of request to the entry.
    Timings,
    /// Print a new key for a request that must not run twice.
    Key,
    /// Print a completion script for a shell.
    Completions {
        /// Name of the shell.
        shell: Shell,
    },
}

/// Commands about settings.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Check a settings file and print every finding.
    Check {
        /// Settings file.
        file: PathBuf,
    },
    /// Publish a settings file.
    Apply {
        /// Settings file.
        file: PathBuf,
        /// Wait until the settings are in force on every live entry.
        #[arg(long)]
        wait: bool,
    },
    /// Print the settings in force.
    Show,
    /// Print who last changed each path.
    History,
}

/// Commands about waves.
#[derive(Subcommand)]
pub enum WaveCommand {
    /// Reboot every VM of a place or pool once, as the budgets allow.
    Start {
        /// Place or pool.
        scope: String,
        /// Show progress until the wave has ended.
        #[arg(long)]
        wait: bool,
    },
    /// Show the progress of all waves.
    Status,
    /// Pause a wave: grant no further VMs.
    Pause {
        /// ID of the wave.
        wave: u64,
    },
    /// Resume a paused wave.
    Resume {
        /// ID of the wave.
        wave: u64,
    },
    /// Cancel a wave; reboots that have begun are finished.
    Cancel {
        /// ID of the wave.
        wave: u64,
    },
}

/// Commands about VMs.
#[derive(Subcommand)]
pub enum VmCommand {
    /// List VMs.
    List,
    /// Take a VM out of service until it is undrained.
    Drain {
        /// ID of the VM.
        vm: String,
    },
    /// Put a VM back into service.
    Undrain {
        /// ID of the VM.
        vm: String,
    },
    /// Drain a VM and release it to the platform.
    Release {
        /// ID of the VM.
        vm: String,
    },
    /// Drain a VM and move it to another pool.
    Move {
        /// ID of the VM.
        vm: String,
        /// Target pool, as place/pool.
        pool: String,
    },
    /// Remove a VM that is gone and will not be replaced.
    Forget {
        /// ID of the VM.
        vm: String,
    },
}

/// Commands about pools.
#[derive(Subcommand)]
pub enum PoolCommand {
    /// List pools with their sizes and budgets.
    List,
}
