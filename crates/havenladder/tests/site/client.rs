//! Sends HTTP requests for the tests of a site, and counts the threads of processes.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails when its site cannot be used"
)]

use super::WAIT_TIMEOUT;
use std::{collections::HashSet, ffi::OsString, fs, thread, time::Duration};

/// A response as its caller received it; every field is zero or empty if the connection broke.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// Returns the number of threads of a process.
pub fn thread_count(process: u32) -> usize {
    thread_ids(process).len()
}

/// Counts the threads of a process that live longer than an address lookup. For each new connection to another
/// process, an entry starts a lookup thread that lives for 0 to 3 ms, about ten of them a second; these threads
/// have nothing to do with the connections of callers.
pub fn long_lived_thread_count(process: u32) -> usize {
    let before = thread_ids(process);
    thread::sleep(MAX_LOOKUP_TIME);
    before.intersection(&thread_ids(process)).count()
}

/// Time by which a thread that looks up an address has ended; many times the 3 ms that it takes.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(200);

/// Returns the ids of the current threads of a process.
fn thread_ids(process: u32) -> HashSet<OsString> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).unwrap();
    tasks.map(|task| task.unwrap().file_name()).collect()
}

/// Returns a new, unique idempotency key.
pub fn new_key() -> String {
    ulid::Ulid::new().to_string()
}

/// Returns an HTTP client that hands out responses of every status and times out after `WAIT_TIMEOUT`.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .into()
}

/// Sends a GET request and returns the status and body of the response, or nothing if the request failed.
pub fn get(url: &str) -> Option<(u16, String)> {
    let mut response = agent().get(url).call().ok()?;
    let status = response.status().as_u16();
    Some((status, response.body_mut().read_to_string().ok()?))
}
