//! Decisions of the scheduler, tested without sockets or clocks.

use havenladder_serving::{
    AttemptEnd, AttemptId, ClaimDecision, Command, Event, Job, NotRunReason, Outcome, Peer,
    Scheduler, Target, WorkerInfo,
};
use settings::{Class, Service};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

const SERVICE: &str = "place/pool/service";
const LARGE: &str = "place/pool/large";

/// Scheduler with a clock of its own and workers that end attempts when the test says so.
struct Harness {
    scheduler: Scheduler,
    now: Instant,
    next: u64,
    sent: Vec<(u64, AttemptId, Target)>,
    answers: HashMap<u64, Outcome>,
    claims: Vec<u64>,
    stopped: Vec<AttemptId>,
    ejections: u32,
}

impl Harness {
    fn new(workers: usize, slots: u32) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::new(7),
            now: Instant::now(),
            next: 0,
            sent: Vec::new(),
            answers: HashMap::new(),
            claims: Vec::new(),
            stopped: Vec::new(),
            ejections: 0,
        };
        let large = Service {
            class: Class::Large,
            ..Service::default()
        };
        let services = [
            (SERVICE.to_owned(), Service::default()),
            (LARGE.to_owned(), large),
        ];
        harness.handle(Event::Services(BTreeMap::from(services)));
        harness.set_workers(workers, slots);
        harness
    }

    fn set_workers(&mut self, workers: usize, slots: u32) {
        let infos = (0..workers).map(|number| WorkerInfo {
            vm: format!("vm-{number}"),
            addr: format!("addr-{number}"),
            pool: "place/pool".into(),
            slots,
        });
        self.handle(Event::Workers(infos.collect()));
    }

    fn handle(&mut self, event: Event) {
        for command in self.scheduler.handle(event, self.now) {
            match command {
                Command::Claim(id) => self.claims.push(id),
                Command::Send {
                    request,
                    attempt,
                    target,
                    ..
                } => {
                    self.sent.push((request, attempt, target));
                }
                Command::Stop(attempt) => self.stopped.push(attempt),
                Command::Eject(..) => self.ejections += 1,
                Command::Answer(id, outcome) => {
                    assert!(self.answers.insert(id, outcome).is_none(), "two outcomes");
                }
            }
        }
    }

    fn arrive(&mut self, service: &str, ms: u64, repeatable: bool) -> u64 {
        self.next += 1;
        let class = if service == LARGE {
            Class::Large
        } else {
            Class::Ordinary
        };
        self.handle(Event::Arrived(Job {
            id: self.next,
            service: service.into(),
            class,
            deadline: self.now + Duration::from_millis(ms),
            repeatable,
            forwarded: false,
        }));
        self.next
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Ends the newest attempt of a request.
    fn end(&mut self, request: u64, end: AttemptEnd) {
        let (_, attempt, _) = self
            .sent
            .iter()
            .rfind(|sent| sent.0 == request)
            .expect("sent");
        let attempt = *attempt;
        self.handle(Event::Ended(attempt, end));
    }

    fn attempts(&self, request: u64) -> usize {
        self.sent.iter().filter(|sent| sent.0 == request).count()
    }

    fn why(&self, request: u64) -> Option<NotRunReason> {
        match self.answers.get(&request) {
            Some(Outcome::NotRun(refusal)) => Some(refusal.reason),
            _ => None,
        }
    }

    /// Runs requests so that the scheduler measures this run time for the service.
    fn learn(&mut self, service: &str, ms: u64) {
        for _ in 0..3 {
            let id = self.arrive(service, 1_000_000, true);
            self.advance(ms);
            self.end(id, AttemptEnd::Done);
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut harness = Harness::new(2, 1);
    let id = harness.arrive(SERVICE, 1_000, true);
    harness.end(id, AttemptEnd::Broken);
    for _ in 0..40 {
        if harness.answers.contains_key(&id) {
            break;
        }
        harness.advance(210);
        harness.handle(Event::Tick);
        if harness.sent.last().is_some_and(|sent| sent.0 == id)
            && !harness.answers.contains_key(&id)
        {
            harness.end(id, AttemptEnd::Refused);
        }
    }
    assert!(
        matches!(harness.answers[&id], Outcome::Unknown(_)),
        "{:?}",
        harness.answers[&id]
    );
}

#[yare::parameterized(
    broken = { AttemptEnd::Broken },
    failed = { AttemptEnd::Failed }
)]
fn a_request_that_must_not_be_repeated_is_sent_once(end: AttemptEnd) {
    let mut harness = Harness::new(3, 1);
    let id = harness.arrive(SERVICE, 1_000, false);
    assert_eq!(harness.attempts(id), 0, "sent before its claim was decided");
    harness.handle(Event::Claimed(id, ClaimDecision::Won));
    harness.end(id, end);
    assert_eq!(harness.answers[&id], Outcome::Unknown(end));
    assert_eq!(harness.attempts(id), 1);
}

#[yare::parameterized(
    refused = { AttemptEnd::Refused },
    not_sent = { AttemptEnd::NotSent }
)]
fn a_request_that_certainly_did_not_run_is_retried_elsewhere(end: AttemptEnd) {
    let mut harness = Harness::new(3, 1);
    let id = harness.arrive(SERVICE, 1_000, false);
    harness.handle(Event::Claimed(id, ClaimDecision::Won));
    harness.end(id, end);
    assert_eq!(harness.attempts(id), 2);
    assert_ne!(
        harness.sent[0].2, harness.sent[1].2,
        "the same worker again"
    );
    harness.end(id, AttemptEnd::Done);
    assert!(matches!(harness.answers[&id], Outcome::Done(_)));
}

#[test]
fn retries_are_limited_to_a_share_of_the_traffic() {
    let mut harness = Harness::new(4, 100);
    let mut attempts = 0;
    for _ in 0..1_000 {
        let id = harness.arrive(SERVICE, 10_000, true);
        while !harness.answers.contains_key(&id) {
            harness.end(id, AttemptEnd::Broken);
            harness.advance(1);
            harness.handle(Event::Tick);
            if !harness.scheduler.is_empty() && harness.attempts(id) == 0 {
                break;
            }
        }
        attempts += harness.attempts(id);
        harness.advance(70_000);
    }
    assert!(
        attempts <= 1_000 + 100 + 20,
        "{attempts} attempts for 1,000 requests"
    );
}

#[test]
fn a_worker_that_fails_every_task_is_ejected_and_tried_again() {
    let mut harness = Harness::new(6, 4);
    let mut failures = 0;
    for _ in 0..600 {
        let id = harness.arrive(SERVICE, 60_000, false);
        harness.handle(Event::Claimed(id, ClaimDecision::Won));
        let bad = harness.sent.last().expect("sent").2 == Target::Worker("vm-0".into());
        failures += u32::from(bad);
        harness.end(
            id,
            if bad {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Done
            },
        );
        harness.advance(10);
    }
    // In 6 s, the worker fails its first three tasks, then one on trial after 1 s, one after 2 s more, and so
    // on.
    assert!(
        (4..=8).contains(&failures),
        "{failures} tasks to the failing worker"
    );
    assert_eq!(harness.ejections, failures - 2, "each ejection is reported");
}

#[test]
fn at_most_a_third_of_the_workers_is_ejected() {
    let mut harness = Harness::new(6, 4);
    for _ in 0..300 {
        let id = harness.arrive(SERVICE, 60_000, false);
        harness.handle(Event::Claimed(id, ClaimDecision::Won));
        harness.end(id, AttemptEnd::Failed);
        harness.advance(1);
    }
    let used: std::collections::BTreeSet<String> = harness.sent[250..]
        .iter()
        .map(|(_, _, target)| format!("{target:?}"))
        .collect();
    assert!(used.len() >= 4, "only {used:?} are still used");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_with_a_retry_time() {
    let mut harness = Harness::new(1, 1);
    harness.learn(SERVICE, 100);
    let running = harness.arrive(SERVICE, 10_000, true);
    for _ in 0..9 {
        harness.arrive(SERVICE, 10_000, true);
    }
    let id = harness.arrive(SERVICE, 500, true);
    let earlier = harness.arrive(SERVICE, 700, true);
    assert_eq!(harness.attempts(running), 1);
    assert_eq!(harness.why(id), None, "an early deadline goes in front");
    let too_late = harness.arrive(SERVICE, 50, true);
    assert_eq!(harness.why(too_late), Some(NotRunReason::Overload));
    let Outcome::NotRun(refusal) = harness.answers[&too_late] else {
        panic!("not refused");
    };
    assert!(refusal.retry_at > harness.now);
    assert!(!harness.answers.contains_key(&earlier));
}

#[test]
fn a_request_that_becomes_too_late_in_the_queue_is_refused_then() {
    let mut harness = Harness::new(1, 1);
    harness.learn(SERVICE, 100);
    harness.arrive(SERVICE, 10_000, true);
    let waits = harness.arrive(SERVICE, 400, true);
    assert!(!harness.answers.contains_key(&waits));
    harness.advance(320);
    harness.handle(Event::Tick);
    assert_eq!(harness.why(waits), Some(NotRunReason::Overload));
}

#[test]
fn no_class_is_starved() {
    let mut harness = Harness::new(1, 4);
    harness.learn(SERVICE, 10);
    harness.learn(LARGE, 10);
    for _ in 0..200 {
        harness.arrive(SERVICE, 1_000_000, true);
        harness.arrive(LARGE, 1_000_000, true);
    }
    let from = harness.sent.len();
    let mut large = 0;
    for step in 0..100 {
        let id = harness.sent[from - 4 + step].0;
        harness.advance(3);
        harness.end(id, AttemptEnd::Done);
    }
    for (id, _, _) in &harness.sent[from..] {
        // The large requests got the even numbers, after the six requests of the two calls of `learn`.
        large += u32::from((id - 6) % 2 == 0);
    }
    assert!((20..=60).contains(&large), "{large} of 100 were large");
}

#[test]
fn cancellations_free_queue_and_workers_at_once() {
    let mut harness = Harness::new(1, 2);
    harness.learn(SERVICE, 10);
    let ids: Vec<u64> = (0..50)
        .map(|_| harness.arrive(SERVICE, 100_000, true))
        .collect();
    let last = ids[49];
    for id in &ids[..49] {
        harness.handle(Event::Cancelled(*id));
    }
    assert_eq!(harness.attempts(last), 1, "the last one runs at once");
    assert_eq!(harness.stopped.len(), harness.sent.len() - 3 - 1);
    assert_eq!(harness.scheduler.len(), 1);
}

#[test]
fn a_claim_won_after_the_caller_disconnected_is_not_run() {
    let mut harness = Harness::new(1, 1);
    let id = harness.arrive(SERVICE, 1_000, false);
    harness.handle(Event::Cancelled(id));
    harness.handle(Event::Claimed(id, ClaimDecision::Won));
    assert_eq!(harness.why(id), Some(NotRunReason::Cancelled));
    assert_eq!(harness.attempts(id), 0);
}

#[test]
fn a_late_response_to_an_earlier_attempt_is_dropped() {
    let mut harness = Harness::new(2, 1);
    let id = harness.arrive(SERVICE, 10_000, true);
    let first = harness.sent[0].1;
    harness.handle(Event::Ended(first, AttemptEnd::Broken));
    assert_eq!(harness.attempts(id), 2);
    harness.handle(Event::Ended(first, AttemptEnd::Done));
    assert!(!harness.answers.contains_key(&id));
    harness.end(id, AttemptEnd::Done);
    assert_eq!(harness.answers[&id], Outcome::Done(harness.sent[1].1));
}

#[test]
fn a_data_centre_without_workers_forwards_requests_once() {
    let mut harness = Harness::new(0, 0);
    let id = harness.arrive(SERVICE, 1_000, true);
    assert_eq!(harness.why(id), Some(NotRunReason::NoWorker));
    let capacity = protocol::Capacity { slots: 8, taken: 0 };
    harness.handle(Event::Peers(vec![Peer {
        entry: "other".into(),
        addr: "addr".into(),
        capacity: BTreeMap::from([(SERVICE.to_owned(), capacity)]),
    }]));
    let id = harness.arrive(SERVICE, 1_000, true);
    assert_eq!(
        harness.sent.last().expect("sent").2,
        Target::Peer("other".into())
    );
    harness.end(id, AttemptEnd::Refused);
    assert_eq!(harness.why(id), Some(NotRunReason::Refused));
}

#[test]
fn waiting_requests_are_refused_when_their_last_worker_leaves() {
    let mut harness = Harness::new(1, 1);
    harness.arrive(SERVICE, 10_000, true);
    let waits = harness.arrive(SERVICE, 10_000, true);
    harness.set_workers(0, 0);
    harness.handle(Event::Tick);
    assert_eq!(harness.why(waits), Some(NotRunReason::NoWorker));
}

#[test]
fn requests_go_to_the_less_loaded_of_two_workers() {
    let mut harness = Harness::new(8, 64);
    for _ in 0..256 {
        harness.arrive(SERVICE, 100_000, true);
    }
    let mut loads: HashMap<String, u32> = HashMap::new();
    for (_, _, target) in &harness.sent {
        *loads.entry(format!("{target:?}")).or_default() += 1;
    }
    let (min, max) = (loads.values().min(), loads.values().max());
    assert!(max.expect("loads") - min.expect("loads") <= 6, "{loads:?}");
}
