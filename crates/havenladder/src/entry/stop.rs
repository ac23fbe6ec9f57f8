//! Stops the process once the requests in progress have been answered.

use super::node::Node;
use std::{rc::Rc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};
use tracing::{error, info};

/// Time for which callers may still connect after the entry has reported that it is not ready. The
/// balancer asks every second and needs two failures.
const CONNECT_GRACE: Duration = Duration::from_millis(2_500);

/// Part of the time to stop that is reserved for the end of the process, whatever it is still
/// doing.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Interval between two checks of the requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for the signal to stop, and then until the requests in progress have been answered or the
/// time for that is over.
pub async fn wait(node: &Rc<Node>) {
    let (Ok(mut term), Ok(mut hup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::hangup()),
    ) else {
        error!("cannot install the signal handlers");
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => info!("settings file has changed; it is only read at the start"),
        }
    }
    info!(
        in_flight = node.in_flight.get(),
        "received the signal to stop"
    );
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
