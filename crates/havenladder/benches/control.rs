//! Control of an entry at rest, at the documented pace: processor time, bytes and memory against
//! the number of VMs in its hall, and against the number of entries.

#[path = "../tests/site/mod.rs"]
mod site;

use site::{Site, Timing, plan};
use std::{thread, time::Duration};

/// Time of each measurement.
const TIME: Duration = Duration::from_secs(6);

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
    let (used, platform, peers) = (site.cpu_time(0), site.log_links[0].bytes(), peers(&site));
    thread::sleep(TIME);
    let seconds = TIME.as_secs_f64();
    let used = (site.cpu_time(0) - used).as_secs_f64();
    let platform = site.log_links[0].bytes() - platform;
    println!(
        "{vms:>3}  {entries:>7}  {:>7.2} %  {:>25.0}  {:>10.0}  {:>4.1} MB",
        100.0 * used / seconds,
        platform as f64 / seconds,
        (self::peers(&site) - peers) as f64 / seconds,
        site.memory_bytes(0) as f64 / 1e6
    );
}

/// Bytes between the first entry and its peers, both ways.
fn peers(site: &Site) -> u64 {
    let links = site.peer_links.iter();
    let own = links.filter(|((from, to), _)| *from == 0 || *to == 0);
    own.flat_map(|(_, links)| links)
        .map(|link| link.bytes())
        .sum()
}
