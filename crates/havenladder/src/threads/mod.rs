//! The duties of an entry: one thread each, joined by bounded rings.

pub mod claims;
pub mod editors;
pub mod follow;
pub mod operators;
pub mod peers;
pub mod placement;
pub mod snapshots;
pub mod steward;
pub mod stop;
pub mod watch;
pub mod workers;

use crate::context::Context;
use std::{io, sync::Arc, thread};

/// Stack of a duty's thread; none recurses.
const STACK_BYTES: usize = 512 << 10;

/// Starts a duty in a thread of its own.
///
/// # Errors
///
/// Fails when the system gives no thread.
pub fn spawn(
    name: &str,
    ctx: &Arc<Context>,
    run: impl FnOnce(&Arc<Context>) + Send + 'static,
) -> io::Result<()> {
    let ctx = Arc::clone(ctx);
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || run(&ctx))?;
    Ok(())
}

/// Makes the small runtime of a duty that holds many connections.
///
/// # Errors
///
/// Fails when the system gives no event queue.
pub fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
