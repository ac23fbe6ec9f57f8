//! `pool list`: lists pools with their sizes, budgets and unavailable slots.

use super::{CommandError, GlobalOptions, table};
use crate::operate::StateReply;
use serde::Serialize;
use settings::Service;

/// One row of the list.
#[derive(Serialize)]
struct Row {
    pool: String,
    asked: Option<u32>,
    vms: u32,
    slots: u32,
    unavailable: u32,
    budget: Option<u32>,
    tightest: Option<String>,
}

/// Lists the pools.
pub fn pool(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let state: StateReply = options.client()?.get("/state")?;
    let rows = rows(&state);
    options.print(&rows, |rows| {
        let headings = [
            "POOL",
            "VMS",
            "ASKED",
            "SLOTS",
            "UNAVAILABLE",
            "BUDGET",
            "SET BY",
        ];
        let mut table = table::table(&headings);
        for row in rows {
            table.add_row([
                row.pool.clone(),
                row.vms.to_string(),
                or_dash(row.asked),
                row.slots.to_string(),
                row.unavailable.to_string(),
                or_dash(row.budget),
                row.tightest.clone().unwrap_or_else(|| "-".into()),
            ]);
        }
        table::print(&table, "no pools");
    });
    Ok(())
}

fn rows(state: &StateReply) -> Vec<Row> {
    let mut pools: Vec<&String> = state.tree.pools().chain(state.counts.keys()).collect();
    pools.sort();
    pools.dedup();
    pools.into_iter().map(|pool| row(state, pool)).collect()
}

fn row(state: &StateReply, pool: &str) -> Row {
    let count = state.counts.get(pool).copied().unwrap_or_default();
    let budgets = state.tree.services_of(pool).map(|service| {
        let budget = Service::resolve(&state.tree, service).unavailable;
        (budget.slots(count.slots), service)
    });
    let tightest = budgets.min();
    Row {
        pool: pool.to_owned(),
        asked: state.tree.nodes.get(pool).and_then(|node| node.vms),
        vms: count.vms,
        slots: count.slots,
        unavailable: count.unavailable,
        budget: tightest.map(|(budget, _)| budget),
        tightest: tightest.map(|(_, service)| service.clone()),
    }
}

fn or_dash(number: Option<u32>) -> String {
    number.map_or_else(|| "-".into(), |number| number.to_string())
}
