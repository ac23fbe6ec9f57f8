//! What this entry sees of its hall's workers itself, ahead of the agreed state.

use crate::sync::lock;
use protocol::VmId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

/// VMs of the hall by what the last probes said.
#[derive(Default)]
pub struct Sightings {
    seen: Mutex<BTreeMap<VmId, Sighting>>,
}

/// What the last probes of one VM said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// Probes that failed since the last one that was answered.
    pub misses: u32,
    /// Whether the platform lists the VM as leaving.
    pub leaving: bool,
}

/// Probes in a row that must fail before a worker is suspected to be down.
const SUSPECT_AFTER: u32 = 2;

impl Sighting {
    /// Tells whether the worker is suspected to be down.
    pub fn is_suspect(self) -> bool {
        self.misses >= SUSPECT_AFTER
    }
}

impl Sightings {
    /// Notes one probe.
    pub fn probe(&self, vm: &str, answered: bool) {
        let mut seen = lock(&self.seen);
        let sighting = seen.entry(vm.to_owned()).or_default();
        sighting.misses = if answered { 0 } else { sighting.misses + 1 };
    }

    /// Returns the VMs whose last probe failed.
    pub fn suspects(&self) -> BTreeSet<VmId> {
        let seen = lock(&self.seen);
        let missed = seen.iter().filter(|(_, sighting)| sighting.misses > 0);
        missed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns what is known of each VM.
    pub fn all(&self) -> BTreeMap<VmId, Sighting> {
        lock(&self.seen).clone()
    }

    /// Notes which VMs the platform lists as leaving.
    pub fn set_leaving(&self, leaving: &BTreeSet<VmId>) {
        let mut seen = lock(&self.seen);
        for vm in leaving {
            seen.entry(vm.clone()).or_default();
        }
        for (vm, sighting) in seen.iter_mut() {
            sighting.leaving = leaving.contains(vm);
        }
    }

    /// Forgets VMs that are not among `known`.
    pub fn retain(&self, known: &BTreeSet<VmId>) {
        lock(&self.seen).retain(|vm, _| known.contains(vm));
    }

    /// Returns VMs that should get no new work by what this entry sees.
    pub fn unfit(&self) -> BTreeSet<VmId> {
        lock(&self.seen)
            .iter()
            .filter(|(_, sighting)| sighting.is_suspect() || sighting.leaving)
            .map(|(vm, _)| vm.clone())
            .collect()
    }
}
