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
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where it took the calls of other entries.
    pub address: String,
}

/// What an owner remembers of its orders.
#[derive(Debug, Default)]
pub(crate) struct VmOrders {
    /// The VMs that it gave orders about of late, in whose name, and until when that matters.
    recent: BTreeMap<String, (Holder, Instant)>,
    /// The VMs that earlier owners may have given orders about.
    pub(crate) inherited: BTreeMap<String, Holder>,
    /// Whether an earlier owner may have given orders about any VM, without a record.
    unrecorded: bool,
    /// How often the record has changed.
    pub(crate) version: u64,
    /// The version that was last put into a batch.
    pub(crate) batched: u64,
    /// The version that is durable.
    pub(crate) durable: u64,
}

impl VmOrders {
    /// The VMs to be recorded, if the record has changed.
    pub(crate) fn take_change(&mut self) -> Option<BTreeMap<String, Holder>> {
        if self.batched == self.version {
            return None;
        }
        self.batched = self.version;
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
        self.duty.inherited.get(vm)
    }

    /// All earlier owners that may have given orders about VMs shortly before they ended.
    pub fn earlier_holders(&self) -> BTreeSet<Holder> {
        self.duty.inherited.values().cloned().collect()
    }

    /// An earlier owner may have given orders about any VM without a record of them.
    pub fn mark_all_vms_unconfirmed(&mut self) {
        self.duty.unrecorded = true;
    }

    /// Whether an earlier owner may have given orders about VMs without a record of them.
    pub fn are_all_vms_unconfirmed(&self) -> bool {
        self.duty.unrecorded
    }

    /// Whether an earlier owner may have just given an order about a VM.
    pub fn may_be_ordered(&self, vm: &str) -> bool {
        self.duty.unrecorded || self.duty.inherited.contains_key(vm)
    }

    /// Whether the owner leaves a VM alone, since an earlier one that may still run may have just given an order
    /// about it; `ended` are those that do not run any more. Who gave orders without a record is not known.
    pub fn must_skip(&self, vm: &str, ended: &HashSet<u64>) -> bool {
        let holder = self.duty.inherited.get(vm);
        self.duty.unrecorded || holder.is_some_and(|holder| !ended.contains(&holder.incarnation))
    }

    /// The orders of earlier owners do not matter any more.
    pub fn forget_earlier_holders(&mut self) {
        self.duty.unrecorded = false;
        if !self.duty.inherited.is_empty() {
            self.duty.inherited.clear();
            self.duty.version += 1;
        }
    }

    /// Notes the VMs that orders are to be given about; returns what has to be durable before.
    pub fn record_vm_orders<'a>(
        &mut self,
        vms: impl IntoIterator<Item = &'a str>,
        holder: &Holder,
        now: Instant,
        relevant_for: Duration,
    ) -> u64 {
        self.duty.forget_old(now);
        let until = now + relevant_for;
        let orders = vms
            .into_iter()
            .map(|vm| (vm.to_owned(), (holder.clone(), until)));
        self.duty.recent.extend(orders);
        self.duty.version += 1;
        self.duty.version
    }

    /// Whether what was noted up to a version is durable.
    pub fn are_vm_orders_durable(&self, version: u64) -> bool {
        self.duty.durable >= version
    }
}
