//! Observations that this entry makes of the workers in its data centre, ahead of the agreed state.

use crate::sync::lock;
use protocol::VmId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

/// Latest observation of each VM of the data centre.
#[derive(Default)]
pub struct LocalObservations {
    observations: Mutex<BTreeMap<VmId, LocalObservation>>,
}

/// Latest observation of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalObservation {
    /// Number of failed probes since the last successful one.
    pub misses: u32,
    /// Whether the platform lists the VM as leaving.
    pub leaving: bool,
}

/// Number of consecutive failed probes after which a worker is suspected to be down.
const SUSPECT_AFTER: u32 = 2;

impl LocalObservation {
    /// Returns whether the worker is suspected to be down.
    pub fn is_suspect(self) -> bool {
        self.misses >= SUSPECT_AFTER
    }
}

impl LocalObservations {
    /// Records the result of one probe.
    pub fn record_probe(&self, vm: &str, answered: bool) {
        let mut observations = lock(&self.observations);
        let observation = observations.entry(vm.to_owned()).or_default();
        observation.misses = if answered { 0 } else { observation.misses + 1 };
    }

    /// Returns the VMs whose last probe failed.
    pub fn unanswered(&self) -> BTreeSet<VmId> {
        let observations = lock(&self.observations);
        let missed = observations
            .iter()
            .filter(|(_, observation)| observation.misses > 0);
        missed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the observations of all VMs.
    pub fn all(&self) -> BTreeMap<VmId, LocalObservation> {
        lock(&self.observations).clone()
    }

    /// Records which VMs the platform lists as leaving.
    pub fn set_leaving(&self, leaving: &BTreeSet<VmId>) {
        let mut observations = lock(&self.observations);
        for vm in leaving {
            observations.entry(vm.clone()).or_default();
        }
        for (vm, observation) in observations.iter_mut() {
            observation.leaving = leaving.contains(vm);
        }
    }

    /// Removes the observations of VMs that are not in `known`.
    pub fn retain(&self, known: &BTreeSet<VmId>) {
        lock(&self.observations).retain(|vm, _| known.contains(vm));
    }

    /// Returns the VMs that should get no new work, since they are suspected to be down or are
    /// leaving.
    pub fn unusable(&self) -> BTreeSet<VmId> {
        lock(&self.observations)
            .iter()
            .filter(|(_, observation)| observation.is_suspect() || observation.leaving)
            .map(|(vm, _)| vm.clone())
            .collect()
    }
}
