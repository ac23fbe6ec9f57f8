//! Which data centres operators want emptied, as far as what they publish is known.

use crate::HallId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A place in what operators publish.
pub type Offset = u64;

/// An order of operators about a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallOrder {
    /// Empty it.
    Drain(HallId),
    /// It is taken back.
    Undrain(HallId),
}

/// The data centres to be emptied, as of an offset of what operators publish.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallDrains {
    halls: BTreeSet<HallId>,
    as_of: Offset,
}

impl HallDrains {
    /// Those that stand where all that was published before an offset is known.
    pub fn new(halls: BTreeSet<HallId>, as_of: Offset) -> Self {
        HallDrains { halls, as_of }
    }

    /// The data centres to be emptied.
    pub fn halls(&self) -> &BTreeSet<HallId> {
        &self.halls
    }

    /// Up to which offset what was published is known; 0 if nothing is.
    pub fn as_of(&self) -> Offset {
        self.as_of
    }

    /// Takes in what stands at an offset, an order or something else; true if it changes anything. What is known already
    /// does not.
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

    /// Takes over what is known elsewhere, unless it is older; true if that changes anything.
    pub fn adopt(&mut self, other: HallDrains) -> bool {
        if other.as_of < self.as_of {
            return false;
        }
        let changed = other.halls != self.halls;
        *self = other;
        changed
    }
}
