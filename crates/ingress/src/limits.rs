//! Limits of a listener.

use rustix::process::{Resource, getrlimit};
use std::time::Duration;

/// Bytes of a caller that the kernel keeps unread at most.
pub const CALLER_RECEIVE_BUFFER: usize = 64 << 10;

/// Bytes of another entry, an operator or a prober that the kernel keeps unread at most.
pub const INTERNAL_RECEIVE_BUFFER: usize = 32 << 10;

/// Returns how many descriptors the system lets this process open.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| limit as usize)
}

/// What the connections of a listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of bytes that requests hold, from their first byte to their response.
    pub bytes: usize,
}

/// Limits of a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a head in bytes.
    pub max_head: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Maximum time from the end of a head to the end of its body.
    pub body_timeout: Duration,
    /// Maximum time for which a connection is open without a request.
    pub idle_timeout: Duration,
    /// Maximum time for which the client takes no byte of a response.
    pub response_timeout: Duration,
}
