//! `wave`: starts and controls maintenance waves and shows their progress.

use super::{CommandError, GlobalOptions, send_order, table};
use crate::{
    cli::WaveCommand,
    operate::{Order, StateReply, WaveReply},
};
use fleet::{WaveChange, WaveId, WaveState};
use std::{
    io::{IsTerminal, stderr},
    thread::sleep,
    time::Duration,
};

/// Interval between two polls of a wave that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a command about waves.
pub fn wave(options: &GlobalOptions<'_>, command: WaveCommand) -> Result<(), CommandError> {
    match command {
        WaveCommand::Start { scope, wait } => start(options, scope, wait),
        WaveCommand::Status => status(options),
        WaveCommand::Pause { wave } => change(options, WaveChange::Pause(wave)),
        WaveCommand::Resume { wave } => change(options, WaveChange::Resume(wave)),
        WaveCommand::Cancel { wave } => change(options, WaveChange::Cancel(wave)),
    }
}

fn start(options: &GlobalOptions<'_>, scope: String, wait: bool) -> Result<(), CommandError> {
    let receipt = send_order(options, &Order::Wave(WaveChange::Start { scope }))?;
    let wave = receipt.offset;
    if wait {
        show_progress(options, wave)?;
    }
    options.print(&receipt, |_| {
        println!("wave {wave}; see `havenladder wave status`");
    });
    Ok(())
}

fn change(options: &GlobalOptions<'_>, change: WaveChange) -> Result<(), CommandError> {
    let receipt = send_order(options, &Order::Wave(change))?;
    options.print(&receipt, |receipt| {
        println!("decided at offset {}", receipt.offset);
    });
    Ok(())
}

/// Waits until the wave has ended, and shows its progress if standard error is a terminal.
fn show_progress(options: &GlobalOptions<'_>, id: WaveId) -> Result<(), CommandError> {
    let client = options.client()?;
    loop {
        let state: StateReply = client.get("/state")?;
        let Some(reply) = state.waves.get(&id) else {
            return Ok(());
        };
        if stderr().is_terminal() {
            eprint!("\r{}    ", progress_line(reply));
        }
        if matches!(reply.wave.state, WaveState::Done | WaveState::Cancelled) {
            return Ok(());
        }
        sleep(POLL_INTERVAL);
    }
}

fn progress_line(reply: &WaveReply) -> String {
    let progress = &reply.progress;
    let ends = reply.ends.map(table::relative_time).unwrap_or_default();
    format!(
        "{} of {} VMs done, {} active {ends}",
        progress.done, progress.total, progress.active
    )
}

fn status(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let state: StateReply = options.client()?.get("/state")?;
    options.print(&state.waves, |waves| {
        let headings = [
            "WAVE", "SCOPE", "STATE", "DONE", "ACTIVE", "DOWN", "TOTAL", "ENDS",
        ];
        let mut table = table::table(&headings);
        for (id, reply) in waves {
            table.add_row([
                id.to_string(),
                reply.wave.scope.clone(),
                format!("{:?}", reply.wave.state).to_lowercase(),
                reply.progress.done.to_string(),
                reply.progress.active.to_string(),
                reply.progress.down.to_string(),
                reply.progress.total.to_string(),
                reply.ends.map_or_else(|| "-".into(), table::relative_time),
            ]);
        }
        table::print(&table, "no waves");
    });
    Ok(())
}
