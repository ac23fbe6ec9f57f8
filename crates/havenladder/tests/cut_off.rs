//! Data centres that are cut off from the platform, from each other, or from both.

mod site;

use site::{Site, new_key, plan};
use std::time::{Duration, Instant};

const PREVIEW: &str = "place/works/preview";
const ORDER: &str = "place/works/order";

/// Returns settings with one pool for both services, so that each data centre has workers for both, whichever worker
/// joined first.
fn settings(timeout: u32) -> String {
    format!(
        r#"{{ "place": {{ "unavailable": "50%", "pools": {{ "works": {{ "vms": 8, "services": {{
          "preview": {{ "timeout_ms": {timeout} }},
          "order": {{ "repeatable": false, "timeout_ms": 6000 }}
        }} }} }} }} }}"#
    )
}

fn start_two_halls() -> Site {
    Site::start(plan(2, 4), &["hall-1", "hall-2"], &settings(5_000))
}

fn read_timeout(site: &Site, index: usize) -> u64 {
    let state = site.state(index);
    state["tree"]["nodes"][PREVIEW]["timeout_ms"]
        .as_u64()
        .unwrap_or(0)
}

#[test]
fn a_hall_cut_off_from_the_platform_follows_its_peers_and_refuses_orders() {
    let site = start_two_halls();
    site.log_links[1].cut(true);
    let began = Instant::now();
    site.publish(&settings(4_321));
    site.wait_until("the relayed settings", || read_timeout(&site, 1) == 4_321);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(site.post(1, PREVIEW, "run=1", &[]).status, 200);
    let reply = site.post(
        1,
        ORDER,
        "run=1 tag=cut",
        &[("idempotency-key", &new_key())],
    );
    assert_eq!(
        (reply.status, reply.outcome.as_str()),
        (503, "not-run"),
        "{reply:?}"
    );
    assert!(site.runs("cut").is_empty());
}

#[test]
fn a_hall_cut_off_from_everything_serves_with_its_last_configuration() {
    let site = start_two_halls();
    site.log_links[1].cut(true);
    site.cut_peers(0, 1, true);
    for _ in 0..20 {
        assert_eq!(site.post(1, PREVIEW, "run=1", &[]).status, 200);
    }
    let reply = site.post(
        1,
        ORDER,
        "run=1 tag=alone",
        &[("idempotency-key", &new_key())],
    );
    assert_eq!(reply.outcome, "not-run", "{reply:?}");
    // The other data centre keeps serving, and the isolated one catches up once the links are restored.
    assert_eq!(site.post(0, PREVIEW, "run=1", &[]).status, 200);
    site.log_links[1].cut(false);
    site.cut_peers(0, 1, false);
    site.publish(&settings(4_444));
    site.wait_until("its new settings", || read_timeout(&site, 1) == 4_444);
    site.wait_until("orders to be accepted", || {
        site.post(1, ORDER, "run=1", &[("idempotency-key", &new_key())])
            .status
            == 200
    });
}

#[test]
fn a_hall_without_workers_forwards_to_a_peer_and_answers_not_run_when_cut_off() {
    let site = start_two_halls();
    for rack in ["hall-1-rack-1", "hall-1-rack-2"] {
        site.inject_fault(&format!("rack/{rack}?down_ms=600000"));
    }
    site.wait_until("calls to be forwarded to the peer", || {
        site.post(0, PREVIEW, "run=1", &[]).status == 200
    });
    for round in 0..10 {
        let tag = format!("spill-{round}");
        let reply = site.post(
            0,
            ORDER,
            &format!("run=1 tag={tag}"),
            &[("idempotency-key", &new_key())],
        );
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(site.runs(&tag).len(), 1);
    }
    site.cut_peers(0, 1, true);
    site.wait_until("the peer to be found unreachable", || {
        let began = Instant::now();
        let reply = site.post(0, PREVIEW, "run=1", &[]);
        reply.outcome == "not-run" && began.elapsed() < Duration::from_millis(500)
    });
}
