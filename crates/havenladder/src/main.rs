//! The program `havenladder`: entries, and the commands by which operators drive them.

mod cli;
mod client;
mod commands;
mod configs;
mod context;
mod entry;
mod explain;
mod fleet_cell;
mod key;
mod local_observations;
mod logs;
mod metrics;
mod operate;
mod outcome;
mod peer_table;
mod problem;
mod propose;
mod recent;
mod sync;
mod threads;

use clap::Parser;
use mimalloc::MiMalloc;
use std::process::ExitCode;

/// A fifth of an owner's processor time at 1,100 workers went to the system's allocator.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    commands::run(cli::Args::parse())
}
