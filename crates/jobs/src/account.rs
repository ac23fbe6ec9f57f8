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
    /// How much it may have running.
    bound: cell::Cell<Bound>,
    /// What it has running, or may have.
    used: cell::Cell<Need>,
}

impl Account {
    /// The account of a workspace that has nothing running.
    pub(crate) fn new(id: WorkspaceId, bound: Bound) -> Rc<Self> {
        Rc::new(Account {
            id,
            bound: cell::Cell::new(bound),
            used: cell::Cell::default(),
        })
    }

    /// How much it may have running.
    pub fn bound(&self) -> Bound {
        self.bound.get()
    }

    /// What it has running, or may have.
    pub fn used(&self) -> Need {
        self.used.get()
    }

    /// Sets how much it may have running; what runs beyond it goes on.
    pub(crate) fn set_bound(&self, bound: Bound) {
        self.bound.set(bound);
    }

    /// Whether it may start as much as this.
    pub(crate) fn allows(&self, more: Need) -> bool {
        self.bound.get().allows(self.used.get(), more)
    }

    /// Whether what it takes already, of which this is a part, goes beyond the bound in something that this takes.
    pub(crate) fn is_over(&self, part: Need) -> bool {
        let mut others = self.used.get();
        others.remove(part);
        !self.bound.get().allows(others, part)
    }

    fn change(&self, change: impl FnOnce(&mut Need)) {
        let mut used = self.used.get();
        change(&mut used);
        self.used.set(used);
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
        account.change(|used| used.add(need));
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
        self.account.change(|used| used.remove(self.need));
    }
}
