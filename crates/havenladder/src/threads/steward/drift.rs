//! VMs whose state on the platform differs from the agreed state without a grant that explains it.

use super::view;
use crate::context::Context;
use fleet::{Vm, token_without_grant};
use platform::{CallError, VmCall, VmInfo, Vms};
use protocol::{EntryId, HallId, VmId};
use std::collections::BTreeMap;

/// Returns the VMs without a grant for which this entry is responsible and whose state on the
/// platform differs from the agreed state: they are drained, or assigned to another pool.
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

/// Undrains a VM that should not be drained, and assigns it to its pool. The token is derived from
/// the VM's version, so that calls of a newer grant take precedence.
pub fn correct(ctx: &Context, id: &str, vm: &Vm) {
    let Ok(Some(info)) = ctx.platform.fetch(id) else {
        return;
    };
    if !has_drifted(&info, vm) {
        return;
    }
    let (token, pool) = (token_without_grant(vm), vm.pool.clone());
    match ctx.platform.call(id, &VmCall::Assign { token, pool }) {
        Ok(()) => tracing::info!(
            vm = id,
            token,
            pool = vm.pool,
            "reassigned the VM to its pool"
        ),
        Err(CallError::Refused(_)) => {}
        Err(error) => tracing::warn!(vm = id, %error, "could not reassign the VM to its pool"),
    }
}
