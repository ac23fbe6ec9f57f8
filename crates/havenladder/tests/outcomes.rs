//! Tests that a caller gets the complete response to its own request, and that "not-run" is reported only if nothing
//! ran.

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

/// Settings with one pool whose requests may be repeated and one whose requests must not be.
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

/// Starts a site with one data centre of four VMs and one entry.
fn one_hall() -> Site {
    Site::start(plan(1, 4), &["hall-1"], SETTINGS)
}

#[test]
fn a_response_arrives_complete() {
    let site = one_hall();
    let reply = site.post(0, PREVIEW, "run=5 size=200000 tag=whole", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "done"));
    assert_eq!(reply.body.len(), 200_000);
    assert!(reply.body.starts_with("tag=whole "));
}

#[test]
fn a_response_that_is_cut_short_is_never_forwarded() {
    let site = one_hall();
    let reply = site.post(0, PREVIEW, "run=5 short tag=cut", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    // The request is retried on another worker before it fails.
    assert!(site.runs("cut").len() > 1);
}

#[test]
fn a_cut_during_a_response_is_retried_only_where_repeats_are_allowed() {
    let site = one_hall();
    let links = site.worker_links();
    links.iter().for_each(|link| link.truncate_responses(1));
    let reply = site.post(0, PREVIEW, "run=5 size=9000 tag=again", &[]);
    assert_eq!((reply.status, reply.body.len()), (200, 9_000));
    links.iter().for_each(|link| link.truncate_responses(1));
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
fn a_response_lost_before_its_first_byte_leaves_the_outcome_unknown() {
    let site = one_hall();
    let links = site.worker_links();
    // Probes may use up some of the lost responses before the order is sent, so many are lost.
    links.iter().for_each(|link| link.lose_responses(1_000));
    let reply = site.post(
        0,
        ORDER,
        "run=5 tag=lost",
        &[("idempotency-key", &new_key())],
    );
    links.iter().for_each(|link| link.lose_responses(0));
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    assert_eq!(site.runs("lost").len(), 1);
}

#[test]
fn callers_get_their_own_responses_when_they_arrive_out_of_order() {
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
fn not_run_is_reported_only_when_nothing_ran() {
    let mut site = one_hall();
    let vms: Vec<String> = site.state(0)["vms"]
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    let mut not_run = 0;
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
                not_run += 1;
                assert_eq!(runs, 0, "{reply:?}");
                assert!(reply.retry_after.is_some(), "{reply:?}");
            }
            "done" => assert_eq!(runs, 1),
            _ => assert!(runs <= 1),
        }
    }
    assert!(not_run > 0, "no request reached a worker that was down");
    site.kill(0);
}

#[test]
fn a_request_that_is_too_late_is_refused_at_once_with_a_retry_time() {
    let site = one_hall();
    for _ in 0..3 {
        assert_eq!(site.post(0, PREVIEW, "run=400 tag=learn", &[]).status, 200);
    }
    let began = Instant::now();
    let deadline = unix_ms(100);
    let headers = [("havenladder-deadline", deadline.as_str())];
    let reply = site.post(0, PREVIEW, "run=400 tag=too-late", &headers);
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
    assert!(reply.retry_after.is_some());
    assert!(
        began.elapsed() < Duration::from_millis(100),
        "the refusal was delayed"
    );
    assert!(site.runs("too-late").is_empty());
}

#[test]
fn a_planned_stop_completes_requests_and_a_second_signal_ends_them() {
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
fn a_task_is_stopped_when_its_caller_disconnects() {
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

/// Returns the time this many milliseconds from now, in milliseconds since 1970.
fn unix_ms(from_now: u64) -> String {
    (havenladder_standin::ledger::now_ms() + from_now).to_string()
}
