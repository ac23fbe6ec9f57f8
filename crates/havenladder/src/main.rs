//! The program `havenladder`: runs entries, and the commands with which operators control them.

mod cli;
mod client;
mod commands;
mod configs;
mod context;
mod ended_clients;
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
mod record;
mod sync;
mod threads;

use clap::Parser;
use mimalloc::MiMalloc;
use std::process::ExitCode;

/// Global allocator. The system's allocator took a fifth of an owner's processor time at 1,100
/// workers.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    commands::run(cli::Args::parse())
}
