//! Which keys grant access to a workspace, and how they are read from headers.

use havenladder_workspaces::{Authorization, Key, Keyring, Workspace, read_authorization};
use jobs::Bound;
use std::rc::Rc;
use yare::parameterized;

fn key(text: &str) -> Key {
    Key::new(text).expect("a key")
}

fn workspace(id: &str, keys: &[&str]) -> Rc<Workspace> {
    Rc::new(Workspace {
        id: id.to_owned(),
        keys: keys.iter().map(|text| key(text).digest()).collect(),
        rate: 1.0,
        bound: Bound::NONE,
    })
}

#[test]
fn a_key_grants_access_to_its_workspace_only() {
    let mut keyring = Keyring::default();
    keyring.replace(&[workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    assert_eq!(keyring.find(&key("k2")).map(String::as_str), Some("a"));
    assert_eq!(keyring.find(&key("k3")).map(String::as_str), Some("b"));
    assert_eq!(keyring.find(&key("k4")), None);
}

#[test]
fn a_shared_key_grants_no_access_until_one_workspace_has_removed_it() {
    let mut keyring = Keyring::default();
    let b = workspace("b", &["k1"]);
    keyring.replace(&[workspace("a", &["k1", "k2"]), Rc::clone(&b)]);
    assert_eq!(keyring.find(&key("k1")), None);
    assert_eq!(keyring.shared_keys(), 1);
    keyring.replace(&[workspace("a", &["k2"]), b]);
    assert_eq!(keyring.find(&key("k1")).map(String::as_str), Some("b"));
}

#[test]
fn a_removed_key_grants_no_access_until_it_is_added_again() {
    let mut keyring = Keyring::default();
    keyring.replace(&[workspace("a", &["k1"])]);
    keyring.replace(&[workspace("a", &[])]);
    assert_eq!(keyring.find(&key("k1")), None);
    keyring.replace(&[workspace("b", &["k1"])]);
    assert_eq!(
        keyring.find(&key("k1")).map(String::as_str),
        Some("b"),
        "the key has moved"
    );
    keyring.replace(&[]);
    assert_eq!(keyring.find(&key("k1")), None);
}

#[test]
fn of_two_workspaces_with_the_same_name_the_first_counts() {
    let mut keyring = Keyring::default();
    keyring.replace(&[workspace("a", &["k1"]), workspace("a", &["k2"])]);
    assert!(keyring.find(&key("k1")).is_some());
    assert!(keyring.find(&key("k2")).is_none());
}

#[test]
fn an_updated_keyring_equals_a_new_one() {
    let rows = [
        workspace("a", &["k1", "k9"]),
        workspace("b", &["k2", "k9"]),
        workspace("c", &["k3"]),
    ];
    let mut updated = Keyring::default();
    updated.replace(&rows);
    let next = [
        Rc::clone(&rows[0]),
        workspace("b", &["k4"]),
        workspace("d", &["k3"]),
    ];
    updated.replace(&next);
    let mut rebuilt = Keyring::default();
    rebuilt.replace(&next);
    for text in ["k1", "k2", "k3", "k4", "k9"] {
        assert_eq!(updated.find(&key(text)), rebuilt.find(&key(text)), "{text}");
    }
}

#[parameterized(
    nothing = { &[], "missing" },
    key = { &["Token abc"], "key" },
    other_case = { &["token abc"], "key" },
    blanks = { &[" Token   abc "], "key" },
    other_scheme = { &["Bearer abc"], "malformed" },
    no_key = { &["Token"], "malformed" },
    empty_key = { &["Token "], "malformed" },
    two_words = { &["Token abc def"], "malformed" },
    twice = { &["Token abc", "Token abc"], "malformed" },
)]
fn an_authorization_has_one_scheme_and_one_key(values: &[&str], expected: &str) {
    let read = read_authorization("Token", values.iter().map(|value| Some(*value)));
    let name = match read {
        Authorization::Missing => "missing",
        Authorization::Malformed => "malformed",
        Authorization::Key(_) => "key",
    };
    assert_eq!(name, expected);
}

#[test]
fn a_header_that_is_not_text_or_too_long_is_malformed() {
    assert!(matches!(
        read_authorization("Token", [None]),
        Authorization::Malformed
    ));
    let long = format!("Token {}", "k".repeat(600));
    let read = read_authorization("Token", [Some(long.as_str())]);
    assert!(matches!(read, Authorization::Malformed));
}

#[test]
fn debug_output_does_not_reveal_keys() {
    let secret = "verysecretkey";
    let shown = format!(
        "{:?} {:?} {:?} {:?}",
        key(secret),
        key(secret).digest(),
        read_authorization("Token", [Some("Token verysecretkey")]),
        workspace("a", &[secret]),
    );
    assert!(!shown.contains(secret), "{shown}");
}
