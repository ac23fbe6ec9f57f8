//! An entry, which runs on one of the users' machines: it accepts jobs from callers and, while it
//! owns the cell, schedules them.
//!
//! Everything runs on one thread, because each wake-up of a thread is charged on those machines and
//! no background task computes for long. The tasks share their state in one [`Node`].

mod callers;
mod ends;
mod fleet;
mod gates;
mod hall_metrics;
mod in_force;
mod lease;
mod lease_record;
mod lease_state;
mod link;
mod logs;
mod losses;
mod maintenance;
mod metrics;
mod moves;
mod node;
mod operator_topic;
mod orders;
mod outage;
mod own_cell;
mod owner;
mod peer;
mod polls;
mod reach;
mod refresh;
mod replication;
mod replication_client;
mod replication_server;
mod resend;
mod starts;
mod stop;
mod store_calls;
mod suspension;
mod traffic;
mod transfer_meter;
mod vm_orders;
mod watch;
mod wave_status;
mod worker_list;

use adapter::settings;
use ingress::{CALLER_RECEIVE_BUFFER, INTERNAL_RECEIVE_BUFFER};
use node::Node;
use std::{io, net::TcpListener, process::ExitCode, rc::Rc};
use tokio::{runtime, task::LocalSet};
use tracing::{error, info, warn};

/// Runs the entry until it receives the signal to stop.
pub fn run() -> ExitCode {
    let logs = logs::start();
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            error!(%error, "cannot use the settings");
            return ExitCode::from(3);
        }
    };
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(%error, "cannot start the async runtime");
            return ExitCode::FAILURE;
        }
    };
    let node = Node::new(settings, logs.queue());
    match LocalSet::new().block_on(&runtime, serve(node)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "entry ends");
            ExitCode::FAILURE
        }
    }
}

/// Opens a listener at an IP address with a port.
///
/// # Errors
///
/// Fails if the address is malformed or not free.
fn bind(address: &str, receive_buffer: usize) -> io::Result<TcpListener> {
    let address = address
        .parse()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    ingress::bind(address, receive_buffer)
}

/// Starts the background tasks and waits until the entry receives the signal to stop.
///
/// # Errors
///
/// Fails if the port for callers, for readiness checks or for other entries cannot be bound.
async fn serve(node: Rc<Node>) -> io::Result<()> {
    let settings = &node.settings;
    let callers = bind(&settings.callers_address, CALLER_RECEIVE_BUFFER)?;
    let ready = bind(&settings.ready_address, INTERNAL_RECEIVE_BUFFER)?;
    let peers = bind(&node.peer_address(), INTERNAL_RECEIVE_BUFFER)?;
    info!(
        node = settings.node,
        hall = settings.hall,
        life = node.incarnation,
        "entry starts"
    );
    suspension::follow_test_clock();
    tokio::task::spawn_local(operator_topic::run(Rc::clone(&node)));
    tokio::task::spawn_local(lease::run(Rc::clone(&node)));
    tokio::task::spawn_local(replication_client::run(Rc::clone(&node)));
    tokio::task::spawn_local(reach::run(Rc::clone(&node)));
    tokio::task::spawn_local(callers::listen(Rc::clone(&node), callers));
    tokio::task::spawn_local(callers::listen_ready(Rc::clone(&node), ready));
    tokio::task::spawn_local(peer::listen(Rc::clone(&node), peers));
    let metrics_address = format!("{}:{}", settings.ip, metrics::PORT);
    match bind(&metrics_address, INTERNAL_RECEIVE_BUFFER) {
        Ok(listener) => {
            tokio::task::spawn_local(metrics::listen(Rc::clone(&node), listener));
        }
        Err(error) => warn!(%error, port = metrics::PORT, "metrics are not served"),
    }
    let gates = node.gates.all();
    tokio::task::spawn_local(async move { ingress::sweep(&gates).await });
    stop::wait(&node).await;
    info!(node = settings.node, "entry stops");
    Ok(())
}
