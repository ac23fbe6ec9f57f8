//! The one value that is made at the start and handed to every duty.

use crate::{
    configs::Config,
    fleet_cell::FleetCell,
    local_observations::LocalObservations,
    metrics::Metrics,
    peer_table::PeerTable,
    recent::Recent,
    sync::lock,
    threads::{claims::ClaimsSender, placement::PlacementSender},
};
use arc_swap::ArcSwap;
use platform::{HttpPlatform, VmInfo};
use protocol::{Room, ServiceId, Status};
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

/// Everything that duties share.
pub struct Context {
    /// The process's own settings.
    pub config: Config,
    /// The platform.
    pub platform: HttpPlatform,
    /// The agreed state.
    pub fleet: FleetCell,
    /// The services in force, resolved.
    pub services: ArcSwap<BTreeMap<ServiceId, Service>>,
    /// The peers.
    pub peers: PeerTable,
    /// What this entry sees of its workers.
    pub observations: LocalObservations,
    /// The platform's list of VMs as it was read last.
    pub listed_vms: ArcSwap<Vec<VmInfo>>,
    /// The way to the duty that places requests.
    pub placement: PlacementSender,
    /// The way to the duty that claims keys.
    pub claims: ClaimsSender,
    /// Room for each service in this hall.
    pub capacities: Mutex<BTreeMap<ServiceId, Room>>,
    /// What became of the newest requests.
    pub recent: Recent,
    /// Counts for the burn report.
    pub burn: Mutex<Burn>,
    /// When this process began.
    pub started_at: SystemTime,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests that have no outcome yet.
    pub in_progress: AtomicUsize,
    /// Bytes of their bodies.
    pub in_progress_bytes: AtomicUsize,
    /// Claims and settlements that are not in the log yet.
    pub unsettled: AtomicUsize,
    /// Whether the log was reached lately.
    pub reaches_log: AtomicBool,
    /// Whether the process is about to stop.
    pub leaving: AtomicBool,
}

impl Context {
    /// Tells whether the process takes requests.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_loaded() && !self.is_leaving()
    }

    /// Tells whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Tells whether the log was reached lately.
    pub fn reaches_log(&self) -> bool {
        self.reaches_log.load(Ordering::Relaxed)
    }

    /// Returns what this entry tells its peers.
    pub fn status(&self) -> Status {
        Status {
            entry: self.config.entry.name.clone(),
            hall: self.config.entry.hall.clone(),
            next: self.fleet.get().next,
            platform: self.reaches_log(),
            leaving: self.is_leaving(),
            room: lock(&self.capacities).clone(),
        }
    }
}
