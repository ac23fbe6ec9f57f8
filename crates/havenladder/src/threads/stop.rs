//! The duty that stops the process: on the first signal when everything in progress is finished,
//! on the second at once.

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

/// Time for which requests are still taken, so that the balancer sees that the entry is leaving.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Time between two looks at whether anything is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which answers that have been given are still written out.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// The longest time that a planned stop waits for what is in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Exit code of a process that was told twice to stop.
const FORCED_EXIT_CODE: i32 = 130;

/// Waits for signals until the process ends.
///
/// # Errors
///
/// Fails when the signals cannot be taken.
pub fn stop(ctx: &Arc<Context>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    for _ in signals.forever() {
        if ctx.leaving.swap(true, Ordering::Relaxed) {
            tracing::warn!("told to stop a second time; stopping at once");
            exit(FORCED_EXIT_CODE);
        }
        tracing::info!("leaving: no longer ready, finishing what is in progress");
        let ctx = Arc::clone(ctx);
        spawn(move || leave(&ctx));
    }
    Ok(())
}

fn leave(ctx: &Context) {
    sleep(GRACE_PERIOD);
    ctx.placement.notify(Message::Happened(Event::Stop));
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline && is_busy(ctx) {
        sleep(POLL_INTERVAL);
    }
    sleep(FLUSH_PERIOD);
    tracing::info!("nothing is in progress; stopped");
    exit(0);
}

fn is_busy(ctx: &Context) -> bool {
    let requests = ctx.in_progress.load(Ordering::Relaxed);
    let unsettled = ctx.unsettled.load(Ordering::Relaxed);
    requests > 0 || unsettled > 0
}
