//! Inheritance: the values in force for a service, and the level that each value comes from.

use crate::{
    node::{Budget, Class, Node},
    tree::{Path, Tree},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key that every level may set.
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

    /// Returns the key as it is written in a file.
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

/// Values in force for one service. A value that no level sets has its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Part of the capacity that may be unavailable at a time.
    pub unavailable: Budget,
    /// Objective: share of requests that must be done once, completely and in time.
    pub objective: f64,
    /// Urgency of the requests.
    pub class: Class,
    /// Time limit for requests whose callers set no deadline.
    pub timeout: Duration,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// Maximum size of the body of a request and of a response, in bytes.
    pub body_limit: usize,
    /// Maximum number of requests that wait in one entry.
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
    /// Resolves the values in force for the service at `path`.
    pub fn resolve(tree: &Tree, path: &str) -> Self {
        let mut service = Self::default();
        if let Some(unavailable) = lowest_set(tree, path, |node| node.unavailable) {
            service.unavailable = unavailable;
        }
        if let Some(objective) = lowest_set(tree, path, |node| node.objective) {
            service.objective = objective;
        }
        if let Some(class) = lowest_set(tree, path, |node| node.class) {
            service.class = class;
        }
        if let Some(timeout) = lowest_set(tree, path, |node| node.timeout_ms) {
            service.timeout = Duration::from_millis(timeout);
        }
        if let Some(repeatable) = lowest_set(tree, path, |node| node.repeatable) {
            service.repeatable = repeatable;
        }
        if let Some(limit) = lowest_set(tree, path, |node| node.body_limit) {
            service.body_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        }
        if let Some(limit) = lowest_set(tree, path, |node| node.queue_limit) {
            service.queue_limit = usize::try_from(limit).unwrap_or(usize::MAX);
        }
        service
    }
}

/// Returns whether VMs of the data centre `hall` may serve at `path`. All may if no level names data centres.
pub fn admits_hall(tree: &Tree, path: &str, hall: &str) -> bool {
    let named = Tree::levels(path).find_map(|level| tree.nodes.get(level)?.halls.as_ref());
    named.is_none_or(|halls| halls.iter().any(|name| name == hall))
}

/// Origin of the value of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// Key of the value.
    pub key: Key,
    /// Value in force, as it would be written in a file.
    pub value: serde_json::Value,
    /// Level that sets the value, or `None` for the documented default.
    pub level: Option<Path>,
}

/// Returns for each key the value in force at `path` and the level that sets it.
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

fn lowest_set<T>(tree: &Tree, path: &str, value: impl Fn(&Node) -> Option<T>) -> Option<T> {
    Tree::levels(path).find_map(|level| tree.nodes.get(level).and_then(&value))
}
