//! A worker that says that it is about to leave, with entries as processes of their own.
//!
//! What a hunted day showed: an owner started tasks on workers that had said so 5.3 s before. The owner's read of the list
//! waited for 5 s on a connection that had fallen silent.

mod entries;

use entries::{block_on, owner, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::time::{Duration, Instant};
use tokio::time;

const SEED: u64 = 5_950;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// The time after which a worker that drains gets nothing new, by the shortest bound that there is.
const DRAINED: Duration = Duration::from_millis(2_000);

/// A job that keeps all four VMs at work until the next one comes.
const BODY: &str =
    r#"{"spec":"300","steps":[{"count":30,"cpu":1000,"mem-mb":10,"estimated-ms":300}]}"#;

/// Hands in jobs for a time.
async fn work(site: &Site, first: u64, span: Duration) {
    let began = Instant::now();
    for id in first.. {
        if began.elapsed() >= span {
            return;
        }
        submit(site, id, BODY).await;
        time::sleep(Duration::from_millis(350)).await;
    }
}

/// How many runs began on a VM's worker since a moment.
fn begun(site: &Site, vm: &str, since: Instant) -> usize {
    let events = site.events.all();
    let starts = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started && event.at > since);
    starts
        .filter(|event| site.cloud.vm_of(&event.worker).as_deref() == Some(vm))
        .count()
}

#[test]
fn nothing_begins_on_a_worker_that_drains_also_where_the_owners_connections_are_silent() {
    block_on(async {
        let (name, seed) = ("drained", SEED);
        let site = entries::start(name, seed, 4).await;
        time::sleep(BEGIN).await;
        let began = Instant::now();
        work(&site, 1, Duration::from_secs(2)).await;
        assert!(begun(&site, "vm-0", began) > 0, "it is in use");
        site.links[owner(name, seed, 3)].silence_connections();
        site.cloud.announce_draining("vm-0");
        work(&site, 100, DRAINED).await;
        let drained = Instant::now();
        work(&site, 200, Duration::from_secs(3)).await;
        assert_eq!(begun(&site, "vm-0", drained), 0);
        assert!(begun(&site, "vm-1", drained) > 0, "the others work on");
    });
}
