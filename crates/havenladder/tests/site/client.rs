//! Calls of a site's tests, and what they bring.

#![expect(clippy::unwrap_used, reason = "a test stops when its site is broken")]

use super::LIMIT;
use std::fs;

/// What a caller got; all empty when the connection broke.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub back: Option<String>,
    pub body: String,
}

/// Threads of a process.
pub fn threads_of(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/task"))
        .unwrap()
        .count()
}

/// A fresh key.
pub fn key() -> String {
    ulid::Ulid::new().to_string()
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(LIMIT))
        .build()
        .into()
}

pub fn get(url: &str) -> Option<(u16, String)> {
    let mut answer = agent().get(url).call().ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.body_mut().read_to_string().ok()?))
}
