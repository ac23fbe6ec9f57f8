//! Measures the control overhead of an idle entry at the default intervals: processor time, traffic
//! and memory as functions of the number of VMs in its data centre and of the number of entries.

#[path = "../tests/site/mod.rs"]
mod site;

use site::{Site, Timing, plan};
use std::{thread, time::Duration};

/// Duration of each measurement.
const RUN_TIME: Duration = Duration::from_secs(6);

fn main() {
    println!("VMs  entries  processor  bytes/s with the platform  with peers  memory");
    for vms in [8, 32, 128, 256] {
        measure(vms, 1);
    }
    for entries in [2, 4, 8] {
        measure(8, entries);
    }
}

fn measure(vms: u32, entries: usize) {
    let settings = format!(
        r#"{{ "place": {{ "unavailable": "20%", "pools": {{ "pool": {{ "vms": {vms},
           "services": {{ "service": {{}} }} }} }} }} }}"#
    );
    let halls = vec!["hall-1"; entries];
    let site = Site::start_with_timing(Timing::Default, plan(1, vms), &halls, &settings);
    thread::sleep(Duration::from_secs(1));
    let (used, platform, peers) = (
        site.cpu_time(0),
        site.log_links[0].bytes(),
        peer_bytes(&site),
    );
    thread::sleep(RUN_TIME);
    let seconds = RUN_TIME.as_secs_f64();
    let used = (site.cpu_time(0) - used).as_secs_f64();
    let platform = site.log_links[0].bytes() - platform;
    println!(
        "{vms:>3}  {entries:>7}  {:>7.2} %  {:>25.0}  {:>10.0}  {:>4.1} MB",
        100.0 * used / seconds,
        platform as f64 / seconds,
        (self::peer_bytes(&site) - peers) as f64 / seconds,
        site.memory_bytes(0) as f64 / 1e6
    );
}

/// Returns the bytes exchanged between the first entry and its peers in both directions.
fn peer_bytes(site: &Site) -> u64 {
    let links = site.peer_links.iter();
    let own = links.filter(|((from, to), _)| *from == 0 || *to == 0);
    own.flat_map(|(_, links)| links)
        .map(|link| link.bytes())
        .sum()
}
