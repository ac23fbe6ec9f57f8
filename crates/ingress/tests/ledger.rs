//! Decisions about connections and bytes.
//!
//! Guards against a crowd of clients that stand still and take the place of all others.

use clock::Instant;
use havenladder_ingress::{Admission, Budget, ConnectionId, Hold, Ledger, Phase};
use std::time::Duration;
use yare::parameterized;

const BUDGET: Budget = Budget {
    connections: 3,
    bytes: 1_000,
};

const SECOND: Duration = Duration::from_secs(1);

/// A ledger whose time advances by a second with each call.
struct Site {
    ledger: Ledger,
    now: Instant,
}

impl Site {
    fn new() -> Self {
        Site {
            ledger: Ledger::new(BUDGET),
            now: Instant::now(),
        }
    }

    fn open(&mut self) -> Admission {
        self.now += SECOND;
        self.ledger.open(self.now + SECOND * 10, self.now)
    }

    /// Opens a connection for which there is room.
    fn admit(&mut self) -> ConnectionId {
        match self.open() {
            Admission::Admitted(id) => id,
            other => panic!("{other:?}"),
        }
    }

    fn enter(&mut self, id: ConnectionId, phase: Phase) {
        self.now += SECOND;
        let deadline = self.now + SECOND * 10;
        self.ledger.enter(id, phase, Some(deadline), self.now);
    }

    /// Opens a connection that has sent a part of a body.
    fn admit_body(&mut self, bytes: usize) -> ConnectionId {
        let id = self.admit();
        self.enter(id, Phase::Head);
        self.enter(id, Phase::Service);
        self.enter(id, Phase::Body);
        assert_eq!(self.ledger.hold(id, bytes), Hold::Granted);
        id
    }
}

#[parameterized(
    idle = { Phase::Idle },
    head = { Phase::Head },
    body = { Phase::Body },
)]
fn a_new_connection_replaces_the_one_that_waits_longest(phase: Phase) {
    let mut site = Site::new();
    let ids = [site.admit(), site.admit(), site.admit()];
    // Each begins a request, so that the second has waited longest.
    for id in [ids[1], ids[2], ids[0]] {
        site.enter(id, Phase::Head);
    }
    if phase != Phase::Head {
        site.enter(ids[1], phase);
    }
    let expected = match phase {
        Phase::Idle => ids[2],
        _ => ids[1],
    };
    match site.open() {
        Admission::InPlaceOf { closed, .. } => assert_eq!(closed, expected),
        other => panic!("{other:?}"),
    }
    assert!(site.ledger.is_over());
    site.ledger.close(expected);
    assert!(!site.ledger.is_over());
}

#[parameterized(
    service = { Phase::Service },
    response = { Phase::Response },
)]
fn a_connection_with_a_whole_request_is_not_replaced(phase: Phase) {
    let mut site = Site::new();
    for _ in 0..BUDGET.connections {
        let id = site.admit();
        site.enter(id, phase);
    }
    assert_eq!(site.open(), Admission::Full);
}

#[test]
fn a_small_request_is_not_refused_because_of_large_ones() {
    let mut site = Site::new();
    let small = site.admit_body(10);
    let old = site.admit_body(500);
    let new = site.admit_body(400);
    assert_eq!(site.ledger.hold(new, 600), Hold::InPlaceOf(vec![old]));
    assert_eq!(site.ledger.phase(small), Some(Phase::Body));
    assert_eq!(site.ledger.bytes(), 610);
}

#[test]
fn the_oldest_request_is_refused_even_if_it_is_the_one_to_grow() {
    let mut site = Site::new();
    let old = site.admit_body(500);
    let new = site.admit_body(450);
    assert_eq!(site.ledger.hold(old, 600), Hold::Refused(vec![]));
    assert_eq!(site.ledger.bytes(), 450);
    assert_eq!(site.ledger.hold(new, 900), Hold::Granted);
}

#[test]
fn a_whole_request_that_does_not_fit_is_refused_only_after_those_that_are_not_whole() {
    let mut site = Site::new();
    let answered = site.admit_body(700);
    site.enter(answered, Phase::Service);
    let partial = site.admit_body(200);
    let whole = site.admit();
    site.enter(whole, Phase::Service);
    assert_eq!(site.ledger.hold(whole, 300), Hold::InPlaceOf(vec![partial]));
    assert_eq!(site.ledger.hold(whole, 301), Hold::Refused(vec![]));
    assert_eq!(site.ledger.phase(answered), Some(Phase::Service));
}

#[test]
fn a_request_that_is_alone_may_hold_more_than_the_budget() {
    let mut site = Site::new();
    site.admit();
    let only = site.admit_body(900);
    assert_eq!(site.ledger.hold(only, 5_000), Hold::Granted);
    let other = site.admit();
    site.enter(other, Phase::Head);
    assert_eq!(site.ledger.hold(other, 10), Hold::InPlaceOf(vec![only]));
}

#[test]
fn a_lack_of_descriptors_lowers_the_budget() {
    let budget = Budget {
        connections: 100,
        bytes: 1_000,
    };
    let mut ledger = Ledger::new(budget);
    let now = Instant::now();
    let open = |ledger: &mut Ledger, after: u32| {
        let at = now + SECOND * after;
        ledger.open(at + SECOND, at)
    };
    let admitted = (1..=40).map(|after| open(&mut ledger, after));
    assert!(
        admitted
            .into_iter()
            .all(|a| matches!(a, Admission::Admitted(_)))
    );
    let closed = ledger.shrink();
    assert_eq!(closed, (1..=10).collect::<Vec<ConnectionId>>());
    closed.iter().for_each(|id| ledger.close(*id));
    assert!(!ledger.is_over());
    assert!(matches!(open(&mut ledger, 41), Admission::InPlaceOf { .. }));
    (0..35).for_each(|_| ledger.recover());
    let admitted = (42..=71).map(|after| open(&mut ledger, after));
    assert!(
        admitted
            .into_iter()
            .all(|a| matches!(a, Admission::Admitted(_)))
    );
    let none = Ledger::new(budget).shrink();
    assert_eq!(none, Vec::<ConnectionId>::new());
}

#[test]
fn a_connection_that_becomes_idle_holds_nothing() {
    let mut site = Site::new();
    let id = site.admit_body(900);
    site.enter(id, Phase::Service);
    site.enter(id, Phase::Response);
    assert_eq!(site.ledger.bytes(), 900);
    site.enter(id, Phase::Idle);
    assert_eq!(site.ledger.bytes(), 0);
}

#[test]
fn deadlines_are_kept_unless_the_process_did_not_run() {
    let mut site = Site::new();
    let id = site.admit();
    let late = site.now + SECOND * 11;
    assert_eq!(site.ledger.overdue(site.now), vec![]);
    assert_eq!(site.ledger.overdue(late), vec![(id, Phase::Idle)]);
    site.ledger.postpone(SECOND * 2);
    assert_eq!(site.ledger.overdue(late), vec![]);
}
