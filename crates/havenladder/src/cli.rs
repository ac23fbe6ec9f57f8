//! The command line.

use clap::{Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// Environment variable with the path of the process's file.
const CONFIG_VARIABLE: &str = "HAVENLADDER_CONFIG";

/// Fleet capacity and maintenance manager for services on borrowed VMs.
#[derive(Parser)]
#[command(version, about, after_help = EXIT_CODES)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
    /// File of this process's settings; commands read an entry's address and key from it.
    #[arg(long, global = true, env = CONFIG_VARIABLE, default_value = "havenladder.jsonc")]
    pub config: PathBuf,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 refused or not found; 2 wrong command line; 3 findings in a file; \
4 the entry does not answer; 5 not in force everywhere in time.";

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run an entry.
    Serve,
    /// Run an entry on the users' platform, by the settings file that the platform writes.
    Entry,
    /// Check, publish and show settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Start and steer maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// Show VMs and take them out of service.
    #[command(subcommand)]
    Vm(VmCommand),
    /// Show pools.
    #[command(subcommand)]
    Pool(PoolCommand),
    /// Tell why a VM, level or request is as it is.
    Explain {
        /// A VM, a level such as place/pool/service, or a request's id.
        subject: String,
    },
    /// Show what pools had and needed over a time, from the logs of entries on the users' platform.
    Day {
        /// The logs, of one entry or of several in one file.
        file: PathBuf,
    },
    /// Report how fast services use up what their objectives leave.
    Burn,
    /// Show the entries and how far each has applied the log.
    Entries,
    /// Print what somebody needs who is to find a fault; keys are left out.
    BugReport,
    /// Print the settings in force for this process; keys are left out.
    PrintConfig,
    /// Time each kind of question to the entry.
    Timings,
    /// Print a fresh key for a request that must not be repeated.
    Key,
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands about settings.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Check a file and print every finding.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Publish a file.
    Apply {
        /// The file.
        file: PathBuf,
        /// Wait until it is in force on every live entry.
        #[arg(long)]
        wait: bool,
    },
    /// Print the settings in force.
    Show,
    /// Print who changed which path last.
    History,
}

/// Commands about waves.
#[derive(Subcommand)]
pub enum WaveCommand {
    /// Reboot every VM of a place or pool once, as the budgets allow.
    Start {
        /// The place or pool.
        scope: String,
        /// Show progress until the wave has ended.
        #[arg(long)]
        wait: bool,
    },
    /// Show how far waves have come.
    Status,
    /// Grant nothing new.
    Pause {
        /// The wave.
        wave: u64,
    },
    /// Go on.
    Resume {
        /// The wave.
        wave: u64,
    },
    /// End a wave; reboots that have begun are finished.
    Cancel {
        /// The wave.
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
        /// The VM.
        vm: String,
    },
    /// Put a VM back into service.
    Undrain {
        /// The VM.
        vm: String,
    },
    /// Drain a VM and hand it back.
    Release {
        /// The VM.
        vm: String,
    },
    /// Drain a VM and move it to another pool.
    Move {
        /// The VM.
        vm: String,
        /// The pool, as place/pool.
        pool: String,
    },
    /// Remove a VM that is gone and will not be replaced.
    Forget {
        /// The VM.
        vm: String,
    },
}

/// Commands about pools.
#[derive(Subcommand)]
pub enum PoolCommand {
    /// List pools with their sizes and budgets.
    List,
}
