//! A worker that announces that it is about to leave, with entries as processes of their own.
//!
//! Guards against an owner that starts tasks on a worker long after the announcement. On one test day it did so 5.3 s
//! later, since its read of the list of workers waited for 5 s on a connection that had fallen silent.

mod entries;

use entries::{block_on, owner, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::time::{Duration, Instant};
use tokio::time;

const SEED: u64 = 5_950;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time after which a draining worker must get no new tasks, by the strictest bound that applies.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A job that keeps all four VMs busy until the next one is submitted.
const JOB_BODY: &str =
    r#"{"spec":"300","steps":[{"count":30,"cpu":1000,"mem-mb":10,"estimated-ms":300}]}"#;

/// Submits jobs for as long as `span`, with ids from `first` on.
async fn submit_jobs(site: &Site, first: u64, span: Duration) {
    let began = Instant::now();
    for id in first.. {
        if began.elapsed() >= span {
            return;
        }
        submit(site, id, JOB_BODY).await;
        time::sleep(Duration::from_millis(350)).await;
    }
}

/// Counts the runs that started on the worker of a VM after `since`.
fn count_starts(site: &Site, vm: &str, since: Instant) -> usize {
    let events = site.events.all();
    let starts = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started && event.at > since);
    starts
        .filter(|event| site.cloud.vm_of(&event.worker).as_deref() == Some(vm))
        .count()
}

#[test]
fn nothing_starts_on_a_draining_worker_while_the_owners_connections_are_silent() {
    block_on(async {
        let (name, seed) = ("drained", SEED);
        let site = entries::start(name, seed, 4).await;
        time::sleep(STARTUP_TIME).await;
        let began = Instant::now();
        submit_jobs(&site, 1, Duration::from_secs(2)).await;
        assert!(
            count_starts(&site, "vm-0", began) > 0,
            "the VM is in use before it drains"
        );
        site.links[owner(name, seed, 3)].silence_connections();
        site.cloud.announce_draining("vm-0");
        submit_jobs(&site, 100, DRAIN_TIMEOUT).await;
        let drained = Instant::now();
        submit_jobs(&site, 200, Duration::from_secs(3)).await;
        assert_eq!(count_starts(&site, "vm-0", drained), 0);
        assert!(
            count_starts(&site, "vm-1", drained) > 0,
            "the other VMs stay in use"
        );
    });
}
