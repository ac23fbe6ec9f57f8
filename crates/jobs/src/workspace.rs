//! Workspaces, and the bound on the resources that each may use.

use crate::Need;

/// The name of a workspace.
pub type WorkspaceId = String;

/// The bound on the resources that a workspace may use across all workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(Need);

/// The amount that stands for no bound on a resource.
const UNLIMITED: u64 = u64::MAX;

impl Bound {
    /// The absence of any bound.
    pub const NONE: Bound = Bound(Need {
        cpu: UNLIMITED,
        memory: UNLIMITED,
        gpu: UNLIMITED,
    });

    /// The bound under which nothing starts, used for a workspace whose bound is not known.
    pub const CLOSED: Bound = Bound(Need {
        cpu: 0,
        memory: 0,
        gpu: 0,
    });

    /// Creates a bound from amounts; 0 means that the resource is not bounded.
    pub fn new(max: Need) -> Self {
        let amount = |max: u64| if max == 0 { UNLIMITED } else { max };
        Bound(Need {
            cpu: amount(max.cpu),
            memory: amount(max.memory),
            gpu: amount(max.gpu),
        })
    }

    /// Returns the amounts; [`u64::MAX`] stands for no bound.
    pub fn amounts(self) -> Need {
        self.0
    }

    /// Returns whether `more` may start beside `used`. Resources that `more` does not need are ignored, even
    /// if their use exceeds a bound that was lowered.
    pub fn allows(self, used: Need, more: Need) -> bool {
        let fits = |used: u64, more: u64, max: u64| more == 0 || used.saturating_add(more) <= max;
        let Bound(max) = self;
        fits(used.cpu, more.cpu, max.cpu)
            && fits(used.memory, more.memory, max.memory)
            && fits(used.gpu, more.gpu, max.gpu)
    }
}
