//! The data centres that operators want drained, as far as their published orders are known.

use crate::HallId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A position in the log of published orders.
pub type Offset = u64;

/// An operators' order about a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallOrder {
    /// The data centre is to be drained.
    Drain(HallId),
    /// An earlier order to drain the data centre is revoked.
    Undrain(HallId),
}

/// The data centres to be drained, as of an offset in the published orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallDrains {
    halls: BTreeSet<HallId>,
    as_of: Offset,
}

impl HallDrains {
    /// Creates the state that results from everything published before an offset.
    pub fn new(halls: BTreeSet<HallId>, as_of: Offset) -> Self {
        HallDrains { halls, as_of }
    }

    /// Returns the data centres to be drained.
    pub fn halls(&self) -> &BTreeSet<HallId> {
        &self.halls
    }

    /// Returns the offset up to which the published orders are known; 0 if none are.
    pub fn as_of(&self) -> Offset {
        self.as_of
    }

    /// Applies what was published at an offset, an order or something else. Returns whether this changes the
    /// data centres to be drained; offsets that are already known change nothing.
    pub fn apply(&mut self, order: Option<HallOrder>, offset: Offset) -> bool {
        if offset < self.as_of {
            return false;
        }
        self.as_of = offset + 1;
        match order {
            Some(HallOrder::Drain(hall)) => self.halls.insert(hall),
            Some(HallOrder::Undrain(hall)) => self.halls.remove(&hall),
            None => false,
        }
    }

    /// Replaces this state by one from elsewhere unless that is older. Returns whether the data centres to be
    /// drained change.
    pub fn adopt(&mut self, other: HallDrains) -> bool {
        if other.as_of < self.as_of {
            return false;
        }
        let changed = other.halls != self.halls;
        *self = other;
        changed
    }
}
