//! Publishing of settings: compare-and-set by path, either all paths of a change or none.

use crate::{
    fold::Context,
    record::{Outcome, PathChange, Reason},
    state::{Fleet, RecordOrigin},
};
use settings::Tree;

impl Fleet {
    /// Publishes settings if every path still has the version on which the change is based.
    pub(crate) fn publish(&mut self, context: &Context, changes: &[PathChange]) -> Outcome {
        if let Some(reason) = self.conflict(changes) {
            return Outcome::Rejected(reason);
        }
        let updated = self.with_changes(changes);
        if let Some(reason) = self.invalid_reason(&updated) {
            return Outcome::Rejected(reason);
        }
        self.tree = updated;
        for change in changes {
            let origin = RecordOrigin {
                offset: context.offset,
                by: context.by.clone(),
                at: context.at,
            };
            self.versions.insert(change.path.clone(), origin);
        }
        self.prune_gone();
        Outcome::Applied
    }

    /// Returns the version of a path, or 0 if it was never set.
    pub fn version(&self, path: &str) -> u64 {
        self.versions
            .get(path)
            .map_or(0, |origin| origin.offset + 1)
    }

    fn conflict(&self, changes: &[PathChange]) -> Option<Reason> {
        let change = changes
            .iter()
            .find(|change| self.version(&change.path) != change.base)?;
        let origin = self.versions.get(&change.path)?;
        Some(Reason::PathMoved {
            path: change.path.clone(),
            version: origin.offset,
            by: origin.by.clone(),
        })
    }

    fn with_changes(&self, changes: &[PathChange]) -> Tree {
        let mut tree = self.tree.clone();
        for change in changes {
            match &change.node {
                Some(node) => tree.nodes.insert(change.path.clone(), node.clone()),
                None => tree.nodes.remove(&change.path),
            };
        }
        tree
    }

    fn invalid_reason(&self, tree: &Tree) -> Option<Reason> {
        for path in tree.nodes.keys() {
            let orphan = Tree::levels(path).any(|level| !tree.nodes.contains_key(level));
            if orphan {
                return Some(Reason::Orphan { path: path.clone() });
            }
        }
        let pool = self
            .counts
            .iter()
            .filter(|(_, count)| count.vms > 0)
            .map(|(pool, _)| pool)
            .find(|pool| pool.as_str() != crate::SPARE_POOL && !tree.nodes.contains_key(*pool))?;
        Some(Reason::PoolInUse { pool: pool.clone() })
    }
}
