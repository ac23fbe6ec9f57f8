//! An entry on the users' machines: takes jobs from callers and, where it owns the cell, decides
//! about them.
//!
//! All of it runs on one thread: wake-ups are charged there, and no duty computes for long. What the
//! duties share is in one [`Node`].

mod callers;
mod ends;
mod feed;
mod feeding;
mod fleet;
mod follow;
mod following;
mod in_force;
mod inner;
mod lease;
mod lease_record;
mod lease_state;
mod listen;
mod logs;
mod losses;
mod maintenance;
mod metrics;
mod moves;
mod node;
mod orders;
mod outage;
mod own_cell;
mod owner;
mod polls;
mod reach;
mod resend;
mod starts;
mod stop;
mod store_calls;
mod suspension;
mod vm_orders;
mod watch;
mod wave_status;
mod worker_list;

use adapter::settings;
use node::Node;
use std::{io, process::ExitCode, rc::Rc};
use tokio::{net::TcpListener, runtime, task::LocalSet};
use tracing::{error, info, warn};

/// Runs the entry until it is told to stop.
pub fn run() -> ExitCode {
    logs::start();
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            error!(%error, "settings cannot be used");
            return ExitCode::from(3);
        }
    };
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(%error, "no runtime");
            return ExitCode::FAILURE;
        }
    };
    let node = Node::new(settings);
    match LocalSet::new().block_on(&runtime, serve(node)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "entry ends");
            ExitCode::FAILURE
        }
    }
}

/// Starts the duties and waits for the stop.
///
/// # Errors
///
/// Fails when a port that the entry cannot do without is not free.
async fn serve(node: Rc<Node>) -> io::Result<()> {
    let settings = &node.settings;
    let callers = TcpListener::bind(&settings.callers).await?;
    let ready = TcpListener::bind(&settings.ready).await?;
    let inner = TcpListener::bind((settings.ip.as_str(), settings.inner_port)).await?;
    info!(
        node = settings.node,
        hall = settings.hall,
        life = node.life,
        "entry starts"
    );
    suspension::follow_test_clock();
    tokio::task::spawn_local(follow::run(Rc::clone(&node)));
    tokio::task::spawn_local(lease::run(Rc::clone(&node)));
    tokio::task::spawn_local(following::run(Rc::clone(&node)));
    tokio::task::spawn_local(reach::run(Rc::clone(&node)));
    tokio::task::spawn_local(callers::listen(Rc::clone(&node), callers));
    tokio::task::spawn_local(callers::listen_ready(Rc::clone(&node), ready));
    tokio::task::spawn_local(inner::listen(Rc::clone(&node), inner));
    match TcpListener::bind((settings.ip.as_str(), metrics::PORT)).await {
        Ok(listener) => {
            tokio::task::spawn_local(metrics::listen(Rc::clone(&node.metrics), listener));
        }
        Err(error) => warn!(%error, port = metrics::PORT, "metrics are not told"),
    }
    stop::wait(&node).await;
    info!(node = settings.node, "entry stops");
    Ok(())
}
