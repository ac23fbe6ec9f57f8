//! `burn`: reports how fast services use up their error budgets.

use super::{CommandError, GlobalOptions, table};
use crate::operate::{BurnReport, BurnRow};
use std::collections::BTreeMap;

/// Width in characters of the bar that shows the remaining error budget.
const BAR_WIDTH: usize = 20;

/// Fetches the burn report from the entry and prints it.
pub fn burn(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let report: BurnReport = options.client()?.get("/burn")?;
    options.print(&report, show);
    Ok(())
}

fn show(report: &BurnReport) {
    let mut headings = vec!["SERVICE", "OBJECTIVE", "GOOD", "REQUESTS"];
    headings.extend(report.windows.iter().map(String::as_str));
    headings.extend(["LEFT", "", "LOST TO"]);
    let mut table = table::table(&headings);
    for (service, row) in &report.services {
        table.add_row(table_row(service, row));
    }
    table::print(&table, "no services");
    for (service, row) in &report.services {
        if let Some(alert) = &row.alert {
            println!("{service} burns {alert}");
        }
    }
    let answered = report.answered.join(", ");
    println!(
        "counted by {answered}, since {}",
        table::relative_time(report.since)
    );
    if !report.silent.is_empty() {
        println!("did not answer, not counted: {}", report.silent.join(", "));
    }
}

fn table_row(service: &str, row: &BurnRow) -> Vec<String> {
    let longest_window = row.cells.last().cloned().unwrap_or_default();
    let total = longest_window.total();
    let good = if total == 0 {
        "-".to_owned()
    } else {
        format!("{:.3} %", 100.0 * longest_window.good as f64 / total as f64)
    };
    let mut cells = vec![
        service.to_owned(),
        format!("{:.2} %", 100.0 * row.objective),
        good,
        total.to_string(),
    ];
    cells.extend(row.rates.iter().map(|rate| format!("{rate:.1}x")));
    cells.push(format!("{:.0} %", 100.0 * row.left));
    cells.push(bar(row.left));
    cells.push(causes(&longest_window.lost));
    cells
}

fn bar(left: f64) -> String {
    let full = (left.clamp(0.0, 1.0) * BAR_WIDTH as f64).round() as usize;
    format!("{}{}", "#".repeat(full), ".".repeat(BAR_WIDTH - full))
}

fn causes(lost: &BTreeMap<protocol::Loss, u64>) -> String {
    if lost.is_empty() {
        return "-".into();
    }
    lost.iter()
        .map(|(loss, count)| format!("{loss:?} {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}
