//! Explains whether a VM may be drained now, which settings apply to a level, and how a request
//! ended.

use crate::{context::Context, operate::Explanation, sync::lock};
use fleet::{Fleet, Health, Vm, tightest_budget};
use settings::{nearest, sources};

/// Explains a VM, a level of the settings or a recent request. Returns `None` if `subject` names
/// none of them.
pub fn explain(ctx: &Context, subject: &str) -> Option<Explanation> {
    let fleet = ctx.fleet.get();
    let lines = if let Some(vm) = fleet.vms.get(subject) {
        vm_lines(&fleet, subject, vm)
    } else if fleet.tree.nodes.contains_key(subject) {
        level_lines(ctx, &fleet, subject)
    } else {
        let trace = ctx.recent.find(subject)?;
        vec![
            format!("request of {}", trace.service),
            format!("outcome: {}", trace.outcome),
            trace.detail,
        ]
    };
    let is_level = fleet.tree.nodes.contains_key(subject);
    Some(Explanation {
        subject: subject.to_owned(),
        lines,
        sources: if is_level {
            sources(&fleet.tree, subject)
        } else {
            Vec::new()
        },
    })
}

/// Returns the known name of a VM or level that is most similar to `subject`.
pub fn suggestion(ctx: &Context, subject: &str) -> Option<String> {
    let fleet = ctx.fleet.get();
    let names = fleet.vms.keys().chain(fleet.tree.nodes.keys());
    nearest(subject, names.map(String::as_str)).map(str::to_owned)
}

fn vm_lines(fleet: &Fleet, id: &str, vm: &Vm) -> Vec<String> {
    let mut lines = vec![
        format!("pool {}, hall {}, rack {}", vm.pool, vm.hall, vm.rack),
        format!(
            "{} slots, {} boots, version {}",
            vm.slots, vm.boot, vm.version
        ),
        format!("health: {}", health(vm.health)),
    ];
    if let Some(grant) = &vm.grant {
        let step = grant.step;
        lines.push(format!(
            "out of service by grant {} for {:?}, {step}, held by {}",
            grant.id, grant.purpose, grant.holder
        ));
        return lines;
    }
    lines.push(match fleet.over_budget(vm) {
        None => format!("{id} may be taken out of service now"),
        Some(reason) => format!("{id} may not be taken out of service now: {reason}"),
    });
    if let Some(hold) = tightest_budget(fleet, &vm.pool) {
        let source = sources(&fleet.tree, &hold.service)
            .into_iter()
            .find(|source| source.key == settings::Key::Unavailable);
        let level = source.and_then(|source| source.level);
        lines.push(format!(
            "the tightest budget is {} slots, of {}, set at {}",
            hold.budget,
            hold.service,
            level.as_deref().unwrap_or("no level (default)")
        ));
    }
    lines
}

fn health(health: Health) -> &'static str {
    match health {
        Health::Up => "up",
        Health::Leaving => "leaving: the platform will take it away",
        Health::Down => "down or suspected to be",
        Health::Gone => "gone: charged until it is replaced or forgotten",
    }
}

fn level_lines(ctx: &Context, fleet: &Fleet, path: &str) -> Vec<String> {
    let mut lines = Vec::new();
    if let Some(mark) = fleet.versions.get(path) {
        lines.push(format!(
            "last changed at offset {} by {}",
            mark.offset, mark.by
        ));
    }
    let pool = settings::pool_of(path);
    let pool = if fleet.counts.contains_key(path) {
        path
    } else {
        pool
    };
    if let Some(count) = fleet.counts.get(pool) {
        lines.push(format!(
            "pool {pool}: {} VMs, {} slots, {} unavailable, {} VMs asked for",
            count.vms,
            count.slots,
            count.unavailable,
            fleet.desired(pool)
        ));
    }
    if let Some(hold) = tightest_budget(fleet, pool) {
        lines.push(format!(
            "the pool's tightest budget is {} slots, of {}",
            hold.budget, hold.service
        ));
    }
    if let Some(room) = lock(&ctx.capacities).get(path) {
        lines.push(format!(
            "in this hall: {} slots take new work, {} of them taken",
            room.slots, room.taken
        ));
    }
    lines
}
