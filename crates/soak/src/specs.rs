//! The jobs that callers submit.

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};
use standin::users::worker::{ENDS_WORKER, SMALL};
use std::ops::RangeInclusive;

/// The number of tasks of a job of many small tasks. They fit on one worker, which lists 500 of their ends at once.
const BURST_TASKS: u32 = 700;

/// The run time of a small task, in ms: long enough for a fault to fall between the first start and the last end.
const BURST_RUN_MS: u64 = 3_000;

/// The number of long-running tasks that require a label which no worker has.
const MISFIT_TASKS: u32 = 40;

/// The run time of a long task, in ms: from longer than a usual lease to longer than the longest one.
pub const LONG_RUN_MS: RangeInclusive<u64> = 5_000..=20_000;

/// Returns a step of `count` tasks.
fn step(count: u32) -> Value {
    json!({ "count": count, "cpu": 1_000, "mem-mb": 100, "estimated-ms": 200 })
}

/// Returns a job of two steps with 1 to 3 tasks each.
pub(crate) fn two_step_job(rng: &mut StdRng) -> String {
    let (first, mut second) = (step(rng.random_range(1..4)), step(rng.random_range(1..4)));
    second["after"] = json!([0]);
    let run_time = rng.random_range(20..600).to_string();
    json!({ "spec": run_time, "steps": [first, second] }).to_string()
}

/// Returns a job of 1 to 4 long tasks.
pub(crate) fn long_job(rng: &mut StdRng) -> String {
    let run_ms = rng.random_range(LONG_RUN_MS);
    let mut only = step(rng.random_range(1..5));
    only["estimated-ms"] = json!(run_ms);
    json!({ "spec": run_ms.to_string(), "steps": [only] }).to_string()
}

/// Returns a job of one task that ends each worker that starts it.
pub(crate) fn fatal_job() -> String {
    json!({ "spec": ENDS_WORKER, "steps": [step(1)] }).to_string()
}

/// Returns a job of many small tasks that end at about the same time.
pub(crate) fn burst_job() -> String {
    let spec = format!("{SMALL}{BURST_RUN_MS}");
    let step = json!({
        "count": BURST_TASKS, "cpu": 10, "mem-mb": 10, "estimated-ms": BURST_RUN_MS,
    });
    json!({ "spec": spec, "steps": [step] }).to_string()
}

/// Returns a job of long-running tasks that fit nowhere.
pub(crate) fn misfit_job() -> String {
    let step = json!({
        "count": MISFIT_TASKS, "cpu": 1_000, "mem-mb": 100, "long-running": true, "requirements": "none",
    });
    json!({ "spec": "misfits", "steps": [step] }).to_string()
}
