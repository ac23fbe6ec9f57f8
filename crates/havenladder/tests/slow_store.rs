//! Orders about VMs while the users' log is slow.
//!
//! They are sent once a renewal of the lease has announced them, and the next owner skips all VMs for as long as such
//! orders may take effect.

mod entries;

use entries::block_on;
use havenladder_soak::site::Site;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// Delay of each call to the log, one way. Both ways together make an append as slow as with a log that is some 90
/// times slower.
const CALL_DELAY: Duration = Duration::from_millis(270);

/// Time within which a wave of [`VMS`] VMs must end; one VM at a time, each of them away for 0.8 s.
const WAVE_TIMEOUT: Duration = Duration::from_secs(30);

const VMS: usize = 4;

/// Minimum time between orders of two owners about the same VM, as the entries' settings say.
const ORDER_INTERVAL: Duration = Duration::from_millis(3_000);

/// Starts a site and waits until an entry owns the cell.
async fn start(seed: u64) -> Site {
    let site = entries::start("slow-store", seed, VMS).await;
    time::sleep(Duration::from_secs(4)).await;
    site
}

/// Waits until orders about `count` VMs have been received. Returns false if they have not been `within` that time.
async fn wait_for_orders(site: &Site, count: usize, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        let mut vms: Vec<String> = site.cloud.orders().into_iter().map(|o| o.vm).collect();
        vms.sort();
        vms.dedup();
        if vms.len() >= count {
            return true;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    false
}

async fn finish_wave_with_slow_log() {
    let mut site = start(911).await;
    site.request_wave();
    for link in &site.links {
        link.delay(CALL_DELAY);
    }
    assert!(
        wait_for_orders(&site, VMS, WAVE_TIMEOUT).await,
        "{:?}",
        site.cloud.orders()
    );
}

async fn skip_unrecorded_vms() {
    let mut site = start(912).await;
    for link in &site.links {
        link.delay(CALL_DELAY);
    }
    site.request_wave();
    // The second order follows the renewal that announces the first one, while its own record is still being appended.
    assert!(wait_for_orders(&site, 2, WAVE_TIMEOUT).await);
    for link in &site.links {
        link.cut(true);
    }
    for entry in &mut site.entries {
        entry.signal(Signal::KILL);
    }
    time::sleep(Duration::from_millis(200)).await;
    site.heal().expect("processes start");
    assert!(wait_for_orders(&site, VMS, WAVE_TIMEOUT).await);
    let orders = site.cloud.orders();
    for (index, later) in orders.iter().enumerate() {
        let earlier = orders[..index].iter().filter(|o| o.vm == later.vm);
        for earlier in earlier.filter(|o| o.fence != later.fence) {
            let apart = later.at - earlier.at;
            assert!(apart >= ORDER_INTERVAL, "{earlier:?} {later:?}");
        }
    }
}

#[test]
fn a_wave_goes_on_while_the_log_is_slow() {
    block_on(finish_wave_with_slow_log());
}

#[test]
fn the_next_owner_skips_vms_that_may_have_unrecorded_orders() {
    block_on(skip_unrecorded_vms());
}
