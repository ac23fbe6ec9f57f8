//! `vm`: lists VMs, takes them out of service and puts them back.

use super::{CommandError, Setup, send_order, table};
use crate::{
    cli::VmCommand,
    operate::{Order, StateReply},
};
use fleet::{Errand, Vm};

/// Runs a command about VMs.
pub fn vm(setup: &Setup<'_>, command: VmCommand) -> Result<(), CommandError> {
    match command {
        VmCommand::List => list(setup),
        VmCommand::Drain { vm } => grant(setup, vm, Errand::Drain),
        VmCommand::Release { vm } => grant(setup, vm, Errand::Release),
        VmCommand::Move { vm, pool } => grant(setup, vm, Errand::Move { to: pool }),
        VmCommand::Undrain { vm } => change(setup, &Order::Undo { vm }),
        VmCommand::Forget { vm } => change(setup, &Order::Forget { vm }),
    }
}

fn grant(setup: &Setup<'_>, vm: String, errand: Errand) -> Result<(), CommandError> {
    change(setup, &Order::Errand { vm, errand })
}

fn change(setup: &Setup<'_>, wanted: &Order) -> Result<(), CommandError> {
    let receipt = send_order(setup, wanted)?;
    setup.print(&receipt, |receipt| {
        println!(
            "decided at offset {}; see `havenladder vm list`",
            receipt.offset
        );
    });
    Ok(())
}

fn list(setup: &Setup<'_>) -> Result<(), CommandError> {
    let state: StateReply = setup.client()?.get("/state")?;
    setup.print(&state.vms, |vms| {
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
        Some(grant) => format!("{health}, {} for {:?}", grant.step, grant.errand),
    }
}
