//! Settings tree, stored by path, and the difference between two trees.

use crate::node::Node;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path of a level: `place`, `place/pool` or `place/pool/service`.
pub type Path = String;

/// Settings of all levels that are set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// Levels by path.
    pub nodes: BTreeMap<Path, Node>,
}

impl Tree {
    /// Returns the paths of all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Path> {
        self.nodes.keys().filter(|path| depth(path) == 2)
    }

    /// Returns the paths of all services.
    pub fn services(&self) -> impl Iterator<Item = &Path> {
        self.nodes.keys().filter(|path| depth(path) == 3)
    }

    /// Returns the paths of the services of one pool.
    pub fn services_of<'a>(&'a self, pool: &str) -> impl Iterator<Item = &'a Path> {
        let first = format!("{pool}/");
        let prefix = first.clone();
        self.nodes
            .range(first..)
            .map(|(path, _)| path)
            .take_while(move |path| path.starts_with(&prefix))
    }

    /// Returns the path and all paths above it, the lowest first.
    pub fn levels(path: &str) -> impl Iterator<Item = &str> {
        let mut rest = Some(path);
        std::iter::from_fn(move || {
            let level = rest?;
            rest = level.rfind('/').map(|at| &level[..at]);
            Some(level)
        })
    }
}

/// Change of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Path that changes.
    pub path: Path,
    /// New values, or `None` to remove the path.
    pub node: Option<Node>,
}

/// Returns the changes that turn `current` into `wanted`.
pub fn diff(current: &Tree, wanted: &Tree) -> Vec<Change> {
    let mut changes = Vec::new();
    for (path, node) in &wanted.nodes {
        if current.nodes.get(path) != Some(node) {
            changes.push(Change {
                path: path.clone(),
                node: Some(node.clone()),
            });
        }
    }
    for path in current.nodes.keys() {
        if !wanted.nodes.contains_key(path) {
            changes.push(Change {
                path: path.clone(),
                node: None,
            });
        }
    }
    changes
}

/// Returns the path of the pool of a service.
pub fn pool_of(service: &str) -> &str {
    service.rfind('/').map_or(service, |at| &service[..at])
}

fn depth(path: &str) -> usize {
    path.matches('/').count() + 1
}
