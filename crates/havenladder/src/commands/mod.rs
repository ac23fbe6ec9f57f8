//! The commands of the command line, one file each, dispatched by one `match`.

mod bug_report;
mod burn;
mod day;
mod entries;
mod explain;
mod pool;
mod serve;
mod settings;
mod table;
mod timings;
mod vm;
mod wave;

use crate::{
    cli::{Args, Command},
    client::{OperatorClient, OperatorError},
    configs::{self, ConfigError},
    operate::{Order, Receipt},
};
use ::settings::Findings;
use clap::CommandFactory;
use fleet::{Outcome, Reason};
use serde::Serialize;
use std::{io, path::Path, process::ExitCode};

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings file of this process cannot be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A settings file has findings.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// A file cannot be read, or an address cannot be bound.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// The entry does not respond or refuses the request.
    #[error("{0}")]
    Operator(#[from] OperatorError),
    /// The change was rejected and had no effect.
    #[error("nothing was changed: {0}")]
    Rejected(Reason),
    /// The change was accepted but is not yet in force on every live entry.
    #[error("accepted at offset {offset}, but not yet in force on: {behind}")]
    NotInForce {
        /// Offset of the change in the log.
        offset: u64,
        /// Names of the entries that have not applied the change.
        behind: String,
    },
    /// A part of the process cannot be started.
    #[error("{0}")]
    Start(String),
}

impl CommandError {
    fn code(&self) -> u8 {
        match self {
            Self::Rejected(_) | Self::Operator(OperatorError::Refused(_)) => 1,
            Self::Config(ConfigError::Findings(_)) | Self::Findings(_) => 3,
            Self::Operator(OperatorError::Unreachable { .. }) => 4,
            Self::NotInForce { .. } => 5,
            Self::Config(ConfigError::Io(..)) | Self::Io(..) | Self::Start(_) => 1,
        }
    }
}

/// Options that all commands share.
pub struct GlobalOptions<'a> {
    /// Path of this process's settings file.
    pub config: &'a Path,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

impl GlobalOptions<'_> {
    /// Creates a client for the entry that is named in the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings file cannot be read or has findings.
    pub fn client(&self) -> Result<OperatorClient, CommandError> {
        let config = configs::load(self.config)?;
        let addr = config.operators.listen.to_string();
        Ok(OperatorClient::new(addr, config.operators.key))
    }

    /// Prints `value` as JSON if JSON was requested, and passes it to `show` otherwise.
    pub fn print<T: Serialize>(&self, value: &T, show: impl FnOnce(&T)) {
        if !self.json {
            return show(value);
        }
        if let Ok(text) = serde_json::to_string_pretty(value) {
            println!("{text}");
        }
    }
}

/// Runs a command and returns its exit code.
pub fn run(args: Args) -> ExitCode {
    if matches!(args.command, Command::Entry) {
        return crate::entry::run();
    }
    let options = GlobalOptions {
        config: &args.config,
        json: args.json,
    };
    match dispatch(&options, args.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}

fn dispatch(options: &GlobalOptions<'_>, command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve => serve::serve(options),
        // `run` has dispatched this command already, since it reads the platform's settings file.
        Command::Entry => Ok(()),
        Command::Settings(command) => settings::settings(options, command),
        Command::Wave(command) => wave::wave(options, command),
        Command::Vm(command) => vm::vm(options, command),
        Command::Pool(_) => pool::pool(options),
        Command::Explain { subject } => explain::explain(options, &subject),
        Command::Day { file } => day::day(options, &file),
        Command::Burn => burn::burn(options),
        Command::Entries => entries::entries(options),
        Command::BugReport => bug_report::bug_report(options),
        Command::PrintConfig => print_config(options),
        Command::Timings => timings::timings(options),
        Command::Key => {
            println!("{}", ulid::Ulid::new());
            Ok(())
        }
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Args::command(),
                "havenladder",
                &mut io::stdout(),
            );
            Ok(())
        }
    }
}

fn print_config(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let config = configs::load(options.config)?;
    if let Ok(text) = serde_json::to_string_pretty(&config) {
        println!("{text}");
    }
    Ok(())
}

/// Sends an operator's order and returns its receipt, or an error if the order was rejected.
fn send_order(options: &GlobalOptions<'_>, order: &Order) -> Result<Receipt, CommandError> {
    let receipt: Receipt = options.client()?.post("/orders", order)?;
    match receipt.outcome {
        Outcome::Rejected(reason) => Err(CommandError::Rejected(reason)),
        Outcome::Applied | Outcome::Unchanged => Ok(receipt),
    }
}
