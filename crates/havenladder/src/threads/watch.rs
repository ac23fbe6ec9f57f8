//! Thread that observes the workers of the data centre and the platform's list of VMs.
//!
//! Observations affect this entry's own placement at once. Only changes are proposed to the agreed
//! state, many in one record, and for each VM only by the first entry of its data centre by rank.

mod report;

use crate::{
    context::Context,
    propose::propose,
    threads::{follow::publish, placement::Message, runtime},
};
use bytes::Bytes;
use fleet::{Change, Vm};
use http_body_util::Empty;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform::{
    VmInfo, VmLifecycle, Vms,
    task::{USAGE, Usage},
};
use protocol::{HallId, VmId, ranked};
use serving::Event;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

/// Maximum size of a worker's usage report, in bytes.
const MAX_USAGE_BYTES: usize = 4 << 10;

/// Maximum number of idle connections per worker that are kept for probes. It is zero, since each
/// connection would hold buffers.
const MAX_IDLE_CONNECTIONS: usize = 0;

type ProbeClient = Client<HttpConnector, Empty<Bytes>>;

/// VM to probe and the address of its worker.
type Target = (VmId, String);

/// Result of one probe.
struct ProbeResult {
    vm: VmId,
    usage: Option<Usage>,
}

/// Observes workers until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn watch(ctx: &Arc<Context>) {
    let runtime = runtime().expect("the system provides an event queue");
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(ctx.config.watch.patience));
    let client: ProbeClient = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector);
    let mut next_index = 0;
    loop {
        let next = Instant::now() + ctx.config.watch.interval;
        if ctx.fleet.is_loaded() {
            let targets = targets(ctx, &mut next_index);
            round(ctx, &runtime, &client, targets);
        }
        runtime.block_on(async { sleep_until(next).await });
    }
}

fn round(ctx: &Context, runtime: &Runtime, client: &ProbeClient, targets: Vec<Target>) {
    let before = ctx.observations.unusable();
    let patience = ctx.config.watch.patience;
    let probed = runtime.block_on(probe_all(client, targets, patience));
    let listed = list_vms(ctx);
    if let Some(listed) = &listed {
        record_leaving(ctx, listed);
    }
    record_probes(ctx, &probed);
    if ctx.observations.unusable() != before {
        publish(ctx);
    }
    // Without the list, a VM that is down cannot be distinguished from one that this entry merely cannot
    // reach together with the platform.
    let Some(listed) = listed else {
        return;
    };
    ctx.listed_vms.store(Arc::new(listed.clone()));
    let boots: BTreeMap<VmId, u64> = probed
        .iter()
        .filter_map(|probed| Some((probed.vm.clone(), probed.usage.as_ref()?.boot)))
        .collect();
    let seen = report::changes(ctx, &listed, &ctx.observations.all(), &boots);
    if !seen.is_empty() {
        tracing::info!(?seen, "observed");
        if let Err(error) = propose(ctx, vec![Change::Observe(seen)]) {
            tracing::warn!(%error, "could not record the observations");
        }
    }
}

/// Returns the platform's list of VMs of this data centre, and of those data centres without a live
/// entry for which this entry is responsible.
fn list_vms(ctx: &Context) -> Option<Vec<VmInfo>> {
    let mut listed = ctx.platform.list(&ctx.config.entry.hall).ok()?;
    for hall in orphaned_halls(ctx) {
        listed.extend(ctx.platform.list(&hall).ok()?);
    }
    Some(listed)
}

fn orphaned_halls(ctx: &Context) -> BTreeSet<HallId> {
    let members = ctx.peers.members(&ctx.config, true);
    let live: BTreeSet<&HallId> = members.values().collect();
    let is_responsible = |hall: &HallId| {
        let names = members.keys().map(String::as_str);
        ranked(names, hall).first() == Some(&ctx.config.entry.name.as_str())
    };
    let fleet = ctx.fleet.get();
    let halls: BTreeSet<&HallId> = fleet.vms.values().map(|vm| &vm.hall).collect();
    halls
        .into_iter()
        .filter(|hall| !live.contains(hall) && is_responsible(hall))
        .cloned()
        .collect()
}

/// Returns the VMs to probe in this round: all VMs whose last probe failed, and others in rotation
/// as far as the limit allows.
fn targets(ctx: &Context, next_index: &mut usize) -> Vec<Target> {
    let unanswered = ctx.observations.unanswered();
    let known: Vec<Target> = {
        let fleet = ctx.fleet.get();
        let in_hall = |vm: &Vm| vm.hall == ctx.config.entry.hall;
        let vms = fleet.vms.iter().filter(|(_, vm)| in_hall(vm));
        vms.map(|(id, vm)| (id.clone(), vm.addr.clone())).collect()
    };
    ctx.observations
        .retain(&known.iter().map(|(id, _)| id.clone()).collect());
    let rounds_per_second = 1.0 / ctx.config.watch.interval.as_secs_f64();
    let max_probes = (ctx.config.watch.probes as f64 / rounds_per_second).ceil() as usize;
    let (first, others): (Vec<Target>, Vec<Target>) = known
        .into_iter()
        .partition(|(id, _)| unanswered.contains(id));
    let count = max_probes
        .saturating_sub(first.len())
        .clamp(1, others.len().max(1));
    let start = *next_index;
    *next_index = start.wrapping_add(count);
    let batch = others
        .iter()
        .cycle()
        .skip(start % others.len().max(1))
        .take(count.min(others.len()));
    let batch: Vec<Target> = batch.cloned().collect();
    first.into_iter().chain(batch).collect()
}

async fn probe_all(
    client: &ProbeClient,
    targets: Vec<Target>,
    patience: Duration,
) -> Vec<ProbeResult> {
    let mut probes = JoinSet::new();
    for (vm, addr) in targets {
        let client = client.clone();
        probes.spawn(async move {
            let usage = timeout(patience, poll_usage(&client, &addr)).await;
            ProbeResult {
                vm,
                usage: usage.ok().flatten(),
            }
        });
    }
    probes.join_all().await
}

async fn poll_usage(client: &ProbeClient, addr: &str) -> Option<Usage> {
    let uri = format!("http://{addr}{USAGE}").parse().ok()?;
    let mut response = client.get(uri).await.ok()?;
    let body = ingress::collect(response.body_mut(), MAX_USAGE_BYTES).await;
    serde_json::from_slice(&body.ok()?).ok()
}

fn record_leaving(ctx: &Context, listed: &[VmInfo]) {
    let leaving: BTreeSet<VmId> = listed
        .iter()
        .filter(|vm| vm.hall == ctx.config.entry.hall && vm.state == VmLifecycle::Leaving)
        .map(|vm| vm.id.clone())
        .collect();
    ctx.observations.set_leaving(&leaving);
}

fn record_probes(ctx: &Context, probed: &[ProbeResult]) {
    for probed in probed {
        if let Some(usage) = &probed.usage {
            let event = Event::Usage(probed.vm.clone(), usage.running);
            ctx.placement.notify(Message::Event(event));
        }
        ctx.observations
            .record_probe(&probed.vm, probed.usage.is_some());
    }
}
