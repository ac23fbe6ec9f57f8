//! Calls to the users' workers that are carried out late.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_standin::users::{
    events::{Events, RunEvent},
    worker::{HoldMode, Worker},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{runtime::Builder, task, time};

/// The time for which a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The time in ms for which the start of a run holds it.
const START_LEASE_MS: u64 = 1_500;

/// The time in ms for which a poll holds it.
const HOLD_LEASE_MS: u64 = 6_000;

/// The time after which a late poll is carried out: within the lease of the start.
const DELAY: Duration = Duration::from_millis(400);

/// The time after which the lease of the start is over, and that of the poll is not.
const LATER: Duration = Duration::from_millis(2_500);

/// Calls a worker without blocking the runtime, and returns the body of its response if there is one.
async fn call(worker: SocketAddr, path: &'static str, body: Value) -> Option<Value> {
    let send = move || {
        let request = ureq::post(format!("http://{worker}{path}"));
        let request = request.config().timeout_global(Some(CALL_TIMEOUT)).build();
        let mut response = request.send(body.to_string()).ok()?;
        response.body_mut().read_json().ok()
    };
    task::spawn_blocking(send).await.unwrap()
}

/// Guards against a stand-in on which a poll without a response has no effect: an owner must count the lease that such
/// a poll gives.
#[test]
fn a_late_poll_extends_the_lease_and_gets_no_response() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let events = Events::default();
        let worker = Worker::start("i-0001".to_owned(), None, events.clone());
        let worker: Arc<Worker> = worker.await.unwrap();
        let address = worker.address.lock().unwrap().unwrap();
        let reply = call(address, "/hold", json!({ "fencing-token": 1 })).await;
        let clock_ms = reply.unwrap()["clock-ms"].as_u64().unwrap();
        let start = json!({
            "task": "1.0.0.0", "run": 1, "spec": "60000", "fencing-token": 1,
            "deadline-ms": clock_ms + START_LEASE_MS,
        });
        assert!(call(address, "/run-start", start).await.is_some());
        worker.set_hold_mode(HoldMode::Late(DELAY));
        let poll = json!({ "fencing-token": 1, "deadline-ms": clock_ms + HOLD_LEASE_MS });
        assert_eq!(call(address, "/hold", poll).await, None);
        time::sleep(LATER - CALL_TIMEOUT).await;
        assert_eq!(worker.running(), 1, "{:?}", events.calls());
        let kinds: Vec<RunEvent> = events.all().iter().map(|event| event.kind).collect();
        assert_eq!(kinds, [RunEvent::Started]);
    });
}
