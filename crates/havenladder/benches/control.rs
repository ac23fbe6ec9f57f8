//! Control of an entry at rest: processor time, bytes and memory against the number of VMs.

#[path = "../tests/site/mod.rs"]
mod site;

use site::{Pace, Site, plan};
use std::{thread, time::Duration};

/// Time of each measurement.
const TIME: Duration = Duration::from_secs(6);

fn main() {
    println!("VMs in the hall  processor  log bytes/s  memory");
    for vms in [8, 32, 128, 256] {
        let settings = format!(
            r#"{{ "place": {{ "unavailable": "20%", "pools": {{ "pool": {{ "vms": {vms},
               "services": {{ "service": {{}} }} }} }} }} }}"#
        );
        let site = Site::start_at(Pace::Default, plan(1, vms), &["hall-1"], &settings);
        thread::sleep(Duration::from_secs(1));
        let (used, bytes) = (site.processor_time(0), site.log_links[0].bytes());
        thread::sleep(TIME);
        let used = site.processor_time(0) - used;
        let bytes = site.log_links[0].bytes() - bytes;
        println!(
            "{vms:>15}  {:>7.2} %  {:>11.0}  {:>4.1} MB",
            100.0 * used.as_secs_f64() / TIME.as_secs_f64(),
            bytes as f64 / TIME.as_secs_f64(),
            site.memory(0) as f64 / 1e6
        );
    }
}
