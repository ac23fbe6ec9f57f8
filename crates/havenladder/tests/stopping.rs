//! Requests that an entry takes after it has received the signal to stop.

mod entries;

use entries::{block_on, owner, request};
use havenladder_soak::site::Site;
use rustix::process::Signal;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

/// Time for an entry to become owner of the cell.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which the entry ends: its grace period is 6 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// Time after which a request counts as taken: the platform's `loss-slack-ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Submits a job over a new connection. Returns whether the entry took the request and ended the connection without a
/// response; `None` if it did not take the request.
async fn is_cut_off(address: SocketAddr, id: u64) -> Option<bool> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let submission = request("POST", id, JOB_BODY);
    stream.write_all(submission.as_bytes()).await.ok()?;
    let sent_at = Instant::now();
    let mut head = [0; 9];
    match stream.read_exact(&mut head).await {
        Ok(_) => Some(false),
        Err(_) => (sent_at.elapsed() > LOSS_SLACK).then_some(true),
    }
}

/// Sends requests to an entry until it has ended. Returns how many were answered and how many were cut off.
async fn count_answers(site: &mut Site, entry: usize) -> (usize, usize) {
    let address = site.entries[entry].address;
    let began = Instant::now();
    let mut requests = JoinSet::new();
    for id in 1.. {
        if !site.entries[entry].is_running() {
            break;
        }
        assert!(began.elapsed() < STOP_TIMEOUT, "the entry does not end");
        requests.spawn(is_cut_off(address, id));
        time::sleep(REQUEST_INTERVAL).await;
    }
    let results = requests.join_all().await;
    let count = |expected| {
        let matching = results.iter().filter(|result| **result == Some(expected));
        matching.count()
    };
    (count(false), count(true))
}

#[test]
fn a_stopping_entry_without_an_owner_cuts_off_no_request() {
    block_on(async {
        let (name, seed) = ("stopping", 5_940);
        let mut site = entries::start_with(name, seed, 4, 4).await;
        time::sleep(STARTUP_TIME).await;
        let owner = owner(name, seed, site.entries.len());
        let stopping = (owner + 1) % site.entries.len();
        // Without the store no other entry takes over from the owner.
        site.links.iter().for_each(|link| link.stall(true, true));
        site.entries[owner].signal(Signal::STOP);
        site.entries[stopping].signal(Signal::TERM);
        let (answered, cut_off) = count_answers(&mut site, stopping).await;
        assert!(answered > 0, "no request was answered");
        assert_eq!(cut_off, 0, "beside {answered} that were answered");
    });
}
