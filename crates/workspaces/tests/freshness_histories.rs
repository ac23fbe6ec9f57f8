//! Seeded histories of entries that learn of changes from a store and from each other, over links that take long, with
//! responses that are cut or fail, and with entries that are paused and restarted.
//!
//! Guards against a call that is rejected because of a configuration that lacks a change which had to be in force.

use clock::Instant;
use havenladder_workspaces::{Freshness, FreshnessAction};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Number of histories.
const HISTORIES: u64 = 300;

/// Number of entries.
const ENTRIES: usize = 5;

/// Length of a history and of its steps, in ms.
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 20;

/// Time within which a change must be in force: the shortest that users configure.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The longest transfer in ms.
const MAX_TRANSFER_MS: u64 = 4_000;

/// Response that is on its way to an entry.
struct Transfer {
    arrives_at: Instant,
    /// Newest version that the response contains.
    version: usize,
    /// Time of the request.
    sent: Instant,
    /// Time as of which the response contains the newest version; `None` if it was cut.
    confirmed: Option<Instant>,
}

/// Entry, as far as its configuration is concerned.
struct Entry {
    version: usize,
    freshness: Freshness,
    transfer: Option<Transfer>,
    /// Time until which the entry is paused.
    paused_until: Instant,
}

impl Entry {
    fn start(now: Instant) -> Self {
        Entry {
            version: 0,
            freshness: Freshness::new(None),
            transfer: None,
            paused_until: now,
        }
    }

    /// Applies the response that has arrived, if there is one.
    fn receive(&mut self, now: Instant) {
        let Some(transfer) = self.transfer.take_if(|transfer| transfer.arrives_at <= now) else {
            return;
        };
        self.version = self.version.max(transfer.version);
        if let Some(confirmed) = transfer.confirmed {
            self.freshness.confirm(transfer.sent, confirmed);
        }
        self.freshness.end_poll(true);
    }
}

/// A history: the store's versions, by the times of their acks, and the entries.
struct History {
    rng: StdRng,
    acked: Vec<Instant>,
    entries: Vec<Entry>,
    is_store_down: bool,
}

impl History {
    fn new(seed: u64, now: Instant) -> Self {
        History {
            rng: StdRng::seed_from_u64(seed),
            acked: vec![now],
            entries: (0..ENTRIES).map(|_| Entry::start(now)).collect(),
            is_store_down: false,
        }
    }

    /// Returns how many versions were acked until a time.
    fn versions(&self, until: Instant) -> usize {
        self.acked.partition_point(|at| *at <= until)
    }

    fn step(&mut self, now: Instant) {
        if self.rng.random_bool(0.01) {
            self.acked.push(now);
        }
        if self.rng.random_bool(0.01) {
            self.is_store_down = !self.is_store_down;
        }
        for index in 0..ENTRIES {
            if self.rng.random_bool(0.002) {
                let pause = self.rng.random_range(0..4_000);
                self.entries[index].paused_until = now + Duration::from_millis(pause);
            }
            if self.rng.random_bool(0.001) {
                self.entries[index] = Entry::start(now);
            }
            if self.entries[index].paused_until > now {
                continue;
            }
            self.entries[index].receive(now);
            if self.entries[index].transfer.is_none() {
                self.request(index, now);
            }
        }
    }

    /// Sends a request for newer state to the store or to another entry.
    fn request(&mut self, index: usize, now: Instant) {
        let versions = self.versions(now);
        let transfer_ms = self.rng.random_range(0..MAX_TRANSFER_MS);
        let arrives_at = now + Duration::from_millis(transfer_ms);
        let peer = self.rng.random_range(0..ENTRIES);
        let from_store = !self.is_store_down && self.rng.random_bool(0.5);
        let (version, confirmed) = if from_store {
            // A response may leave all versions but the next one.
            let next = self.entries[index].version + 1;
            match self.rng.random_bool(0.3) && next < versions {
                true => (next, None),
                false => (versions, Some(now)),
            }
        } else {
            let peer = &self.entries[peer];
            (peer.version, Some(now - peer.freshness.age(now)))
        };
        let entry = &mut self.entries[index];
        entry.freshness.begin_poll(now);
        entry.transfer = Some(Transfer {
            arrives_at,
            version,
            sent: now,
            confirmed,
        });
    }

    /// Checks what entries would answer to calls of the newest version that arrived up to a second ago.
    fn check(&mut self, seed: u64, now: Instant) -> usize {
        let waited = Duration::from_millis(self.rng.random_range(0..1_000));
        let received = now - waited;
        let required = self.versions(received - APPLY_TIMEOUT);
        let mut rejected = 0;
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.paused_until <= now)
        {
            let action = entry.freshness.next_action_for_unknown(received, now);
            let may_reject = entry.freshness.may_reject(received);
            if action == FreshnessAction::Proceed || may_reject {
                rejected += 1;
                assert!(
                    entry.version >= required,
                    "seed {seed}: version {} of {required} rejects a call",
                    entry.version
                );
            }
        }
        rejected
    }
}

#[test]
fn no_outdated_configuration_rejects_a_call() {
    let mut rejected = 0;
    for seed in 0..HISTORIES {
        let start = Instant::now();
        let mut history = History::new(seed, start);
        for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            let now = start + Duration::from_millis(ms);
            history.step(now);
            rejected += history.check(seed, now);
        }
    }
    assert!(rejected > 0, "the histories reject no call");
}
