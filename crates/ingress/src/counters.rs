//! Counts why connections and requests were ended.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

/// Reason why a connection was closed or a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing was sent for too long.
    Idle,
    /// The head was not complete in time.
    LateHead,
    /// The body was not complete in time.
    LateBody,
    /// The client did not take the response.
    LateResponse,
    /// The connection waited longest when a new one came and the budget was used up.
    Connections,
    /// The request was not complete when others needed its bytes.
    Bytes,
    /// The process had no descriptor left, and the connection waited longest, if any did.
    Descriptors,
    /// The budget was used up by connections whose requests are being answered.
    Full,
    /// The request was complete, but others that are being answered held the bytes that it needs.
    Overload,
    /// The request was not complete when the process stopped.
    Stop,
}

impl Ending {
    /// All reasons.
    pub const ALL: [Ending; 10] = [
        Ending::Idle,
        Ending::LateHead,
        Ending::LateBody,
        Ending::LateResponse,
        Ending::Connections,
        Ending::Bytes,
        Ending::Descriptors,
        Ending::Full,
        Ending::Overload,
        Ending::Stop,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ending::Idle => "idle",
            Ending::LateHead => "late-head",
            Ending::LateBody => "late-body",
            Ending::LateResponse => "late-response",
            Ending::Connections => "connections",
            Ending::Bytes => "bytes",
            Ending::Descriptors => "descriptors",
            Ending::Full => "full",
            Ending::Overload => "overload",
            Ending::Stop => "stop",
        }
    }
}

/// Counts of one listener; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters(Arc<[AtomicU64; Ending::ALL.len()]>);

impl Counters {
    /// Counts an ending.
    pub fn count(&self, ending: Ending) {
        self.0[ending as usize].fetch_add(1, Relaxed);
    }

    /// Returns how often each reason has occurred.
    pub fn all(&self) -> [(Ending, u64); Ending::ALL.len()] {
        Ending::ALL.map(|ending| (ending, self.0[ending as usize].load(Relaxed)))
    }
}
