//! Command line of the stand-ins: `standin platform`.

use clap::{Parser, Subcommand};
use havenladder_standin::platform::{self, Plan};
use std::{net::SocketAddr, time::Duration};
use tokio::net::TcpListener;

#[derive(Parser)]
#[command(about = "Stand-ins for tests of havenladder on one machine")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the platform and its workers.
    Platform(PlatformArgs),
}

#[derive(clap::Args)]
struct PlatformArgs {
    /// Address to listen on; port 0 picks a free port, which is printed.
    #[arg(long, default_value = "127.0.0.1:7000")]
    listen: SocketAddr,
    /// Data centre and its number of VMs, as `hall-1=6`.
    #[arg(long = "hall", value_parser = hall)]
    halls: Vec<(String, u32)>,
    /// Number of VMs per rack.
    #[arg(long, default_value_t = 4)]
    rack: u32,
    /// Slots of each worker.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Duration of a reboot, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    reboot_ms: u64,
    /// Delay with which the list of VMs is updated, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag_ms: u64,
    /// Retention time of the log's records, in milliseconds.
    #[arg(long, default_value_t = 3_600_000)]
    keep_ms: u64,
    /// Maximum number of appends to the log per second.
    #[arg(long, default_value_t = 300)]
    rate: u32,
}

fn hall(text: &str) -> Result<(String, u32), String> {
    let (name, count) = text.split_once('=').ok_or("must be <data centre>=<VMs>")?;
    let count = count
        .parse()
        .map_err(|_| "the number of VMs is not a number")?;
    Ok((name.to_owned(), count))
}

fn main() -> std::io::Result<()> {
    let Command::Platform(args) = Args::parse().command;
    let plan = Plan {
        halls: args.halls,
        rack: args.rack,
        slots: args.slots,
        reboot: Duration::from_millis(args.reboot_ms),
        lag: Duration::from_millis(args.lag_ms),
        keep: Duration::from_millis(args.keep_ms),
        rate: args.rate,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(args.listen).await?;
        println!("listening on {}", listener.local_addr()?);
        platform::run(plan, listener).await;
        Ok(())
    })
}
