//! VMs that the platform shows otherwise than the agreed state has them, and no grant says why.

use super::view;
use crate::context::Context;
use fleet::{Vm, free_token};
use platform::{CallError, VmCall, VmInfo, Vms};
use protocol::{EntryId, HallId, VmId};
use std::collections::BTreeMap;

/// VMs without an errand that fall to this entry and that the platform shows otherwise than the
/// agreed state has them: drained, or serving another pool.
pub fn drifted_vms(ctx: &Context, members: &BTreeMap<EntryId, HallId>) -> Vec<(VmId, Vm)> {
    let view = view(ctx, members);
    let fleet = ctx.fleet.get();
    ctx.listed_vms
        .load()
        .iter()
        .filter(|info| info.hall == ctx.config.entry.hall)
        .filter_map(|info| Some((info, fleet.vms.get(&info.id)?)))
        .filter(|(info, vm)| vm.grant.is_none() && has_drifted(info, vm))
        .filter(|(info, vm)| view.holder(&info.id, vm).as_deref() == Some(view.entry))
        .map(|(info, vm)| (info.id.clone(), vm.clone()))
        .collect()
}

fn has_drifted(info: &VmInfo, vm: &Vm) -> bool {
    info.drained || info.pool != vm.pool
}

/// Ends a drain that nothing asks for any more, and tells a worker which pool it serves. The
/// token is the VM's version, so that a newer grant's calls win over this one.
pub fn correct(ctx: &Context, id: &str, vm: &Vm) {
    let Ok(Some(info)) = ctx.platform.look(id) else {
        return;
    };
    if !has_drifted(&info, vm) {
        return;
    }
    let (token, pool) = (free_token(vm), vm.pool.clone());
    match ctx.platform.call(id, &VmCall::Assign { token, pool }) {
        Ok(()) => tracing::info!(
            vm = id,
            token,
            pool = vm.pool,
            "put the VM at its pool's service"
        ),
        Err(CallError::Refused(_)) => {}
        Err(error) => tracing::warn!(vm = id, %error, "could not put the VM at service"),
    }
}
