//! The scheduler's decisions, without sockets or clocks.

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

/// A scheduler with a clock of its own and workers that end attempts when told.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    next: u64,
    sent: Vec<(u64, AttemptId, Target)>,
    answers: HashMap<u64, Outcome>,
    claims: Vec<u64>,
    stopped: Vec<AttemptId>,
    set_aside: u32,
}

impl Bench {
    fn new(workers: usize, slots: u32) -> Self {
        let mut bench = Self {
            scheduler: Scheduler::new(7),
            now: Instant::now(),
            next: 0,
            sent: Vec::new(),
            answers: HashMap::new(),
            claims: Vec::new(),
            stopped: Vec::new(),
            set_aside: 0,
        };
        let large = Service {
            class: Class::Large,
            ..Service::default()
        };
        let services = [
            (SERVICE.to_owned(), Service::default()),
            (LARGE.to_owned(), large),
        ];
        bench.tell(Event::Services(BTreeMap::from(services)));
        bench.set_workers(workers, slots);
        bench
    }

    fn set_workers(&mut self, workers: usize, slots: u32) {
        let infos = (0..workers).map(|number| WorkerInfo {
            vm: format!("vm-{number}"),
            addr: format!("addr-{number}"),
            pool: "place/pool".into(),
            slots,
        });
        self.tell(Event::Workers(infos.collect()));
    }

    fn tell(&mut self, event: Event) {
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
                Command::Eject(..) => self.set_aside += 1,
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
        self.tell(Event::Arrived(Job {
            id: self.next,
            service: service.into(),
            class,
            deadline: self.now + Duration::from_millis(ms),
            repeatable,
            forwarded: false,
        }));
        self.next
    }

    fn pass(&mut self, ms: u64) {
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
        self.tell(Event::Ended(attempt, end));
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

    /// Teaches the scheduler that the service takes this long.
    fn learn(&mut self, service: &str, ms: u64) {
        for _ in 0..3 {
            let id = self.arrive(service, 1_000_000, true);
            self.pass(ms);
            self.end(id, AttemptEnd::Done);
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_never_told_not_run() {
    let mut bench = Bench::new(2, 1);
    let id = bench.arrive(SERVICE, 1_000, true);
    bench.end(id, AttemptEnd::Broken);
    for _ in 0..40 {
        if bench.answers.contains_key(&id) {
            break;
        }
        bench.pass(210);
        bench.tell(Event::Tick);
        if bench.sent.last().is_some_and(|sent| sent.0 == id) && !bench.answers.contains_key(&id) {
            bench.end(id, AttemptEnd::Refused);
        }
    }
    assert!(
        matches!(bench.answers[&id], Outcome::Unknown(_)),
        "{:?}",
        bench.answers[&id]
    );
}

#[yare::parameterized(
    broken = { AttemptEnd::Broken },
    failed = { AttemptEnd::Failed },
)]
fn a_request_that_must_not_be_repeated_is_sent_once(end: AttemptEnd) {
    let mut bench = Bench::new(3, 1);
    let id = bench.arrive(SERVICE, 1_000, false);
    assert_eq!(bench.attempts(id), 0, "sent before its claim was decided");
    bench.tell(Event::Claimed(id, ClaimDecision::Won));
    bench.end(id, end);
    assert_eq!(bench.answers[&id], Outcome::Unknown(end));
    assert_eq!(bench.attempts(id), 1);
}

#[yare::parameterized(
    refused = { AttemptEnd::Refused },
    not_sent = { AttemptEnd::NotSent },
)]
fn a_certain_not_run_is_tried_elsewhere(end: AttemptEnd) {
    let mut bench = Bench::new(3, 1);
    let id = bench.arrive(SERVICE, 1_000, false);
    bench.tell(Event::Claimed(id, ClaimDecision::Won));
    bench.end(id, end);
    assert_eq!(bench.attempts(id), 2);
    assert_ne!(bench.sent[0].2, bench.sent[1].2, "the same worker again");
    bench.end(id, AttemptEnd::Done);
    assert!(matches!(bench.answers[&id], Outcome::Done(_)));
}

#[test]
fn retries_are_a_share_of_traffic() {
    let mut bench = Bench::new(4, 100);
    let mut attempts = 0;
    for _ in 0..1_000 {
        let id = bench.arrive(SERVICE, 10_000, true);
        while !bench.answers.contains_key(&id) {
            bench.end(id, AttemptEnd::Broken);
            bench.pass(1);
            bench.tell(Event::Tick);
            if !bench.scheduler.is_empty() && bench.attempts(id) == 0 {
                break;
            }
        }
        attempts += bench.attempts(id);
        bench.pass(70_000);
    }
    assert!(
        attempts <= 1_000 + 100 + 20,
        "{attempts} attempts for 1,000 requests"
    );
}

#[test]
fn a_worker_that_fails_everything_is_set_aside_and_tried_again() {
    let mut bench = Bench::new(6, 4);
    let mut failures = 0;
    for _ in 0..600 {
        let id = bench.arrive(SERVICE, 60_000, false);
        bench.tell(Event::Claimed(id, ClaimDecision::Won));
        let bad = bench.sent.last().expect("sent").2 == Target::Worker("vm-0".into());
        failures += u32::from(bad);
        bench.end(
            id,
            if bad {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Done
            },
        );
        bench.pass(10);
    }
    // 6 s: the first three, then one trial after 1 s, after 2 s more, and so on.
    assert!(
        (4..=8).contains(&failures),
        "{failures} tasks to the failing worker"
    );
    assert_eq!(bench.set_aside, failures - 2, "each one is told");
}

#[test]
fn no_more_than_a_third_of_the_workers_is_set_aside() {
    let mut bench = Bench::new(6, 4);
    for _ in 0..300 {
        let id = bench.arrive(SERVICE, 60_000, false);
        bench.tell(Event::Claimed(id, ClaimDecision::Won));
        bench.end(id, AttemptEnd::Failed);
        bench.pass(1);
    }
    let used: std::collections::BTreeSet<String> = bench.sent[250..]
        .iter()
        .map(|(_, _, target)| format!("{target:?}"))
        .collect();
    assert!(used.len() >= 4, "only {used:?} are still used");
}

#[test]
fn what_cannot_be_done_in_time_is_refused_at_once_with_a_time_to_come_back() {
    let mut bench = Bench::new(1, 1);
    bench.learn(SERVICE, 100);
    let running = bench.arrive(SERVICE, 10_000, true);
    for _ in 0..9 {
        bench.arrive(SERVICE, 10_000, true);
    }
    let id = bench.arrive(SERVICE, 500, true);
    let in_front = bench.arrive(SERVICE, 700, true);
    assert_eq!(bench.attempts(running), 1);
    assert_eq!(bench.why(id), None, "an early deadline goes in front");
    let hopeless = bench.arrive(SERVICE, 50, true);
    assert_eq!(bench.why(hopeless), Some(NotRunReason::Overload));
    let Outcome::NotRun(refusal) = bench.answers[&hopeless] else {
        panic!("not refused");
    };
    assert!(refusal.retry_at > bench.now);
    assert!(!bench.answers.contains_key(&in_front));
}

#[test]
fn a_request_that_has_become_hopeless_in_the_queue_is_answered_then() {
    let mut bench = Bench::new(1, 1);
    bench.learn(SERVICE, 100);
    bench.arrive(SERVICE, 10_000, true);
    let waits = bench.arrive(SERVICE, 400, true);
    assert!(!bench.answers.contains_key(&waits));
    bench.pass(320);
    bench.tell(Event::Tick);
    assert_eq!(bench.why(waits), Some(NotRunReason::Overload));
}

#[test]
fn no_class_is_starved() {
    let mut bench = Bench::new(1, 4);
    bench.learn(SERVICE, 10);
    bench.learn(LARGE, 10);
    for _ in 0..200 {
        bench.arrive(SERVICE, 1_000_000, true);
        bench.arrive(LARGE, 1_000_000, true);
    }
    let from = bench.sent.len();
    let mut large = 0;
    for step in 0..100 {
        let id = bench.sent[from - 4 + step].0;
        bench.pass(3);
        bench.end(id, AttemptEnd::Done);
    }
    for (id, _, _) in &bench.sent[from..] {
        // Large requests got the even numbers after the lessons.
        large += u32::from((id - 6) % 2 == 0);
    }
    assert!((20..=60).contains(&large), "{large} of 100 were large");
}

#[test]
fn a_wave_of_cancellations_frees_places_and_workers_at_once() {
    let mut bench = Bench::new(1, 2);
    bench.learn(SERVICE, 10);
    let ids: Vec<u64> = (0..50)
        .map(|_| bench.arrive(SERVICE, 100_000, true))
        .collect();
    let last = ids[49];
    for id in &ids[..49] {
        bench.tell(Event::Cancelled(*id));
    }
    assert_eq!(bench.attempts(last), 1, "the last one runs at once");
    assert_eq!(bench.stopped.len(), bench.sent.len() - 3 - 1);
    assert_eq!(bench.scheduler.len(), 1);
}

#[test]
fn a_claim_that_is_won_after_its_caller_left_is_answered_not_run() {
    let mut bench = Bench::new(1, 1);
    let id = bench.arrive(SERVICE, 1_000, false);
    bench.tell(Event::Cancelled(id));
    bench.tell(Event::Claimed(id, ClaimDecision::Won));
    assert_eq!(bench.why(id), Some(NotRunReason::Cancelled));
    assert_eq!(bench.attempts(id), 0);
}

#[test]
fn a_late_answer_of_an_earlier_attempt_is_dropped() {
    let mut bench = Bench::new(2, 1);
    let id = bench.arrive(SERVICE, 10_000, true);
    let first = bench.sent[0].1;
    bench.tell(Event::Ended(first, AttemptEnd::Broken));
    assert_eq!(bench.attempts(id), 2);
    bench.tell(Event::Ended(first, AttemptEnd::Done));
    assert!(!bench.answers.contains_key(&id));
    bench.end(id, AttemptEnd::Done);
    assert_eq!(bench.answers[&id], Outcome::Done(bench.sent[1].1));
}

#[test]
fn a_hall_without_workers_passes_requests_on_once() {
    let mut bench = Bench::new(0, 0);
    let id = bench.arrive(SERVICE, 1_000, true);
    assert_eq!(bench.why(id), Some(NotRunReason::NoWorker));
    let room = protocol::Room { slots: 8, taken: 0 };
    bench.tell(Event::Peers(vec![Peer {
        entry: "other".into(),
        addr: "addr".into(),
        capacity: BTreeMap::from([(SERVICE.to_owned(), room)]),
    }]));
    let id = bench.arrive(SERVICE, 1_000, true);
    assert_eq!(
        bench.sent.last().expect("sent").2,
        Target::Peer("other".into())
    );
    bench.end(id, AttemptEnd::Refused);
    assert_eq!(bench.why(id), Some(NotRunReason::Refused));
}

#[test]
fn requests_that_wait_are_told_when_their_last_worker_goes() {
    let mut bench = Bench::new(1, 1);
    bench.arrive(SERVICE, 10_000, true);
    let waits = bench.arrive(SERVICE, 10_000, true);
    bench.set_workers(0, 0);
    bench.tell(Event::Tick);
    assert_eq!(bench.why(waits), Some(NotRunReason::NoWorker));
}

#[test]
fn work_goes_to_the_less_loaded_of_two() {
    let mut bench = Bench::new(8, 64);
    for _ in 0..256 {
        bench.arrive(SERVICE, 100_000, true);
    }
    let mut loads: HashMap<String, u32> = HashMap::new();
    for (_, _, target) in &bench.sent {
        *loads.entry(format!("{target:?}")).or_default() += 1;
    }
    let (least, most) = (loads.values().min(), loads.values().max());
    assert!(
        most.expect("loads") - least.expect("loads") <= 6,
        "{loads:?}"
    );
}
