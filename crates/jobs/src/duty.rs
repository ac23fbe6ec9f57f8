//! Which VMs an owner may give orders about: two holders must not give orders about one VM in turn
//! within a short time.
//!
//! An owner records the VMs that it is about to give orders about, and gives the orders once that is
//! durable. A new owner reads them: for a while it leaves those VMs alone, and only those.

use crate::Cell;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// What an owner remembers of its orders.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    /// The VMs that it gave orders about of late, and until when that matters.
    recent: BTreeMap<String, Instant>,
    /// The VMs that the earlier owner may have given orders about.
    pub(crate) inherited: BTreeSet<String>,
    /// How often the record has changed.
    pub(crate) version: u64,
    /// The version that was last put into a batch.
    pub(crate) taken: u64,
    /// The version that is durable.
    pub(crate) durable: u64,
}

impl Duty {
    /// The VMs to be recorded, if the record has changed.
    pub(crate) fn take_change(&mut self) -> Option<BTreeSet<String>> {
        if self.taken == self.version {
            return None;
        }
        self.taken = self.version;
        // Owners may follow each other within moments: what one inherited is passed on.
        Some(self.recent.keys().chain(&self.inherited).cloned().collect())
    }
}

impl Cell {
    /// Whether an earlier owner may have given orders about a VM shortly before it ended.
    pub fn was_ordered(&self, vm: &str) -> bool {
        self.duty.inherited.contains(vm)
    }

    /// Notes the VMs that orders are to be given about; returns what has to be durable before.
    pub fn note_orders<'a>(
        &mut self,
        vms: impl IntoIterator<Item = &'a str>,
        now: Instant,
        matters: Duration,
    ) -> u64 {
        self.duty.recent.retain(|_, until| now < *until);
        let noted = vms.into_iter().map(|vm| (vm.to_owned(), now + matters));
        self.duty.recent.extend(noted);
        self.duty.version += 1;
        self.duty.version
    }

    /// Whether what was noted up to a version is durable.
    pub fn orders_durable(&self, version: u64) -> bool {
        self.duty.durable >= version
    }
}
