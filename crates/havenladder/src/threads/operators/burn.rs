//! Burn report: the sum of the counts of all entries that respond.

use crate::{
    client::PeerClient,
    context::Context,
    operate::{BurnReport, BurnRow},
    threads::peers,
};
use protocol::{BurnCounts, BurnReply, BurnWindows, ServiceId};
use serving::{WINDOWS, burn_rate};
use settings::Service;
use std::collections::BTreeMap;

/// Burn rate over both five minutes and one hour that requires attention at once.
const FAST_RATE: f64 = 14.4;

/// Burn rate over both half an hour and six hours that requires attention on the same day.
const SLOW_RATE: f64 = 6.0;

/// Collects the counts of all entries and sums them.
pub fn report(ctx: &Context) -> BurnReport {
    let client = PeerClient::new(&ctx.config.peers.key);
    let mut replies = vec![peers::burn(ctx)];
    let mut silent = Vec::new();
    for neighbour in &ctx.config.peers.neighbours {
        match client.burn(&neighbour.peers.to_string()) {
            Some(reply) => replies.push(reply),
            None => silent.push(neighbour.entry.clone()),
        }
    }
    let services = ctx.services.load();
    BurnReport {
        windows: WINDOWS.iter().map(|window| window.name.into()).collect(),
        since: replies
            .iter()
            .map(|reply| reply.since)
            .max()
            .unwrap_or(ctx.started_at),
        services: rows(&sums(&replies), &services),
        answered: replies.into_iter().map(|reply| reply.entry).collect(),
        silent,
    }
}

fn sums(replies: &[BurnReply]) -> BTreeMap<ServiceId, Vec<BurnCounts>> {
    let mut sums: BTreeMap<ServiceId, Vec<BurnCounts>> = BTreeMap::new();
    for (service, sum) in replies.iter().flat_map(|reply| &reply.services) {
        let cells = sums
            .entry(service.clone())
            .or_insert_with(|| vec![BurnCounts::default(); WINDOWS.len()]);
        add(cells, sum);
    }
    sums
}

fn add(cells: &mut [BurnCounts], sum: &BurnWindows) {
    for (cell, other) in cells.iter_mut().zip(&sum.windows) {
        cell.add(other);
    }
}

fn rows(
    sums: &BTreeMap<ServiceId, Vec<BurnCounts>>,
    services: &BTreeMap<ServiceId, Service>,
) -> BTreeMap<ServiceId, BurnRow> {
    services
        .iter()
        .map(|(name, service)| {
            let cells = sums.get(name).cloned();
            let cells = cells.unwrap_or_else(|| vec![BurnCounts::default(); WINDOWS.len()]);
            (name.clone(), row(cells, service.objective))
        })
        .collect()
}

fn row(cells: Vec<BurnCounts>, objective: f64) -> BurnRow {
    let rates: Vec<f64> = cells
        .iter()
        .map(|cell| burn_rate(cell, objective))
        .collect();
    let longest_window = rates.last().copied().unwrap_or_default();
    BurnRow {
        objective,
        left: 1.0 - longest_window,
        alert: alert(&rates),
        rates,
        cells,
    }
}

/// Returns an alert if a short and a long window both burn too fast. A short window alone may be a
/// brief spike, and a long window alone may reflect a fault that is already over.
fn alert(rates: &[f64]) -> Option<String> {
    let &[five, thirty, hour, six] = rates else {
        return None;
    };
    if five >= FAST_RATE && hour >= FAST_RATE {
        return Some("fast: the budget of a month would be gone in two days".into());
    }
    if thirty >= SLOW_RATE && six >= SLOW_RATE {
        return Some("slow: the budget of a month would be gone in five days".into());
    }
    None
}
