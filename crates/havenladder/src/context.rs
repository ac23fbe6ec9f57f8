//! State that all threads of the process share.

use crate::{
    configs::Config,
    fleet_cell::FleetCell,
    local_observations::LocalObservations,
    metrics::Metrics,
    peer_table::PeerTable,
    recent::RecentRequests,
    sync::lock,
    threads::{claims::ClaimsSender, placement::PlacementSender},
};
use arc_swap::ArcSwap;
use ingress::Counters;
use platform::{HttpPlatform, VmInfo};
use protocol::{Capacity, PeerStatus, ServiceId};
use serving::Burn;
use settings::Service;
use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::SystemTime,
};

/// Shared state of an entry's threads, created once at the start.
pub struct Context {
    /// Settings of this process.
    pub config: Config,
    /// Client of the platform.
    pub platform: HttpPlatform,
    /// Agreed state, built from the log.
    pub fleet: FleetCell,
    /// Resolved settings of all services in force.
    pub services: ArcSwap<BTreeMap<ServiceId, Service>>,
    /// Latest status of each peer.
    pub peers: PeerTable,
    /// Results of this entry's own probes of its workers.
    pub observations: LocalObservations,
    /// Latest list of VMs from the platform.
    pub listed_vms: ArcSwap<Vec<VmInfo>>,
    /// Sender of messages to the placement thread.
    pub placement: PlacementSender,
    /// Sender of messages to the claims threads.
    pub claims: ClaimsSender,
    /// Free and taken capacity for each service in this data centre.
    pub capacities: Mutex<BTreeMap<ServiceId, Capacity>>,
    /// Outcomes of the newest requests.
    pub recent: RecentRequests,
    /// Counts for the burn report.
    pub burn: Mutex<Burn>,
    /// Time at which this process started.
    pub started_at: SystemTime,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Number of whole requests without an outcome.
    pub in_progress: AtomicUsize,
    /// Counts of the connections and requests of callers that were ended.
    pub caller_endings: Counters,
    /// The same of operators.
    pub operator_endings: Counters,
    /// The same of peers.
    pub peer_endings: Counters,
    /// Number of settlements of claims that are not in the log yet.
    pub unsettled: AtomicUsize,
    /// Whether the last attempt to reach the log succeeded.
    pub reaches_log: AtomicBool,
    /// Whether the process is shutting down.
    pub leaving: AtomicBool,
}

impl Context {
    /// Returns whether the process accepts requests.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_loaded() && !self.is_leaving()
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the last attempt to reach the log succeeded.
    pub fn reaches_log(&self) -> bool {
        self.reaches_log.load(Ordering::Relaxed)
    }

    /// Returns the status that this entry reports to its peers.
    pub fn status(&self) -> PeerStatus {
        PeerStatus {
            entry: self.config.entry.name.clone(),
            hall: self.config.entry.hall.clone(),
            next: self.fleet.get().next,
            reaches_platform: self.reaches_log(),
            leaving: self.is_leaving(),
            capacity: lock(&self.capacities).clone(),
        }
    }
}
