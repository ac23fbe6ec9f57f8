//! Limits of a listener.

use std::time::Duration;

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
