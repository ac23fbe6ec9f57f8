//! Sends starts no faster than the link of this entry carries them.
//!
//! A burst of starts would otherwise wait in front of the link, and renewals, polls and responses behind it: workers
//! would seem silent and their leases would expire.

use super::owner::Owner;
use clock::Instant;
use fleet::LinkQueue;
use jobs::Dispatch;
use std::cell::RefCell;
use tokio::{sync::Semaphore, time};

/// The link of this entry, and the starts that wait for it.
pub struct Link {
    queue: RefCell<LinkQueue>,
    /// Permit of the start that goes next, so that starts are sent in their order.
    turn: Semaphore,
}

/// A start that waits for the link, with the bytes of its payload.
#[must_use = "the start counts as waiting until it has waited for the link"]
pub struct WaitingStart(u64);

/// A start that may be sent now. Its bytes leave the queue when it is dropped without having been sent.
#[must_use = "the bytes of the start leave the queue when this is dropped"]
pub struct AdmittedStart<'a> {
    link: &'a Link,
    unsent: u64,
}

impl AdmittedStart<'_> {
    /// Keeps the bytes in the queue, since the start is written.
    pub fn sent(mut self) {
        self.unsent = 0;
    }
}

impl Drop for AdmittedStart<'_> {
    fn drop(&mut self) {
        self.link.queue.borrow_mut().release(self.unsent);
    }
}

impl Link {
    /// Returns the link of an entry with this bandwidth, in bits per second; `None` if it is unknown.
    pub fn new(bandwidth: Option<f64>) -> Self {
        Link {
            queue: RefCell::new(LinkQueue::new(bandwidth, Instant::now())),
            turn: Semaphore::new(1),
        }
    }

    /// Counts a start with a payload of this many bytes as waiting.
    pub fn enqueue(&self, bytes: u64) -> WaitingStart {
        self.queue.borrow_mut().enqueue(bytes);
        WaitingStart(bytes)
    }

    /// Returns how fast starts are sent, beside the given number of bytes that this process has sent so far.
    pub fn dispatch(&self, sent: u64) -> Dispatch {
        let mut queue = self.queue.borrow_mut();
        queue.update(sent, Instant::now());
        Dispatch {
            waiting: queue.waiting(),
            rate: queue.waiting_rate(),
        }
    }
}

/// Waits until the link can take a start, behind those that wait already.
pub async fn wait_for_link(owner: &Owner, start: WaitingStart) -> AdmittedStart<'_> {
    let link = &owner.node.link;
    // The semaphore is never closed.
    let _turn = link.turn.acquire().await;
    loop {
        let wait = {
            let mut queue = link.queue.borrow_mut();
            queue.update(owner.node.client.traffic().sent(), Instant::now());
            queue.wait()
        };
        if wait.is_zero() || !owner.is_alive() {
            let WaitingStart(bytes) = start;
            link.queue.borrow_mut().reserve(bytes);
            return AdmittedStart {
                link,
                unsent: bytes,
            };
        }
        time::sleep(wait).await;
    }
}
