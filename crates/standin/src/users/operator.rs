//! Records that the users' operators write into the log: configurations, drains of data centres and
//! waves of maintenance.

use super::log::Log;
use rand::{SeedableRng, distr::Alphanumeric, distr::SampleString, rngs::StdRng};
use serde_json::{Value, json};

/// The topic for operators' records.
const TOPIC: &str = "keyed.op";

/// The timeout of calls in milliseconds, to which the version is added. It equals the time for
/// which the soak's callers wait.
const BASE_TIMEOUT_MS: u64 = 3_000;

/// The target latency of the route in milliseconds: three times the estimated run time of the
/// soak's tasks.
const TARGET_LATENCY_MS: u64 = 600;

/// The maximum number of starts of a task: far more than the faults of one soak can interrupt.
const MAX_ATTEMPTS: u64 = 50;

/// The announced duration of a VM's maintenance in seconds: far longer than the stand-in's VMs are
/// away, so that none counts as overdue.
const MAINTENANCE_SECONDS: u64 = 20;

/// A workspace of the configuration.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of the workspace.
    pub keys: Vec<String>,
    /// Maximum number of cores that its running tasks may use; 0 means unlimited.
    pub cores: u64,
}

/// A configuration with one route for jobs, idle routes, the pool that runs the jobs, and the reserve.
#[derive(Clone, Copy, Debug)]
pub struct Config<'c> {
    /// Host to which jobs are submitted.
    pub host: &'c str,
    /// Path prefix under which jobs are submitted.
    pub prefix: &'c str,
    /// Pool whose workers run the jobs.
    pub pool: &'c str,
    /// Pool of VMs that are switched off.
    pub reserve: &'c str,
    /// Workspaces; `None` for a deployment without workspaces.
    pub workspaces: Option<&'c [Workspace]>,
    /// Number of further routes, which make the configuration large.
    pub idle_routes: usize,
}

/// The length of the random texts of an idle route, which make it as large as a real one even when compressed.
const IDLE_TEXT_LENGTH: usize = 40;

/// Returns the host and the path prefix of an idle route.
pub fn idle_route(number: usize) -> (String, String) {
    let mut rng = StdRng::seed_from_u64(number as u64);
    let mut text = || Alphanumeric.sample_string(&mut rng, IDLE_TEXT_LENGTH);
    (format!("{}.example", text()), format!("/{}/", text()))
}

/// Writes a version of the configuration. The timeout depends on the version, so that each version
/// changes something.
pub fn write_config(log: &Log, version: u64, config: &Config<'_>) {
    let route = |name: &str, host: &str, prefix: &str| {
        json!({
            "name": name, "host": host, "path-prefix": prefix, "type": "unsafe",
            "timeout-ms": BASE_TIMEOUT_MS + version, "target-latency-ms": TARGET_LATENCY_MS,
            "priority": 0, "service": config.pool, "max-attempts": MAX_ATTEMPTS, "stretch": 2.0,
        })
    };
    let idle_routes = (0..config.idle_routes).map(|number| {
        let (host, prefix) = idle_route(number);
        route(&format!("idle-{number}"), &host, &prefix)
    });
    let routes: Vec<Value> = [route("r-1", config.host, config.prefix)]
        .into_iter()
        .chain(idle_routes)
        .collect();
    let mut text = json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": config.pool, "admission-check": true, "headroom": false },
            { "name": config.reserve, "admission-check": true, "headroom": true },
        ],
        "limits": {},
    });
    if let Some(workspaces) = config.workspaces {
        text["tenants"] = workspaces.iter().map(workspace_row).collect();
    }
    log.put(TOPIC, "config", text.to_string().as_bytes());
}

/// Returns a workspace in the form that operators write.
fn workspace_row(workspace: &Workspace) -> Value {
    json!({
        "name": workspace.name, "api-keys": workspace.keys, "weight": 100,
        "upper-bound": { "cpu": workspace.cores * 1_000, "mem-mb": 0, "gpu": 0 },
    })
}

/// Requests that a data centre be drained, or withdraws the request.
pub fn write_drain(log: &Log, hall: &str, drained: bool) {
    let value: &[u8] = if drained { b"{}" } else { b"" };
    log.put(TOPIC, &format!("evacuate/{hall}"), value);
}

/// Requests the maintenance of these VMs, one at a time.
pub fn write_wave(log: &Log, wave: u64, vms: &[String]) {
    let text = json!({
        "wave": wave, "machines": vms, "duration-s": MAINTENANCE_SECONDS, "upper-bound": 1,
    });
    log.put(TOPIC, &format!("wave/{wave}"), text.to_string().as_bytes());
}
