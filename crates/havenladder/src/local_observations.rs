//! What this entry sees of its hall's workers itself, ahead of the agreed state.

use crate::sync::lock;
use protocol::VmId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

/// VMs of the hall by what the last probes said.
#[derive(Default)]
pub struct LocalObservations {
    observations: Mutex<BTreeMap<VmId, LocalObservation>>,
}

/// What the last probes of one VM said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalObservation {
    /// Probes that failed since the last one that was answered.
    pub misses: u32,
    /// Whether the platform lists the VM as leaving.
    pub leaving: bool,
}

/// Probes in a row that must fail before a worker is suspected to be down.
const SUSPECT_AFTER: u32 = 2;

impl LocalObservation {
    /// Tells whether the worker is suspected to be down.
    pub fn is_suspect(self) -> bool {
        self.misses >= SUSPECT_AFTER
    }
}

impl LocalObservations {
    /// Notes one probe.
    pub fn record_probe(&self, vm: &str, answered: bool) {
        let mut observations = lock(&self.observations);
        let observation = observations.entry(vm.to_owned()).or_default();
        observation.misses = if answered { 0 } else { observation.misses + 1 };
    }

    /// Returns the VMs whose last probe failed.
    pub fn suspects(&self) -> BTreeSet<VmId> {
        let observations = lock(&self.observations);
        let missed = observations
            .iter()
            .filter(|(_, observation)| observation.misses > 0);
        missed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns what is known of each VM.
    pub fn all(&self) -> BTreeMap<VmId, LocalObservation> {
        lock(&self.observations).clone()
    }

    /// Notes which VMs the platform lists as leaving.
    pub fn set_leaving(&self, leaving: &BTreeSet<VmId>) {
        let mut observations = lock(&self.observations);
        for vm in leaving {
            observations.entry(vm.clone()).or_default();
        }
        for (vm, observation) in observations.iter_mut() {
            observation.leaving = leaving.contains(vm);
        }
    }

    /// Forgets VMs that are not among `known`.
    pub fn retain(&self, known: &BTreeSet<VmId>) {
        lock(&self.observations).retain(|vm, _| known.contains(vm));
    }

    /// Returns VMs that should get no new work by what this entry sees.
    pub fn unfit(&self) -> BTreeSet<VmId> {
        lock(&self.observations)
            .iter()
            .filter(|(_, observation)| observation.is_suspect() || observation.leaving)
            .map(|(vm, _)| vm.clone())
            .collect()
    }
}
