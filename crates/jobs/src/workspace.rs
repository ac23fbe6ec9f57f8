//! Workspaces: which one a job belongs to, and how much it may have running.

use crate::Need;

/// A workspace, by its name.
pub type WorkspaceId = String;

/// How much a workspace may have running across all workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(Need);

/// An amount of one resource that is never reached.
const UNLIMITED: u64 = u64::MAX;

impl Bound {
    /// No bound at all.
    pub const NONE: Bound = Bound(Need {
        cpu: UNLIMITED,
        memory: UNLIMITED,
        gpu: UNLIMITED,
    });

    /// A bound under which nothing starts: of a workspace whose bound is not known.
    pub const CLOSED: Bound = Bound(Need {
        cpu: 0,
        memory: 0,
        gpu: 0,
    });

    /// A bound by amounts, of which 0 means that there is none for that resource.
    pub fn new(most: Need) -> Self {
        let amount = |most: u64| if most == 0 { UNLIMITED } else { most };
        Bound(Need {
            cpu: amount(most.cpu),
            memory: amount(most.memory),
            gpu: amount(most.gpu),
        })
    }

    /// The amounts; [`u64::MAX`] where there is no bound.
    pub fn amounts(self) -> Need {
        self.0
    }

    /// Whether `more` may start beside `used`. A resource of which it takes nothing does not matter, however far a
    /// bound that was lowered has been passed there.
    pub fn allows(self, used: Need, more: Need) -> bool {
        let fits = |used: u64, more: u64, most: u64| more == 0 || used.saturating_add(more) <= most;
        let Bound(most) = self;
        fits(used.cpu, more.cpu, most.cpu)
            && fits(used.memory, more.memory, most.memory)
            && fits(used.gpu, more.gpu, most.gpu)
    }
}
