//! Reads a settings file into a tree.

use crate::{
    document::{Document, Fields},
    finding::Findings,
    node::{Budget, Class, Node},
    tree::Tree,
};

/// Maximum time limit that a service may give its requests: one day.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1_000;

/// Maximum body size that a service may allow, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum queue length that a service may have in one entry.
const MAX_QUEUE_LENGTH: u64 = 100_000;

/// Maximum number of VMs that a pool may request.
const MAX_VMS: u64 = 100_000;

/// Reads `text`, which the operator knows as `file`.
///
/// # Errors
///
/// Returns all findings together.
pub fn read_tree(file: &str, text: &str) -> Result<Tree, Findings> {
    Document::new(file, text).read(|places| {
        let mut tree = Tree::default();
        places.each(|name, place| read_place(&mut tree, name, place));
        tree
    })
}

fn read_place(tree: &mut Tree, path: &str, fields: &Fields<'_>) {
    tree.nodes.insert(path.to_owned(), read_node(fields));
    fields.object("pools", |pools| {
        pools.each(|name, pool| read_pool(tree, &format!("{path}/{name}"), pool));
    });
}

fn read_pool(tree: &mut Tree, path: &str, fields: &Fields<'_>) {
    let mut node = read_node(fields);
    node.vms = fields
        .number("vms", 0..=MAX_VMS)
        .and_then(|vms| u32::try_from(vms).ok());
    tree.nodes.insert(path.to_owned(), node);
    fields.object("services", |services| {
        services.each(|name, service| {
            tree.nodes
                .insert(format!("{path}/{name}"), read_node(service));
        });
    });
}

fn read_node(fields: &Fields<'_>) -> Node {
    Node {
        unavailable: read_budget(fields),
        objective: fields.share("objective"),
        class: read_class(fields),
        timeout_ms: fields.number("timeout_ms", 1..=MAX_TIMEOUT_MS),
        repeatable: fields.flag("repeatable"),
        body_limit: fields.number("body_limit", 0..=MAX_BODY_BYTES),
        queue_limit: fields.number("queue_limit", 0..=MAX_QUEUE_LENGTH),
        halls: fields.texts("halls"),
        vms: None,
    }
}

fn read_budget(fields: &Fields<'_>) -> Option<Budget> {
    const EXPECTED: &str = "a count of slots or a share such as \"20%\"";
    let text = fields.text_or_number("unavailable", EXPECTED)?;
    match text.parse() {
        Ok(budget) => Some(budget),
        Err(error) => {
            fields.report("unavailable", format!("{error}"));
            None
        }
    }
}

fn read_class(fields: &Fields<'_>) -> Option<Class> {
    fields.parsed("class", "\"preview\", \"ordinary\" or \"large\"")
}
