//! Calls of a site's tests, and what they bring.

#![expect(clippy::unwrap_used, reason = "a test stops when its site is broken")]

use super::WAIT_TIMEOUT;
use std::{collections::HashSet, ffi::OsString, fs, thread, time::Duration};

/// What a caller got; all empty when the connection broke.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// Threads of a process.
pub fn thread_count(process: u32) -> usize {
    thread_ids(process).len()
}

/// How many threads of a process live for longer than a look-up of an address does: clients of an entry begin one of 0 to
/// 3 ms for each new connection to others, some ten a second, which have nothing to do with connections of callers.
pub fn long_lived_thread_count(process: u32) -> usize {
    let before = thread_ids(process);
    thread::sleep(MAX_LOOKUP_TIME);
    before.intersection(&thread_ids(process)).count()
}

/// Longer than a thread that looks an address up lives, many times over.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(200);

/// The threads that a process has now.
fn thread_ids(process: u32) -> HashSet<OsString> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).unwrap();
    tasks.map(|task| task.unwrap().file_name()).collect()
}

/// A fresh key.
pub fn new_key() -> String {
    ulid::Ulid::new().to_string()
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .into()
}

pub fn get(url: &str) -> Option<(u16, String)> {
    let mut answer = agent().get(url).call().ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.body_mut().read_to_string().ok()?))
}
