//! Thread that stops the process: after the first signal once nothing is in progress, and after the
//! second one at once.

use crate::{context::Context, threads::placement::Message};
use serving::Event;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{
    io,
    process::exit,
    sync::{Arc, atomic::Ordering},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

/// Time for which requests are still accepted after the signal, so that the load balancer can
/// notice that the entry is shutting down.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Interval between two checks whether anything is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for sending responses that are already complete.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Maximum time that a graceful stop waits for requests in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Exit code of a process that received a second stop signal.
const FORCED_EXIT_CODE: i32 = 130;

/// Handles signals until the process ends.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
pub fn stop(ctx: &Arc<Context>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    for _ in signals.forever() {
        if ctx.leaving.swap(true, Ordering::Relaxed) {
            tracing::warn!("received a second stop signal; exiting at once");
            exit(FORCED_EXIT_CODE);
        }
        tracing::info!("shutting down: no longer ready, finishing requests in progress");
        let ctx = Arc::clone(ctx);
        spawn(move || shut_down(&ctx));
    }
    Ok(())
}

fn shut_down(ctx: &Context) {
    sleep(GRACE_PERIOD);
    ctx.placement.notify(Message::Event(Event::Stop));
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline && is_busy(ctx) {
        sleep(POLL_INTERVAL);
    }
    sleep(FLUSH_PERIOD);
    tracing::info!("nothing is in progress; exiting");
    exit(0);
}

fn is_busy(ctx: &Context) -> bool {
    let requests = ctx.in_progress.load(Ordering::Relaxed);
    let unsettled = ctx.unsettled.load(Ordering::Relaxed);
    requests > 0 || unsettled > 0
}
