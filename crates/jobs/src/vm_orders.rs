//! Records the VMs that an owner gives orders about, so that two owners don't give orders about the same VM
//! within a short time.
//!
//! An owner records the VMs that it is about to give orders about, and gives the orders once the record is
//! durable. A new owner reads the record and leaves those VMs alone for a while, unless the process that gave
//! the orders is known to have ended.

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
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The address where it accepted calls of other entries.
    pub address: String,
}

/// The VM orders of this owner and of earlier ones.
#[derive(Debug, Default)]
pub(crate) struct VmOrders {
    /// The VMs that this owner recently gave orders about, on whose behalf, and until when that is relevant.
    recent: BTreeMap<String, (Holder, Instant)>,
    /// The VMs that earlier owners may have given orders about.
    pub(crate) inherited: BTreeMap<String, Holder>,
    /// Whether an earlier owner may have given orders about any VM without a record.
    unrecorded: bool,
    /// The version of the record, raised at each change.
    pub(crate) version: u64,
    /// The version that was last put into a batch.
    pub(crate) batched: u64,
    /// The version that is durable.
    pub(crate) durable: u64,
}

impl VmOrders {
    /// Returns the VMs to be recorded if the record has changed since the last call.
    pub(crate) fn take_change(&mut self) -> Option<BTreeMap<String, Holder>> {
        if self.batched == self.version {
            return None;
        }
        self.batched = self.version;
        // Owners may change within moments, so inherited orders are recorded again.
        let mut vms = self.inherited.clone();
        let own = self.recent.iter();
        vms.extend(own.map(|(vm, (holder, _))| (vm.clone(), holder.clone())));
        Some(vms)
    }

    /// Removes the orders that are no longer relevant, so that the next owner need not skip their VMs.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let before = self.recent.len();
        self.recent.retain(|_, (_, until)| now < *until);
        if self.recent.len() < before {
            self.version += 1;
        }
    }
}

impl Cell {
    /// Returns the earlier owner that may have given orders about a VM shortly before it ended.
    pub fn earlier_holder(&self, vm: &str) -> Option<&Holder> {
        self.vm_orders.inherited.get(vm)
    }

    /// Returns all earlier owners that may have given orders about VMs shortly before they ended.
    pub fn earlier_holders(&self) -> BTreeSet<Holder> {
        self.vm_orders.inherited.values().cloned().collect()
    }

    /// Records that an earlier owner may have given orders about any VM without a record of them.
    pub fn mark_all_vms_unconfirmed(&mut self) {
        self.vm_orders.unrecorded = true;
    }

    /// Returns whether an earlier owner may have given orders about VMs without a record of them.
    pub fn are_all_vms_unconfirmed(&self) -> bool {
        self.vm_orders.unrecorded
    }

    /// Returns whether an earlier owner may have recently given an order about a VM.
    pub fn may_be_ordered(&self, vm: &str) -> bool {
        self.vm_orders.unrecorded || self.vm_orders.inherited.contains_key(vm)
    }

    /// Returns whether this owner must leave a VM alone because an earlier owner, which may still run, may
    /// have recently given an order about it. `ended` holds the incarnations known to have ended; it does not
    /// help with unrecorded orders, whose author is unknown.
    pub fn must_skip(&self, vm: &str, ended: &HashSet<u64>) -> bool {
        let holder = self.vm_orders.inherited.get(vm);
        self.vm_orders.unrecorded
            || holder.is_some_and(|holder| !ended.contains(&holder.incarnation))
    }

    /// Removes the orders of earlier owners once they are no longer relevant.
    pub fn forget_earlier_holders(&mut self) {
        self.vm_orders.unrecorded = false;
        if !self.vm_orders.inherited.is_empty() {
            self.vm_orders.inherited.clear();
            self.vm_orders.version += 1;
        }
    }

    /// Records the VMs that orders are to be given about. Returns the version that must be durable before the
    /// orders are given.
    pub fn record_vm_orders<'a>(
        &mut self,
        vms: impl IntoIterator<Item = &'a str>,
        holder: &Holder,
        now: Instant,
        relevant_for: Duration,
    ) -> u64 {
        self.vm_orders.forget_old(now);
        let until = now + relevant_for;
        let orders = vms
            .into_iter()
            .map(|vm| (vm.to_owned(), (holder.clone(), until)));
        self.vm_orders.recent.extend(orders);
        self.vm_orders.version += 1;
        self.vm_orders.version
    }

    /// Returns whether the record is durable up to a version.
    pub fn are_vm_orders_durable(&self, version: u64) -> bool {
        self.vm_orders.durable >= version
    }
}
