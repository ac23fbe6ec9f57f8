//! The mapping from keys to workspaces.

use crate::{Key, KeyDigest, Workspace};
use jobs::WorkspaceId;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

/// The keys of all workspaces. A new configuration is applied as a difference: for a workspace that is the
/// same allocation as before, only two pointers are compared, however many keys it has.
#[derive(Debug, Default)]
pub struct Keyring {
    /// The workspaces by name.
    workspaces: BTreeMap<WorkspaceId, Rc<Workspace>>,
    /// The workspaces that hold each key.
    holders: HashMap<KeyDigest, Vec<WorkspaceId>>,
}

impl Keyring {
    /// Returns the workspace that a key opens. A key that several workspaces hold opens none of them,
    /// because it is unclear whose jobs its caller may see.
    pub fn find(&self, key: &Key) -> Option<&WorkspaceId> {
        match self.holders.get(&key.digest())?.as_slice() {
            [one] => Some(one),
            _ => None,
        }
    }

    /// Returns the workspaces, ordered by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.workspaces.values()
    }

    /// Returns the workspace with the given name.
    pub fn get(&self, id: &str) -> Option<&Workspace> {
        self.workspaces.get(id).map(Rc::as_ref)
    }

    /// Returns the number of keys that several workspaces hold.
    pub fn shared_keys(&self) -> usize {
        let holders = self.holders.values();
        holders.filter(|holders| holders.len() > 1).count()
    }

    /// Replaces the workspaces by those of another configuration. If two have the same name, the first one
    /// counts.
    pub fn replace(&mut self, workspaces: &[Rc<Workspace>]) {
        let mut next = BTreeMap::new();
        for workspace in workspaces {
            let place = next.entry(workspace.id.clone());
            place.or_insert_with(|| Rc::clone(workspace));
        }
        let former = std::mem::take(&mut self.workspaces);
        let stays = |map: &BTreeMap<WorkspaceId, Rc<Workspace>>, workspace: &Rc<Workspace>| {
            map.get(&workspace.id)
                .is_some_and(|other| Rc::ptr_eq(other, workspace))
        };
        let gone = former.values().filter(|workspace| !stays(&next, workspace));
        gone.for_each(|workspace| self.remove_keys(workspace));
        let new = next.values().filter(|workspace| !stays(&former, workspace));
        new.for_each(|workspace| self.add_keys(workspace));
        self.workspaces = next;
    }

    fn add_keys(&mut self, workspace: &Workspace) {
        for key in &workspace.keys {
            let holders = self.holders.entry(*key).or_default();
            if !holders.contains(&workspace.id) {
                holders.push(workspace.id.clone());
            }
        }
    }

    fn remove_keys(&mut self, workspace: &Workspace) {
        for key in &workspace.keys {
            let Some(holders) = self.holders.get_mut(key) else {
                continue;
            };
            holders.retain(|holder| *holder != workspace.id);
            if holders.is_empty() {
                self.holders.remove(key);
            }
        }
    }
}
