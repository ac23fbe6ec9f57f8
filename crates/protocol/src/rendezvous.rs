//! Rendezvous hashing: determines without communication which of the live entries does a piece of work.

use crate::{EntryId, HallId};
use std::{cmp::Reverse, collections::BTreeMap};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the weight of `node` for `key`. The node with the highest weight is preferred.
fn weight(node: &str, key: &str) -> u64 {
    let mut bytes = Vec::with_capacity(node.len() + key.len() + 1);
    bytes.extend_from_slice(node.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_64(&bytes)
}

/// Returns `nodes` in order of preference for `key`.
///
/// # Examples
///
/// ```
/// let order = havenladder_protocol::ranked(["a", "b"], "vm-1");
/// assert_eq!(order.len(), 2);
/// ```
pub fn ranked<'a>(nodes: impl IntoIterator<Item = &'a str>, key: &str) -> Vec<&'a str> {
    let mut order: Vec<&str> = nodes.into_iter().collect();
    order.sort_by_key(|node| (Reverse(weight(node, key)), *node));
    order
}

/// Returns the preferred member for `key` among those in the data centre `hall`, or `None` if there is none.
pub fn first_in_hall<'a>(
    members: &'a BTreeMap<EntryId, HallId>,
    hall: &str,
    key: &str,
) -> Option<&'a str> {
    let in_hall = members
        .iter()
        .filter(|(_, other)| *other == hall)
        .map(|(entry, _)| entry.as_str());
    ranked(in_hall, key).first().copied()
}

/// Returns the rank of `node` among `nodes` for `key`, where 0 is the most preferred, or `None` if `node` is not one
/// of them.
pub fn rank<'a>(nodes: impl IntoIterator<Item = &'a str>, node: &str, key: &str) -> Option<usize> {
    ranked(nodes, key).iter().position(|other| *other == node)
}
