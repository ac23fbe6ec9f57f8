//! What the users' operators write into the log: configurations and waves of upkeep.

use super::log::Log;
use serde_json::{Value, json};

/// The topic with what operators ask for.
const TOPIC: &str = "keyed.op";

/// The time-out of calls in ms, before the version is added to it: as long as the soak's callers wait.
const TIMEOUT: u64 = 3_000;

/// The latency in ms that the route is meant to have: three times what the soak's jobs are estimated at.
const LATENCY: u64 = 600;

/// How often a task may be started: far more often than the faults of one soak end it.
const ATTEMPTS: u64 = 50;

/// How long an upkeep of a VM takes in seconds, as the wave tells: far longer than the stand-in's VMs are
/// away, so that none counts as overdue.
const UPKEEP: u64 = 20;

/// A workspace of the configuration.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// How many cores it may have running; 0 is no bound.
    pub cores: u64,
}

/// What a configuration says: one route for jobs, the pool that runs them, and the reserve.
#[derive(Clone, Copy, Debug)]
pub struct Config<'c> {
    /// The host under which jobs are handed in.
    pub host: &'c str,
    /// The path under which jobs are handed in.
    pub prefix: &'c str,
    /// The pool whose workers run the jobs.
    pub pool: &'c str,
    /// The pool of VMs that are off.
    pub reserve: &'c str,
    /// The workspaces; none on a deployment without them.
    pub workspaces: Option<&'c [Workspace]>,
}

/// Writes a version of the configuration. The time-out differs with the version, so that each version
/// changes something.
pub fn write_config(log: &Log, version: u64, config: &Config<'_>) {
    let mut text = json!({
        "version": version,
        "routes": [{
            "name": "r-1", "host": config.host, "path-prefix": config.prefix, "type": "unsafe",
            "timeout-ms": TIMEOUT + version, "target-latency-ms": LATENCY, "priority": 0,
            "service": config.pool, "max-attempts": ATTEMPTS, "stretch": 2.0,
        }],
        "services": [
            { "name": config.pool, "admission-check": true, "headroom": false },
            { "name": config.reserve, "admission-check": true, "headroom": true },
        ],
        "limits": {},
    });
    if let Some(workspaces) = config.workspaces {
        text["tenants"] = workspaces.iter().map(row).collect();
    }
    log.put(TOPIC, "config", text.to_string().as_bytes());
}

/// A workspace as operators write it.
fn row(workspace: &Workspace) -> Value {
    json!({
        "name": workspace.name, "api-keys": workspace.keys, "weight": 100,
        "upper-bound": { "cpu": workspace.cores * 1_000, "mem-mb": 0, "gpu": 0 },
    })
}

/// Asks for a data centre to be emptied, or takes it back.
pub fn write_drain(log: &Log, hall: &str, drained: bool) {
    let value: &[u8] = if drained { b"{}" } else { b"" };
    log.put(TOPIC, &format!("evacuate/{hall}"), value);
}

/// Asks for the upkeep of these VMs, one at a time.
pub fn write_wave(log: &Log, wave: u64, vms: &[String]) {
    let text = json!({
        "wave": wave, "machines": vms, "duration-s": UPKEEP, "upper-bound": 1,
    });
    log.put(TOPIC, &format!("wave/{wave}"), text.to_string().as_bytes());
}
