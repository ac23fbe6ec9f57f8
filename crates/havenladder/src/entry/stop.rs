//! Stops the process once the requests in progress have been answered.

use super::node::Node;
use clock::{Instant, timer};
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

/// Part of the time to stop, before [`EXIT_RESERVE`], in which requests are not waited for any longer: each is answered
/// with what is known, and new ones are refused at once.
const ANSWER_RESERVE: Duration = Duration::from_millis(400);

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
    let grace = node.settings.grace.saturating_sub(EXIT_RESERVE);
    let exit_at = Instant::now() + grace;
    node.answer_by.set(Some(exit_at - ANSWER_RESERVE));
    node.stop.notify_waiters();
    node.gates.callers.drain();
    time::sleep(CONNECT_GRACE).await;
    node.gates.callers.refuse_unfinished();
    while node.in_flight.get() > 0 && Instant::now() < exit_at {
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether requests must be answered at once because the process is about to end.
pub fn is_answer_due(node: &Node) -> bool {
    node.answer_by.get().is_some_and(|at| Instant::now() >= at)
}

/// Waits until a request must be answered because the process is about to end.
pub async fn wait_until_answer_due(node: &Node) {
    loop {
        let stop = node.stop.notified();
        if let Some(at) = node.answer_by.get() {
            return timer::sleep_until(at).await;
        }
        stop.await;
    }
}
