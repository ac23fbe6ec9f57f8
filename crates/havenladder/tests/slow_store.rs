//! Orders about VMs while the users' log is slow: they go out once a renewal of the lease has told of them,
//! and the next owner spares all VMs for as long as such orders matter.

mod entries;

use entries::block_on;
use havenladder_soak::site::Site;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// By how much each call to the log takes longer, one way; both ways it is what a log that is some 90 times
/// slower takes for an append.
const SLOW: Duration = Duration::from_millis(270);

/// How long a wave of [`VMS`] VMs may take; one at a time, each away for 0.8 s.
const WAVE: Duration = Duration::from_secs(30);

const VMS: usize = 4;

/// The time in which two owners must not give orders about one VM in turn, as the entries' settings say.
const TURN: Duration = Duration::from_millis(3_000);

/// Starts a site and lets it find an owner.
async fn start(seed: u64) -> Site {
    let site = entries::start("slow-store", seed, VMS).await;
    time::sleep(Duration::from_secs(4)).await;
    site
}

/// Waits until orders about so many VMs have been taken; false if they have not in time.
async fn wait_orders(site: &Site, count: usize, within: Duration) -> bool {
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

async fn finish_a_wave_slowly() {
    let mut site = start(911).await;
    site.request_wave();
    for link in &site.links {
        link.delay(SLOW);
    }
    assert!(
        wait_orders(&site, VMS, WAVE).await,
        "{:?}",
        site.cloud.orders()
    );
}

async fn spare_unrecorded_vms() {
    let mut site = start(912).await;
    for link in &site.links {
        link.delay(SLOW);
    }
    site.request_wave();
    // The second order follows on the renewal for the first one, while its own record is on the way.
    assert!(wait_orders(&site, 2, WAVE).await);
    for link in &site.links {
        link.cut(true);
    }
    for entry in &mut site.entries {
        entry.signal(Signal::KILL);
    }
    time::sleep(Duration::from_millis(200)).await;
    site.heal().expect("processes start");
    assert!(wait_orders(&site, VMS, WAVE).await);
    let orders = site.cloud.orders();
    for (place, later) in orders.iter().enumerate() {
        let earlier = orders[..place].iter().filter(|o| o.vm == later.vm);
        for earlier in earlier.filter(|o| o.fence != later.fence) {
            let apart = later.at - earlier.at;
            assert!(apart >= TURN, "{earlier:?} {later:?}");
        }
    }
}

#[test]
fn a_wave_goes_on_while_the_log_is_slow() {
    block_on(finish_a_wave_slowly());
}

#[test]
fn the_next_owner_spares_vms_that_may_have_been_ordered_without_a_record() {
    block_on(spare_unrecorded_vms());
}
