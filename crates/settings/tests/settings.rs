//! Settings tree: findings with their positions, inheritance, and differences between trees.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_settings::{
    Budget, Class, Key, Service, Tree, admits_hall, diff, nearest, pool_of, read_tree, sources,
};
use std::time::Duration;

const GOOD: &str = r#"
// A comment.
{
  "place": {
    "unavailable": "25%", "objective": 0.95, "halls": ["hall-1", "hall-2"],
    "pools": {
      "pool": {
        "vms": 3, "timeout_ms": 500, "unavailable": 8,
        "services": {
          "low": { "timeout_ms": 100, "class": "large" },
          "plain": {},
        }
      },
      "other": { "halls": ["hall-2"], "services": { "last": {} } }
    }
  }
}"#;

fn good() -> Tree {
    read_tree("good", GOOD).unwrap()
}

#[test]
fn the_lowest_level_that_sets_a_value_wins() {
    let tree = good();
    let low = Service::resolve(&tree, "place/pool/low");
    assert_eq!(low.timeout, Duration::from_millis(100));
    assert_eq!(low.class, Class::Large);
    assert_eq!(low.unavailable, Budget::Slots(8));
    assert_eq!(low.objective, 0.95);
    let plain = Service::resolve(&tree, "place/pool/plain");
    assert_eq!(plain.timeout, Duration::from_millis(500));
    assert_eq!(plain.body_limit, Service::default().body_limit);
    let last = Service::resolve(&tree, "place/other/last");
    assert_eq!(last.unavailable, Budget::Percent(25));
    assert_eq!(tree.nodes["place/pool"].vms, Some(3));
}

#[test]
fn every_value_names_the_level_that_set_it() {
    let sources = sources(&good(), "place/pool/low");
    let level = |key| {
        let source = sources.iter().find(|source| source.key == key);
        source.unwrap().level.clone()
    };
    assert_eq!(level(Key::TimeoutMs).as_deref(), Some("place/pool/low"));
    assert_eq!(level(Key::Unavailable).as_deref(), Some("place/pool"));
    assert_eq!(level(Key::Objective).as_deref(), Some("place"));
    assert_eq!(level(Key::QueueLimit), None);
}

#[test]
fn data_centres_are_inherited_as_a_whole_list() {
    let tree = good();
    assert!(admits_hall(&tree, "place/pool", "hall-1"));
    assert!(!admits_hall(&tree, "place/other", "hall-1"));
    assert!(!admits_hall(&tree, "place/pool", "hall-3"));
}

#[test]
fn all_findings_are_reported_together_with_their_positions() {
    let text = "{\n  \"place\": {\n    \"unavailabel\": \"10%\",\n    \"objective\": 1.5,\n    \
                \"pools\": { \"Pool\": {}, \"p\": { \"vms\": -1, \"services\": { \"s\": { \
                \"repeatable\": \"no\" } } } }\n  }\n}";
    let findings = read_tree("file.jsonc", text).unwrap_err();
    let lines: Vec<String> = findings.0.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 5, "{lines:#?}");
    let has = |text: &str| lines.iter().any(|line| line.contains(text));
    assert!(has(
        "file.jsonc:3:5: place.unavailabel: unknown key; did you mean `unavailable`?"
    ));
    assert!(has(
        "file.jsonc:4:18: place.objective: must be a number above 0 and below 1"
    ));
    assert!(has("place.pools.Pool: names hold only"));
    assert!(has("place.pools.p.vms: must be a whole number"));
    assert!(has(
        "place.pools.p.services.s.repeatable: must be true or false"
    ));
}

#[yare::parameterized(
    empty = { "", "empty" },
    cut_off = { "{ \"a\": {", "" },
    a_list = { "[]", "must hold one object" },
    twice = { "{ \"a\": {}, \"a\": {} }", "set twice" },
    not_an_object = { "{ \"a\": 3 }", "must be an object" },
    percent = { "{ \"a\": { \"unavailable\": \"120%\" } }", "count of slots or a share" },
    missing_comma = { "{ \"a\": {} \"b\": {} }", "" },
)]
fn an_invalid_file_gives_findings_and_no_tree(text: &str, message: &str) {
    let findings = read_tree("f", text).unwrap_err();
    assert!(findings.to_string().contains(message), "{findings}");
}

#[test]
fn the_changes_turn_one_tree_into_the_other() {
    let (from, to) = (
        good(),
        read_tree("f", "{ \"place\": { \"objective\": 0.9 } }").unwrap(),
    );
    let mut tree = from.clone();
    let changes = diff(&from, &to);
    assert_eq!(changes.len(), 6);
    for change in changes {
        match change.node {
            Some(node) => tree.nodes.insert(change.path, node),
            None => tree.nodes.remove(&change.path),
        };
    }
    assert_eq!(tree, to);
    assert!(diff(&tree, &to).is_empty());
}

#[yare::parameterized(
    share = { "25%", 10, Some(2) },
    none = { "0%", 80, Some(0) },
    slots = { "12", 80, Some(12) },
    more_than_all = { "90", 80, Some(80) },
    words = { "many", 80, None },
    below = { "-1", 80, None },
)]
fn budgets_are_rounded_down_to_whole_slots(text: &str, capacity: u32, slots: Option<u32>) {
    let budget: Option<Budget> = text.parse().ok();
    assert_eq!(budget.map(|budget| budget.slots(capacity)), slots);
}

#[test]
fn only_similar_names_are_suggested() {
    let known = ["unavailable", "objective"];
    assert_eq!(nearest("objectiv", known), Some("objective"));
    assert_eq!(nearest("zzz", known), None);
    assert_eq!(pool_of("place/pool/service"), "place/pool");
}
