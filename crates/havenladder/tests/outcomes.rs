//! Promises about answers: whole, one's own, and a "not run" that is true.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use rustix::process::Signal;
use site::{Site, new_key, plan};
use std::{
    thread,
    time::{Duration, Instant},
};

const PREVIEW: &str = "aotearoa/previews/preview";
const ORDER: &str = "aotearoa/orders/print-order";

/// One pool that may repeat requests and one that must not.
const SETTINGS: &str = r#"{
  "aotearoa": {
    "unavailable": "50%",
    "pools": {
      "previews": { "vms": 2, "services": { "preview": { "timeout_ms": 5000 } } },
      "orders": {
        "vms": 2,
        "services": { "print-order": { "repeatable": false, "timeout_ms": 5000 } }
      }
    }
  }
}"#;

fn one_hall() -> Site {
    Site::start(plan(1, 4), &["hall-1"], SETTINGS)
}

#[test]
fn an_answer_comes_back_whole() {
    let site = one_hall();
    let reply = site.post(0, PREVIEW, "run=5 size=200000 tag=whole", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "done"));
    assert_eq!(reply.body.len(), 200_000);
    assert!(reply.body.starts_with("tag=whole "));
}

#[test]
fn an_answer_that_is_cut_short_is_never_passed_on() {
    let site = one_hall();
    let reply = site.post(0, PREVIEW, "run=5 short tag=cut", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    // The failure is repeated on another worker before it is given up.
    assert!(site.runs("cut").len() > 1);
}

#[test]
fn a_cut_in_the_middle_of_an_answer_is_repeated_only_where_allowed() {
    let site = one_hall();
    let links = site.worker_links();
    links.iter().for_each(|link| link.cut_answers_short(1));
    let reply = site.post(0, PREVIEW, "run=5 size=9000 tag=again", &[]);
    assert_eq!((reply.status, reply.body.len()), (200, 9_000));
    links.iter().for_each(|link| link.cut_answers_short(1));
    let reply = site.post(
        0,
        ORDER,
        "run=5 tag=once",
        &[("idempotency-key", &new_key())],
    );
    assert_eq!(reply.outcome, "unknown");
    assert_eq!(site.runs("once").len(), 1);
}

#[test]
fn an_answer_lost_before_its_first_byte_is_unknown_and_runs_an_order_once() {
    let site = one_hall();
    let links = site.worker_links();
    // A probe may take a lost answer before the order does, so several are lost.
    links.iter().for_each(|link| link.lose_answers(1_000));
    let reply = site.post(
        0,
        ORDER,
        "run=5 tag=lost",
        &[("idempotency-key", &new_key())],
    );
    links.iter().for_each(|link| link.lose_answers(0));
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    assert_eq!(site.runs("lost").len(), 1);
}

#[test]
fn callers_get_their_own_answers_when_these_come_out_of_order() {
    let site = one_hall();
    let replies: Vec<(String, site::Reply)> = thread::scope(|scope| {
        let calls: Vec<_> = (0..60)
            .map(|number| {
                let site = &site;
                scope.spawn(move || {
                    let tag = format!("caller-{number}");
                    let run = (number * 37) % 90;
                    let body = format!("run={run} tag={tag}");
                    (tag, site.post(0, PREVIEW, &body, &[]))
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    for (tag, reply) in replies {
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.body.starts_with(&format!("tag={tag} ")), "{reply:?}");
    }
}

#[test]
fn not_run_is_true_when_workers_refuse_or_die() {
    let mut site = one_hall();
    let vms: Vec<String> = site.state(0)["vms"]
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    let mut told = 0;
    for round in 0..30 {
        if round % 10 == 5 {
            for vm in &vms {
                site.inject_fault(&format!("vm/{vm}?down_ms=400"));
            }
        }
        let tag = format!("round-{round}");
        let deadline = ("havenladder-deadline", unix_ms(300));
        let headers = [("idempotency-key", new_key()), deadline];
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let reply = site.post(0, ORDER, &format!("run=20 tag={tag}"), &headers);
        let runs = site.runs(&tag).len();
        match reply.outcome.as_str() {
            "not-run" => {
                told += 1;
                assert_eq!(runs, 0, "{reply:?}");
                assert!(reply.retry_after.is_some(), "{reply:?}");
            }
            "done" => assert_eq!(runs, 1),
            _ => assert!(runs <= 1),
        }
    }
    assert!(told > 0, "no request met a dead worker");
    site.kill(0);
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let site = one_hall();
    for _ in 0..3 {
        assert_eq!(site.post(0, PREVIEW, "run=400 tag=learn", &[]).status, 200);
    }
    let began = Instant::now();
    let deadline = unix_ms(100);
    let headers = [("havenladder-deadline", deadline.as_str())];
    let reply = site.post(0, PREVIEW, "run=400 tag=hopeless", &headers);
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
    assert!(reply.retry_after.is_some());
    assert!(began.elapsed() < Duration::from_millis(100), "held back");
    assert!(site.runs("hopeless").is_empty());
}

#[test]
fn a_planned_stop_cuts_off_nothing_and_a_second_signal_stops_at_once() {
    let mut site = one_hall();
    let long = thread::scope(|scope| {
        let call = scope.spawn(|| site.post(0, PREVIEW, "run=3000 tag=long", &[]));
        site.wait_until("the task to begin", || site.runs("long").len() == 1);
        site.signal(0, Signal::TERM);
        call.join().unwrap()
    });
    assert_eq!((long.status, long.outcome.as_str()), (200, "done"));
    assert_eq!(site.wait_exit(0), Some(0));

    site.spawn(0);
    site.wait_ready();
    site.wait_until("workers", || {
        site.post(0, PREVIEW, "run=1", &[]).status == 200
    });
    thread::scope(|scope| {
        scope.spawn(|| site.post(0, PREVIEW, "run=4000 tag=cut-off", &[]));
        site.wait_until("the task to begin", || site.runs("cut-off").len() == 1);
        site.signal(0, Signal::TERM);
        thread::sleep(Duration::from_millis(50));
        site.signal(0, Signal::TERM);
    });
    assert_eq!(site.wait_exit(0), Some(130));
}

#[test]
fn a_caller_that_hangs_up_frees_the_worker() {
    let site = one_hall();
    let mut caller = std::net::TcpStream::connect(site.entries[0].editors).unwrap();
    let body = "run=30000 tag=gone";
    let request = format!(
        "POST /v1/{PREVIEW} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    std::io::Write::write_all(&mut caller, request.as_bytes()).unwrap();
    site.wait_until("the task to begin", || site.runs("gone").len() == 1);
    drop(caller);
    site.wait_until("the task to be stopped", || {
        site.runs("gone")[0].end.is_some()
    });
}

/// A time that far ahead, in milliseconds since 1970.
fn unix_ms(ahead: u64) -> String {
    (havenladder_standin::ledger::now_ms() + ahead).to_string()
}
