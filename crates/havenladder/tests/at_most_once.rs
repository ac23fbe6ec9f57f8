//! Tests that a request which must not be repeated runs at most once.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use rustix::process::Signal;
use site::{Reply, Site, new_key, plan};
use std::{thread, time::Duration};

const ORDER: &str = "zona-norte/records/boundary-record";

const SETTINGS: &str = r#"{
  "zona-norte": {
    "unavailable": "50%",
    "pools": {
      "records": {
        "vms": 4,
        "services": { "boundary-record": { "repeatable": false, "timeout_ms": 20000 } }
      }
    }
  }
}"#;

/// Starts a site with two entries in one data centre.
fn two_entries() -> Site {
    Site::start(plan(1, 4), &["hall-1", "hall-1"], SETTINGS)
}

/// Sends a request that must not be repeated to an entry, with this idempotency key.
fn order(site: &Site, entry: usize, key: &str, body: &str) -> Reply {
    site.post(entry, ORDER, body, &[("idempotency-key", key)])
}

#[test]
fn concurrent_requests_with_one_key_at_two_entries_run_once() {
    let site = two_entries();
    for round in 0..20 {
        let (key, body) = (new_key(), format!("run=10 tag=race-{round}"));
        let replies: Vec<Reply> = thread::scope(|scope| {
            let calls: Vec<_> = (0..4)
                .map(|call| {
                    let (site, key, body) = (&site, &key, &body);
                    scope.spawn(move || order(site, call % 2, key, body))
                })
                .collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        let done = replies.iter().filter(|reply| reply.status == 200).count();
        assert_eq!(done, 1, "{replies:?}");
        assert!(
            replies.iter().all(|reply| reply.outcome != "not-run"),
            "{replies:?}"
        );
        assert_eq!(site.runs(&format!("race-{round}")).len(), 1);
    }
}

#[test]
fn a_key_whose_request_is_done_is_done_at_every_entry() {
    let site = two_entries();
    let key = new_key();
    assert_eq!(order(&site, 0, &key, "run=1 tag=done").status, 200);
    for entry in [0, 1, 1] {
        site.wait_until("the outcome to be recorded", || {
            order(&site, entry, &key, "run=1 tag=done").outcome == "done"
        });
    }
    let other_body = order(&site, 1, &key, "run=1 tag=other");
    assert_eq!(other_body.status, 422);
    assert_eq!(site.runs("done").len(), 1);
    assert!(site.runs("other").is_empty());
}

#[test]
fn an_append_whose_response_is_lost_claims_the_key_once() {
    let site = two_entries();
    for round in 0..10 {
        site.log_links[0].lose_responses(2);
        let tag = format!("lost-{round}");
        let key = new_key();
        let reply = order(&site, 0, &key, &format!("run=1 tag={tag}"));
        let retry = order(&site, 1, &key, &format!("run=1 tag={tag}"));
        let runs = site.runs(&tag).len();
        assert!(runs <= 1, "{reply:?} {retry:?}");
        let done = [&reply, &retry]
            .iter()
            .filter(|reply| reply.status == 200)
            .count();
        assert_eq!(done, runs, "{reply:?} {retry:?}");
    }
}

#[test]
fn a_key_stays_held_when_its_entry_is_killed_before_the_response() {
    let mut site = two_entries();
    let key = new_key();
    thread::scope(|scope| {
        let caller = scope.spawn(|| order(&site, 0, &key, "run=1500 tag=killed"));
        site.wait_until("the task to begin", || site.runs("killed").len() == 1);
        site.signal(0, Signal::KILL);
        assert_eq!(caller.join().unwrap(), Reply::default());
    });
    site.kill(0);
    for _ in 0..5 {
        let reply = order(&site, 1, &key, "run=1500 tag=killed");
        assert_eq!((reply.status, reply.outcome.as_str()), (409, "in-progress"));
    }
    site.spawn(0);
    site.wait_ready();
    site.wait_until("the restarted entry", || {
        order(&site, 0, &key, "run=1500 tag=killed").status == 409
    });
    assert_eq!(site.runs("killed").len(), 1);
}

#[test]
fn a_request_runs_at_most_once_when_its_entry_is_killed_after_the_claim() {
    let mut site = two_entries();
    let key = new_key();
    // The claim reaches the log, but the entry is killed before it can read the claim back.
    site.log_links[0].delay(Duration::from_millis(300));
    thread::scope(|scope| {
        let caller = scope.spawn(|| order(&site, 0, &key, "run=1 tag=between"));
        thread::sleep(Duration::from_millis(500));
        site.signal(0, Signal::KILL);
        caller.join().unwrap()
    });
    site.kill(0);
    let reply = order(&site, 1, &key, "run=1 tag=between");
    let runs = site.runs("between").len();
    match reply.status {
        200 => assert_eq!(runs, 1),
        _ => assert!(runs <= 1, "{reply:?}"),
    }
}

#[test]
fn requests_during_a_log_outage_are_refused_and_their_keys_freed() {
    let site = two_entries();
    let key = new_key();
    site.inject_fault("log?down_ms=3500");
    let refused = order(&site, 0, &key, "run=1 tag=outage");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry_after.is_some());
    assert!(site.runs("outage").is_empty());
    site.wait_until("the log to be back", || {
        order(&site, 0, &key, "run=1 tag=outage").status == 200
    });
    assert_eq!(site.runs("outage").len(), 1);
}

#[test]
fn a_claim_that_takes_effect_after_the_refusal_does_not_hold_the_key() {
    let site = two_entries();
    let key = new_key();
    // Every call to the log takes longer than a claim may take: the log accepts the claim, but the entry learns that
    // too late.
    site.log_links[0].delay(Duration::from_millis(1_200));
    let refused = order(&site, 0, &key, "run=1 tag=late");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert!(site.runs("late").is_empty());
    site.log_links[0].delay(Duration::ZERO);
    site.wait_until("the key to be free", || {
        order(&site, 1, &key, "run=1 tag=late").status == 200
    });
    assert_eq!(site.runs("late").len(), 1);
}

#[test]
fn an_entry_suspended_past_the_deadline_does_not_send_the_request() {
    let site = two_entries();
    for round in 0..8 {
        let key = new_key();
        let tag = format!("frozen-{round}");
        let deadline = havenladder_standin::ledger::now_ms() + 600;
        let deadline = deadline.to_string();
        let headers = [
            ("idempotency-key", key.as_str()),
            ("havenladder-deadline", deadline.as_str()),
        ];
        site.log_links[0].delay(Duration::from_millis(40 * round));
        let body = format!("run=1 tag={tag}");
        let reply = thread::scope(|scope| {
            let caller = scope.spawn(|| site.post(0, ORDER, &body, &headers));
            thread::sleep(Duration::from_millis(20 + 30 * round));
            site.signal(0, Signal::STOP);
            thread::sleep(Duration::from_millis(700));
            site.signal(0, Signal::CONT);
            caller.join().unwrap()
        });
        site.log_links[0].delay(Duration::ZERO);
        let runs = site.runs(&tag);
        assert!(runs.len() <= 1);
        let deadline: u64 = deadline.parse().unwrap();
        assert!(runs.iter().all(|run| run.began <= deadline), "{runs:?}");
        if reply.outcome == "not-run" {
            assert!(runs.is_empty(), "{reply:?} {runs:?}");
        }
    }
}

#[test]
fn a_duplicated_connection_to_a_worker_runs_a_task_once() {
    let site = two_entries();
    for link in site.worker_links() {
        link.duplicate(true);
    }
    for round in 0..10 {
        let tag = format!("twice-{round}");
        order(&site, 0, &new_key(), &format!("run=5 tag={tag}"));
        assert_eq!(site.runs(&tag).len(), 1);
    }
}

#[test]
fn missing_malformed_and_old_keys_are_refused_by_name() {
    let site = two_entries();
    let old = ulid::Ulid::from_parts(1, 7).to_string();
    for (key, error) in [
        (None, "is missing"),
        (Some("not-a-ulid"), "must be a ULID"),
        (Some(old.as_str()), "too long ago"),
        (Some("7ZZZZZZZZZZZZZZZZZZZZZZZZZ"), "ahead"),
    ] {
        let headers: Vec<(&str, &str)> = key
            .map(|key| ("idempotency-key", key))
            .into_iter()
            .collect();
        let reply = site.post(0, ORDER, "run=1 tag=bad-key", &headers);
        assert_eq!((reply.status, reply.outcome.as_str()), (400, "not-run"));
        assert!(reply.body.contains("idempotency-key"), "{reply:?}");
        let is_too_old = error == "too long ago" && reply.body.contains("issued more than");
        assert!(reply.body.contains(error) || is_too_old, "{reply:?}");
    }
    assert!(site.runs("bad-key").is_empty());
}
