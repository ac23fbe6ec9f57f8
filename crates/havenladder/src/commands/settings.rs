//! `settings`: checks, publishes and shows the settings tree.

use super::{CommandError, GlobalOptions, send_order, table};
use crate::{
    cli::SettingsCommand,
    client::OperatorClient,
    operate::{MemberReply, Order, StateReply},
};
use fleet::PathChange;
use settings::{Tree, diff, read_tree};
use std::{
    fs,
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

/// Time limit for accepted settings to be in force on every live entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of the entries' offsets.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a command about settings.
pub fn settings(options: &GlobalOptions<'_>, command: SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Check { file } => check(&file),
        SettingsCommand::Apply { file, wait } => apply(options, &file, wait),
        SettingsCommand::Show => show(options),
        SettingsCommand::History => history(options),
    }
}

fn read(file: &Path) -> Result<Tree, CommandError> {
    let name = file.display().to_string();
    match fs::read_to_string(file) {
        Ok(text) => Ok(read_tree(&name, &text)?),
        Err(error) => Err(CommandError::Io(name, error)),
    }
}

fn check(file: &Path) -> Result<(), CommandError> {
    let tree = read(file)?;
    let (pools, services) = (tree.pools().count(), tree.services().count());
    println!("no findings: {pools} pools, {services} services");
    Ok(())
}

fn apply(options: &GlobalOptions<'_>, file: &Path, wait: bool) -> Result<(), CommandError> {
    let wanted = read(file)?;
    let client = options.client()?;
    let state: StateReply = client.get("/state")?;
    let changes = changes_towards(&state, &wanted);
    if changes.is_empty() {
        println!("already in force");
        return Ok(());
    }
    let count = changes.len();
    let receipt = send_order(options, &Order::Settings(changes))?;
    if wait {
        wait_in_force(&client, receipt.offset)?;
    }
    options.print(&receipt, |receipt| {
        let offset = receipt.offset;
        let force = if wait {
            " and in force on every live entry"
        } else {
            ""
        };
        println!("accepted at offset {offset}{force}: {count} paths changed");
    });
    Ok(())
}

/// Returns the changes that lead from the settings in force to `wanted`, each with the version that
/// it is based on.
fn changes_towards(state: &StateReply, wanted: &Tree) -> Vec<PathChange> {
    diff(&state.tree, wanted)
        .into_iter()
        .map(|change| PathChange {
            base: state
                .versions
                .get(&change.path)
                .map_or(0, |mark| mark.offset + 1),
            path: change.path,
            node: change.node,
        })
        .collect()
}

fn wait_in_force(client: &OperatorClient, offset: u64) -> Result<(), CommandError> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let members: Vec<MemberReply> = client.get("/members")?;
        let behind: Vec<&str> = members
            .iter()
            .filter(|member| member.next.is_some_and(|next| next <= offset))
            .map(|member| member.entry.as_str())
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let behind = behind.join(", ");
            return Err(CommandError::NotInForce { offset, behind });
        }
        sleep(POLL_INTERVAL);
    }
}

fn show(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let state: StateReply = options.client()?.get("/state")?;
    if let Ok(text) = serde_json::to_string_pretty(&state.tree.nodes) {
        println!("{text}");
    }
    Ok(())
}

fn history(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let state: StateReply = options.client()?.get("/state")?;
    options.print(&state.versions, |versions| {
        let mut table = table::table(&["PATH", "OFFSET", "BY", "WHEN"]);
        for (path, mark) in versions {
            table.add_row([
                path.clone(),
                mark.offset.to_string(),
                mark.by.clone(),
                table::relative_time(mark.at),
            ]);
        }
        table::print(&table, "no settings yet");
    });
    Ok(())
}
