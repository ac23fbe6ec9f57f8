//! Entries as processes of their own against the stand-ins of the users' machines, for tests.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_soak::{Plan, site::Site};
use std::{path::PathBuf, time::Duration};

/// Starts three entries, the first and the last in one data centre, and so many VMs; the logs lie under `name`.
pub async fn start(name: &str, seed: u64, vms: usize) -> Site {
    let plan = Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_havenladder")),
        seed,
        span: Duration::ZERO,
        entries: 3,
        vms,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{seed}")),
    };
    Site::start(&plan).await.unwrap()
}

/// Runs a test to its end.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}
