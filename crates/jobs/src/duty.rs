//! Which VMs an owner may give orders about: two holders must not give orders about one VM in turn
//! within a short time.
//!
//! An owner records the VMs that it is about to give orders about, and gives the orders once that is
//! durable. A new owner reads them: for a while it leaves those VMs alone, and only those, unless the
//! process that gave the orders is known to have ended.

use crate::Cell;
use clock::Instant;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

/// The process that gave an order about a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// This life of the process.
    pub life: u64,
    /// Where it took the calls of other entries.
    pub address: String,
}

/// What an owner remembers of its orders.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    /// The VMs that it gave orders about of late, in whose name, and until when that matters.
    recent: BTreeMap<String, (Holder, Instant)>,
    /// The VMs that earlier owners may have given orders about.
    pub(crate) inherited: BTreeMap<String, Holder>,
    /// Whether an earlier owner may have given orders about any VM, without a record.
    unrecorded: bool,
    /// How often the record has changed.
    pub(crate) version: u64,
    /// The version that was last put into a batch.
    pub(crate) taken: u64,
    /// The version that is durable.
    pub(crate) durable: u64,
}

impl Duty {
    /// The VMs to be recorded, if the record has changed.
    pub(crate) fn take_change(&mut self) -> Option<BTreeMap<String, Holder>> {
        if self.taken == self.version {
            return None;
        }
        self.taken = self.version;
        // Owners may follow each other within moments: what one inherited is passed on.
        let mut vms = self.inherited.clone();
        let own = self.recent.iter();
        vms.extend(own.map(|(vm, (holder, _))| (vm.clone(), holder.clone())));
        Some(vms)
    }

    /// Forgets the orders that do not matter any more, so that the next owner need not spare their VMs.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let before = self.recent.len();
        self.recent.retain(|_, (_, until)| now < *until);
        if self.recent.len() < before {
            self.version += 1;
        }
    }
}

impl Cell {
    /// The earlier owner that may have given orders about a VM shortly before it ended.
    pub fn earlier_holder(&self, vm: &str) -> Option<&Holder> {
        self.vm_orders.inherited.get(vm)
    }

    /// All earlier owners that may have given orders about VMs shortly before they ended.
    pub fn earlier_holders(&self) -> BTreeSet<Holder> {
        self.vm_orders.inherited.values().cloned().collect()
    }

    /// An earlier owner may have given orders about any VM without a record of them.
    pub fn doubt_all_vms(&mut self) {
        self.vm_orders.unrecorded = true;
    }

    /// Whether an earlier owner may have given orders about VMs without a record of them.
    pub fn doubts_all_vms(&self) -> bool {
        self.vm_orders.unrecorded
    }

    /// Whether an earlier owner may have just given an order about a VM.
    pub fn may_be_ordered(&self, vm: &str) -> bool {
        self.vm_orders.unrecorded || self.vm_orders.inherited.contains_key(vm)
    }

    /// Whether the owner leaves a VM alone, since an earlier one that may still run may have just given an order
    /// about it; `ended` are those that do not run any more. Who gave orders without a record is not known.
    pub fn must_spare(&self, vm: &str, ended: &HashSet<u64>) -> bool {
        let holder = self.vm_orders.inherited.get(vm);
        self.vm_orders.unrecorded || holder.is_some_and(|holder| !ended.contains(&holder.life))
    }

    /// The orders of earlier owners do not matter any more.
    pub fn forget_holders(&mut self) {
        self.vm_orders.unrecorded = false;
        if !self.vm_orders.inherited.is_empty() {
            self.vm_orders.inherited.clear();
            self.vm_orders.version += 1;
        }
    }

    /// Notes the VMs that orders are to be given about; returns what has to be durable before.
    pub fn note_orders<'a>(
        &mut self,
        vms: impl IntoIterator<Item = &'a str>,
        holder: &Holder,
        now: Instant,
        matters: Duration,
    ) -> u64 {
        self.vm_orders.forget_old(now);
        let until = now + matters;
        let noted = vms
            .into_iter()
            .map(|vm| (vm.to_owned(), (holder.clone(), until)));
        self.vm_orders.recent.extend(noted);
        self.vm_orders.version += 1;
        self.vm_orders.version
    }

    /// Whether what was noted up to a version is durable.
    pub fn orders_durable(&self, version: u64) -> bool {
        self.vm_orders.durable >= version
    }
}
