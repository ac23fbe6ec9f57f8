//! Records the VMs that an owner gives orders about, so that two owners don't give orders about the same VM
//! within a short time.
//!
//! An owner records the VMs that it is about to give orders about, and gives the orders once the record is
//! durable. A new owner reads the record and leaves those VMs alone for a while, unless the process that gave
//! the orders is known to have ended.
//!
//! An order for maintenance that the platform has not answered may be carried out seconds later, whatever has
//! become of the owner that gave it. Such VMs are recorded apart, for as long as that may happen.

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
    /// The VMs whose maintenance this owner has ordered and may still begin, and until when.
    pending: BTreeMap<String, Instant>,
    /// The VMs whose maintenance earlier owners have ordered and may still begin.
    inherited_pending: BTreeSet<String>,
    /// Until when that maintenance may begin; `None` while it is not known.
    inherited_until: Option<Instant>,
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

    /// Returns the VMs whose ordered maintenance may still begin.
    pub(crate) fn pending(&self) -> BTreeSet<String> {
        let own = self.pending.keys();
        own.chain(&self.inherited_pending).cloned().collect()
    }

    /// Restores the VMs whose maintenance an earlier owner has ordered.
    pub(crate) fn inherit_pending(&mut self, vms: BTreeSet<String>) {
        self.inherited_pending = vms;
    }

    /// Removes the orders that are no longer relevant, so that the next owner need not skip their VMs.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let count = |orders: &Self| {
            orders.recent.len() + orders.pending.len() + orders.inherited_pending.len()
        };
        let before = count(self);
        self.recent.retain(|_, (_, until)| now < *until);
        self.pending.retain(|_, until| now < *until);
        if self.inherited_until.is_some_and(|until| now >= until) {
            self.inherited_pending.clear();
        }
        if count(self) < before {
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

    /// Records that maintenance of these VMs is to be ordered, which may begin until `until` unless the platform
    /// answers before. The record becomes durable with the next one of [`Cell::record_vm_orders`].
    pub fn add_pending_maintenance<'a>(
        &mut self,
        vms: impl IntoIterator<Item = &'a str>,
        until: Instant,
    ) {
        let vms = vms.into_iter().map(|vm| (vm.to_owned(), until));
        self.vm_orders.pending.extend(vms);
    }

    /// Records that maintenance of a VM is not ordered by this owner after all.
    pub fn withdraw_maintenance(&mut self, vm: &str) {
        if self.vm_orders.pending.remove(vm).is_some() {
            self.vm_orders.version += 1;
        }
    }

    /// Records that maintenance of a VM has begun or that no order that was given for it can begin it any more.
    pub fn settle_maintenance(&mut self, vm: &str) {
        let own = self.vm_orders.pending.remove(vm).is_some();
        let inherited = self.vm_orders.inherited_pending.remove(vm);
        self.vm_orders.version += u64::from(own || inherited);
    }

    /// Sets until when maintenance that earlier owners have ordered may begin.
    pub fn set_inherited_maintenance(&mut self, until: Instant) {
        self.vm_orders.inherited_until = Some(until);
    }

    /// Returns whether ordered maintenance of a VM may still begin.
    pub fn has_pending_maintenance(&self, vm: &str, now: Instant) -> bool {
        let orders = &self.vm_orders;
        let inherited = orders.inherited_until.is_none_or(|until| now < until)
            && orders.inherited_pending.contains(vm);
        let own = orders.pending.get(vm);
        inherited || own.is_some_and(|until| now < *until)
    }

    /// Returns whether the record is durable up to a version.
    pub fn are_vm_orders_durable(&self, version: u64) -> bool {
        self.vm_orders.durable >= version
    }
}
