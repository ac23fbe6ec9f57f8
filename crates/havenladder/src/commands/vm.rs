//! `vm`: lists VMs, takes them out of service and puts them back.

use super::{CommandError, GlobalOptions, send_order, table};
use crate::{
    cli::VmCommand,
    operate::{Order, StateReply},
};
use fleet::{GrantPurpose, Vm};

/// Runs a command about VMs.
pub fn vm(options: &GlobalOptions<'_>, command: VmCommand) -> Result<(), CommandError> {
    match command {
        VmCommand::List => list(options),
        VmCommand::Drain { vm } => grant(options, vm, GrantPurpose::Drain),
        VmCommand::Release { vm } => grant(options, vm, GrantPurpose::Release),
        VmCommand::Move { vm, pool } => grant(options, vm, GrantPurpose::Move { to: pool }),
        VmCommand::Undrain { vm } => change(options, &Order::Undo { vm }),
        VmCommand::Forget { vm } => change(options, &Order::Forget { vm }),
    }
}

fn grant(
    options: &GlobalOptions<'_>,
    vm: String,
    errand: GrantPurpose,
) -> Result<(), CommandError> {
    change(options, &Order::Errand { vm, errand })
}

fn change(options: &GlobalOptions<'_>, wanted: &Order) -> Result<(), CommandError> {
    let receipt = send_order(options, wanted)?;
    options.print(&receipt, |receipt| {
        println!(
            "decided at offset {}; see `havenladder vm list`",
            receipt.offset
        );
    });
    Ok(())
}

fn list(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let state: StateReply = options.client()?.get("/state")?;
    options.print(&state.vms, |vms| {
        let mut table = table::table(&["VM", "POOL", "HALL", "RACK", "SLOTS", "BOOT", "STATE"]);
        for (id, vm) in vms {
            table.add_row([
                id.clone(),
                vm.pool.clone(),
                vm.hall.clone(),
                vm.rack.clone(),
                vm.slots.to_string(),
                vm.boot.to_string(),
                state_of(vm),
            ]);
        }
        table::print(&table, "no VMs");
    });
    Ok(())
}

fn state_of(vm: &Vm) -> String {
    let health = format!("{:?}", vm.health).to_lowercase();
    match &vm.grant {
        None => health,
        Some(grant) => format!("{health}, {} for {:?}", grant.step, grant.purpose),
    }
}
