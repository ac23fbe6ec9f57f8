//! What a workspace has running, or may have.
//!
//! Whatever the cell believes that a worker may run holds a [`Charge`]: a run that is ordered, runs, is being stopped or
//! is not clear, and one that an earlier owner has left. It is given back where the cell drops what it believed, which is
//! when an end is known or a lease has run out for certain. So the sum cannot go astray, whatever happens in between.

use crate::{Bound, Need, WorkspaceId};
use std::{cell, rc::Rc};

/// The account of one workspace.
#[derive(Debug)]
pub struct Account {
    /// The workspace.
    pub id: WorkspaceId,
    /// How much it may have running; none as long as no configuration has told.
    bound: cell::Cell<Option<Bound>>,
    /// What it has running, or may have.
    used: cell::Cell<Total>,
}

impl Account {
    /// The account of a workspace that has nothing running; without a bound as long as none is known.
    pub(crate) fn new(id: WorkspaceId, bound: Option<Bound>) -> Rc<Self> {
        Rc::new(Account {
            id,
            bound: cell::Cell::new(bound),
            used: cell::Cell::default(),
        })
    }

    /// How much it may have running: nothing as long as that is not known.
    pub fn bound(&self) -> Bound {
        self.bound.get().unwrap_or(Bound::CLOSED)
    }

    /// What it has running, or may have; the highest number where that is more than a number holds.
    pub fn used(&self) -> Need {
        self.used.get().need()
    }

    /// Sets how much it may have running; what runs beyond it goes on.
    pub(crate) fn set_bound(&self, bound: Bound) {
        self.bound.set(Some(bound));
    }

    /// A configuration does not name the workspace: it keeps the bound that it had, and has none if it never had one.
    pub(crate) fn ensure_bound(&self) {
        self.set_bound(self.bound.get().unwrap_or(Bound::NONE));
    }

    /// Whether it may start as much as this.
    pub(crate) fn allows(&self, more: Need) -> bool {
        self.bound().allows(self.used(), more)
    }

    /// Whether what it takes already, of which this is a part, goes beyond the bound in something that this takes.
    pub(crate) fn exceeds_bound(&self, part: Need) -> bool {
        let others = self.used.get().without(part);
        !self.bound().allows(others.need(), part)
    }
}

/// A sum of needs that gives back exactly what was taken: callers may ask for as much as a number holds, and a sum that
/// stopped at the highest number would lose the rest of it with the first that is given back.
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

/// A part of an account that is taken until this is dropped. A copy takes as much again.
#[derive(Debug)]
pub struct Charge {
    account: Rc<Account>,
    need: Need,
}

impl Charge {
    /// Takes an amount of an account.
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
