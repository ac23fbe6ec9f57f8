//! What the connections and requests of each listener may hold: shares of the entry's VM. The reasons for the shares are
//! in docs/design/misbehaving-clients.md.

use crate::ended_clients;
use adapter::{operator::CallLimits, settings::Settings};
use ingress::{Budget, Counters, Gate, RequestLimits};
use opentelemetry::metrics::Meter;
use std::{num::NonZeroU32, rc::Rc, time::Duration};

/// Memory that an open connection takes, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// Maximum number of connections for readiness checks, and of those for metrics.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Maximum time from the end of a head to the end of its body. A caller's own time is usually shorter.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time for which a client takes no byte of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time for which a connection between entries is idle. It is much longer than the intervals of their calls,
/// since a call that meets a connection which is just being closed has an unknown outcome.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The gates of an entry's listeners.
pub struct Gates {
    /// Gate of callers.
    pub callers: Rc<Gate>,
    /// Gate of other entries.
    pub peers: Rc<Gate>,
    /// Gate of the readiness checks.
    pub readiness: Rc<Gate>,
    /// Gate of the readers of metrics.
    pub metrics: Rc<Gate>,
}

/// Returns a value that the settings file sets, or another one.
fn set_or(set: Option<NonZeroU32>, other: usize) -> usize {
    set.map_or(other, |set| set.get() as usize)
}

/// Returns a time that the settings file sets in ms, or another one.
fn time_or(set: Option<NonZeroU32>, other: Duration) -> Duration {
    set.map_or(other, |ms| Duration::from_millis(u64::from(ms.get())))
}

/// Returns the limits of a request of a caller.
pub fn caller_limits(settings: &Settings, calls: CallLimits) -> RequestLimits {
    RequestLimits {
        max_head: calls.max_head,
        head_timeout: calls.head_timeout(),
        body_timeout: time_or(settings.ingress.body_timeout_ms, BODY_TIMEOUT),
        idle_timeout: calls.idle_timeout(),
        response_timeout: time_or(settings.ingress.response_timeout_ms, RESPONSE_TIMEOUT),
    }
}

impl Gates {
    /// Creates the gates of an entry.
    pub fn new(settings: &Settings) -> Self {
        let set = &settings.ingress;
        let (memory, sockets) = (settings.memory_bytes, settings.sockets);
        let connections = |share: usize, memory: usize| share.min(memory / CONNECTION_BYTES);
        let callers = Budget {
            connections: set_or(
                set.caller_connections,
                connections(sockets / 4, memory / 16),
            ),
            bytes: set_or(set.caller_bytes, memory / 8),
        };
        let peers = Budget {
            connections: set_or(set.peer_connections, connections(sockets / 3, memory / 8)),
            bytes: set_or(set.peer_bytes, memory / 8),
        };
        let probes = Budget {
            connections: set_or(
                set.probe_connections,
                (sockets / 12).min(MAX_PROBE_CONNECTIONS),
            ),
            bytes: memory / 64,
        };
        let of_callers = caller_limits(settings, CallLimits::default());
        let internal = RequestLimits {
            idle_timeout: time_or(set.internal_idle_timeout_ms, INTERNAL_IDLE_TIMEOUT),
            ..of_callers
        };
        let gate = |name, budget, limits| Gate::new(name, budget, limits, Counters::default());
        Gates {
            callers: gate("callers", callers, of_callers),
            peers: gate("peers", peers, internal),
            readiness: gate("readiness", probes, internal),
            metrics: gate("metrics", probes, internal),
        }
    }

    /// Returns all gates.
    pub fn all(&self) -> [Rc<Gate>; 4] {
        [&self.callers, &self.peers, &self.readiness, &self.metrics].map(Rc::clone)
    }

    /// Exports how many connections and requests were ended, and why.
    pub fn export(&self, meter: &Meter) {
        let gates = self.all();
        let counters = gates.map(|gate| (gate.name(), gate.counters().clone()));
        ended_clients::export(meter, counters.into());
    }
}
