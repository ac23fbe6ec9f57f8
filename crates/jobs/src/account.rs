//! The resources that the runs of a workspace use, or may use.
//!
//! Every run that the cell believes a worker may have holds a [`Charge`]: runs that are ordered, running,
//! being stopped or unconfirmed, and those left by an earlier owner. The charge is released when the cell drops
//! the run, that is when its end is known or its lease has certainly expired. Because the sum is derived from
//! the charges, it stays correct whatever happens in between.

use crate::{Bound, Need, WorkspaceId};
use std::{cell, rc::Rc};

/// The resources that one workspace uses, and its bound.
#[derive(Debug)]
pub struct Account {
    /// The workspace.
    pub id: WorkspaceId,
    /// The bound on what the workspace may use; `None` until a configuration has set it.
    bound: cell::Cell<Option<Bound>>,
    /// The resources that its runs use or may use.
    used: cell::Cell<Total>,
}

impl Account {
    /// Creates the account of a workspace without runs; `bound` is `None` if it is not known yet.
    pub(crate) fn new(id: WorkspaceId, bound: Option<Bound>) -> Rc<Self> {
        Rc::new(Account {
            id,
            bound: cell::Cell::new(bound),
            used: cell::Cell::default(),
        })
    }

    /// Returns the bound of the workspace. As long as it is unknown, the bound allows nothing.
    pub fn bound(&self) -> Bound {
        self.bound.get().unwrap_or(Bound::CLOSED)
    }

    /// Returns the resources in use, saturated at the highest number.
    pub fn used(&self) -> Need {
        self.used.get().need()
    }

    /// Sets the bound. Runs that exceed it continue.
    pub(crate) fn set_bound(&self, bound: Bound) {
        self.bound.set(Some(bound));
    }

    /// Handles a configuration that does not name the workspace: a bound set earlier stays in force, and
    /// without one the workspace becomes unbounded.
    pub(crate) fn ensure_bound(&self) {
        self.set_bound(self.bound.get().unwrap_or(Bound::NONE));
    }

    /// Returns whether the bound allows `more` beside what is in use.
    pub(crate) fn allows(&self, more: Need) -> bool {
        self.bound().allows(self.used(), more)
    }

    /// Returns whether the usage, of which `part` is included, exceeds the bound in a resource that `part`
    /// needs.
    pub(crate) fn exceeds_bound(&self, part: Need) -> bool {
        let others = self.used.get().without(part);
        !self.bound().allows(others.need(), part)
    }
}

/// A sum of needs that subtracts exactly what was added. Callers may ask for as much as a `u64` holds; a sum
/// that saturated there would lose the excess when the first part is subtracted.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    cpu: u128,
    memory: u128,
    gpu: u128,
}

impl Total {
    fn with(self, need: Need) -> Self {
        Total {
            cpu: self.cpu + u128::from(need.cpu),
            memory: self.memory + u128::from(need.memory),
            gpu: self.gpu + u128::from(need.gpu),
        }
    }

    fn without(self, need: Need) -> Self {
        Total {
            cpu: self.cpu.saturating_sub(need.cpu.into()),
            memory: self.memory.saturating_sub(need.memory.into()),
            gpu: self.gpu.saturating_sub(need.gpu.into()),
        }
    }

    fn need(self) -> Need {
        let amount = |total: u128| u64::try_from(total).unwrap_or(u64::MAX);
        Need {
            cpu: amount(self.cpu),
            memory: amount(self.memory),
            gpu: amount(self.gpu),
        }
    }
}

/// A part of an account that stays in use until this value is dropped. A clone charges the same amount again.
#[derive(Debug)]
pub struct Charge {
    account: Rc<Account>,
    need: Need,
}

impl Charge {
    /// Charges an amount to an account.
    pub(crate) fn new(account: &Rc<Account>, need: Need) -> Self {
        account.used.set(account.used.get().with(need));
        Charge {
            account: Rc::clone(account),
            need,
        }
    }
}

impl Clone for Charge {
    fn clone(&self) -> Self {
        Charge::new(&self.account, self.need)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let used = self.account.used.get().without(self.need);
        self.account.used.set(used);
    }
}
