//! Inheritance: what is in force for a service, and which level each value came from.

use crate::{
    node::{Budget, Class, Node},
    tree::{Path, Tree},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A key that every level may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// [`Node::unavailable`].
    Unavailable,
    /// [`Node::objective`].
    Objective,
    /// [`Node::class`].
    Class,
    /// [`Node::timeout_ms`].
    TimeoutMs,
    /// [`Node::repeatable`].
    Repeatable,
    /// [`Node::body_limit`].
    BodyLimit,
    /// [`Node::queue_limit`].
    QueueLimit,
}

impl Key {
    /// All keys, in the order of the documentation.
    pub const ALL: [Self; 7] = [
        Self::Unavailable,
        Self::Objective,
        Self::Class,
        Self::TimeoutMs,
        Self::Repeatable,
        Self::BodyLimit,
        Self::QueueLimit,
    ];

    /// The key as it stands in a file.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::Objective => "objective",
            Self::Class => "class",
            Self::TimeoutMs => "timeout_ms",
            Self::Repeatable => "repeatable",
            Self::BodyLimit => "body_limit",
            Self::QueueLimit => "queue_limit",
        }
    }
}

/// What is in force for one service; the default holds where no level sets a value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How much may be unavailable at once.
    pub unavailable: Budget,
    /// Share of requests to be done once, whole and in time.
    pub objective: f64,
    /// Urgency.
    pub class: Class,
    /// Time that a request has when its caller names no deadline.
    pub timeout: Duration,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// The largest body of a request and of an answer, in bytes.
    pub body_limit: usize,
    /// The most requests that wait in one entry.
    pub queue_limit: usize,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            unavailable: Budget::Percent(10),
            objective: 0.99,
            class: Class::Ordinary,
            timeout: Duration::from_secs(10),
            repeatable: true,
            body_limit: 1 << 20,
            queue_limit: 1_000,
        }
    }
}

impl Service {
    /// Resolves the service at `path`.
    pub fn resolve(tree: &Tree, path: &str) -> Self {
        let mut service = Self::default();
        if let Some(unavailable) = lowest(tree, path, |node| node.unavailable) {
            service.unavailable = unavailable;
        }
        if let Some(objective) = lowest(tree, path, |node| node.objective) {
            service.objective = objective;
        }
        if let Some(class) = lowest(tree, path, |node| node.class) {
            service.class = class;
        }
        if let Some(timeout) = lowest(tree, path, |node| node.timeout_ms) {
            service.timeout = Duration::from_millis(timeout);
        }
        if let Some(repeatable) = lowest(tree, path, |node| node.repeatable) {
            service.repeatable = repeatable;
        }
        if let Some(limit) = lowest(tree, path, |node| node.body_limit) {
            service.body_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        }
        if let Some(limit) = lowest(tree, path, |node| node.queue_limit) {
            service.queue_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        }
        service
    }
}

/// Tells whether VMs of `hall` may serve at `path`; they may wherever no level names halls.
pub fn admits_hall(tree: &Tree, path: &str, hall: &str) -> bool {
    let named = Tree::levels(path).find_map(|level| tree.nodes.get(level)?.halls.as_ref());
    named.is_none_or(|halls| halls.iter().any(|name| name == hall))
}

/// Where the value of one key came from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// The key.
    pub key: Key,
    /// The value in force, as it would stand in a file.
    pub value: serde_json::Value,
    /// The level that set it; `None` for the documented default.
    pub level: Option<Path>,
}

/// Returns for each key what is in force at `path` and which level set it.
pub fn sources(tree: &Tree, path: &str) -> Vec<Source> {
    let service = Service::resolve(tree, path);
    Key::ALL
        .into_iter()
        .map(|key| Source {
            key,
            value: value_of(&service, key),
            level: level_of(tree, path, key),
        })
        .collect()
}

fn value_of(service: &Service, key: Key) -> serde_json::Value {
    match key {
        Key::Unavailable => service.unavailable.to_string().into(),
        Key::Objective => service.objective.into(),
        Key::Class => serde_json::json!(service.class),
        Key::TimeoutMs => serde_json::json!(service.timeout.as_millis()),
        Key::Repeatable => service.repeatable.into(),
        Key::BodyLimit => service.body_limit.into(),
        Key::QueueLimit => service.queue_limit.into(),
    }
}

fn level_of(tree: &Tree, path: &str, key: Key) -> Option<Path> {
    let sets = |node: &Node| match key {
        Key::Unavailable => node.unavailable.is_some(),
        Key::Objective => node.objective.is_some(),
        Key::Class => node.class.is_some(),
        Key::TimeoutMs => node.timeout_ms.is_some(),
        Key::Repeatable => node.repeatable.is_some(),
        Key::BodyLimit => node.body_limit.is_some(),
        Key::QueueLimit => node.queue_limit.is_some(),
    };
    Tree::levels(path)
        .find(|level| tree.nodes.get(*level).is_some_and(sets))
        .map(str::to_owned)
}

fn lowest<T>(tree: &Tree, path: &str, value: impl Fn(&Node) -> Option<T>) -> Option<T> {
    Tree::levels(path).find_map(|level| tree.nodes.get(level).and_then(&value))
}
