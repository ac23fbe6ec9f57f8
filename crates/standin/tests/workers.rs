//! Workers of VMs that go down and come back.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_standin::platform::{self, Plan};
use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Time for which the VM of a test is down.
const DOWNTIME: Duration = Duration::from_millis(500);

/// Upper bound on every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a platform with one VM and returns its address.
fn start_platform() -> SocketAddr {
    let plan = Plan {
        halls: vec![("hall-1".into(), 1)],
        rack: 1,
        slots: 1,
        reboot: Duration::from_millis(100),
        lag: Duration::from_millis(10),
        keep: Duration::from_secs(60),
        rate: 100,
    };
    let (_, addr) = platform::start(plan);
    addr
}

/// Returns the address of the VM's worker.
fn worker_addr(platform: SocketAddr) -> SocketAddr {
    let url = format!("http://{platform}/vms/vm-1");
    let vm: serde_json::Value = ureq::get(url)
        .call()
        .unwrap()
        .body_mut()
        .read_json()
        .unwrap();
    vm["addr"].as_str().unwrap().parse().unwrap()
}

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < limit, "waited too long for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a VM whose worker does not come back, which keeps a wave from ending: a listener or a connection of
/// another test took the worker's port while the VM was down.
#[test]
fn a_worker_keeps_its_port_while_its_vm_is_down() {
    let platform = start_platform();
    let addr = worker_addr(platform);
    let connects = || TcpStream::connect(addr).is_ok();
    wait_until("the worker", connects);
    let url = format!(
        "http://{platform}/fault/vm/vm-1?down_ms={}",
        DOWNTIME.as_millis()
    );
    ureq::post(url).send_empty().unwrap();
    wait_until("the failure", || !connects());
    let taken = TcpListener::bind(addr).map_err(|error| error.kind());
    assert_eq!(taken.err(), Some(ErrorKind::AddrInUse));
    wait_until("the worker to come back", connects);
}
