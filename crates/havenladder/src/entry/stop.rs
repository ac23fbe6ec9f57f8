//! Stops the process without breaking off what it is answering.

use super::node::Node;
use std::{rc::Rc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};
use tracing::{error, info};

/// How long callers may still connect after the entry has said that it is not ready: the balancer
/// asks every second and needs two misses.
const CONNECT_GRACE: Duration = Duration::from_millis(2_500);

/// What is left of the time to stop when the process ends whatever it still does.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Time between two looks at what is still being answered.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the process has been told to stop and has answered what it had taken.
pub async fn wait(node: &Rc<Node>) {
    let (Ok(mut term), Ok(mut hup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::hangup()),
    ) else {
        error!("signals cannot be heard");
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => info!("settings file has changed; nothing in it is used after the start"),
        }
    }
    info!(in_flight = node.in_flight.get(), "told to stop");
    node.stopping.set(true);
    node.stop.notify_waiters();
    time::sleep(CONNECT_GRACE).await;
    let grace = node
        .settings
        .grace
        .saturating_sub(CONNECT_GRACE + EXIT_RESERVE);
    let deadline = time::Instant::now() + grace;
    while node.in_flight.get() > 0 && time::Instant::now() < deadline {
        time::sleep(POLL_INTERVAL).await;
    }
}
