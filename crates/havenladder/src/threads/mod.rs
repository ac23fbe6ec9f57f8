//! Threads of an entry, connected by bounded channels.

pub mod claims;
pub mod editors;
pub mod follow;
pub mod listen;
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

/// Stack size of a thread. It can be small, since no thread recurses.
const STACK_BYTES: usize = 512 << 10;

/// Starts a named thread.
///
/// # Errors
///
/// Returns an error when the system cannot create the thread.
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

/// Creates a single-threaded runtime for a thread with many connections.
///
/// # Errors
///
/// Returns an error when the system provides no event queue.
pub fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
