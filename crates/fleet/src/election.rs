//! Decides when an entry may claim the ownership of a cell, and when a stronger entry should have it.
//!
//! The owner renews its lease in the log, and every entry reads the renewals. An owner's work grows with
//! the number of workers that it watches, so that entries with more CPU take precedence: weaker entries
//! claim a moment later, and an owner that is much weaker than another entry hands the cell over.

use clock::Instant;
use std::time::Duration;

/// A share of CPU, in thousandths of a core.
pub type MilliCpu = u64;

/// The time without a renewal in the log after which another entry claims the cell.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The lease timeout for an owner that also did not respond to two requests of the claiming entry. Two
/// renewals fit into it, so that one may be lost. An owner whose store is merely slow responds to the
/// requests.
pub const SILENT_OWNER_TIMEOUT: Duration = Duration::from_millis(900);

/// The lease timeout for an owner that responds to the claiming entry. If the owner is isolated from the
/// store, it releases the cell by itself within half a second. If the store is unavailable for all, the
/// owner continues, and its first renewal after the store's return must be read before anyone claims. An
/// entry cannot tell when the store returned, since its read of up to 1.7 s may have begun before. When an
/// owner was replaced at the return, its successor waited 3.7 s for runs that the owner might have started.
pub const ANSWERING_OWNER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The additional delay of a claim by an entry that knows of a much stronger one. The stronger entry sees
/// the vacancy at about the same time and needs 10 ms for one append, or 240 ms if the store responds
/// slowly.
pub const WEAKER_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// The ratio of CPU from which an entry counts as much stronger. A change of owner stops decisions for about
/// 100 ms, which a smaller advantage does not make up for.
const MUCH_STRONGER_RATIO: f64 = 1.5;

/// The time after a change of owner before a stronger entry may replace the new owner. The new owner has
/// contacted its workers by then.
pub const MIN_OWNERSHIP_AGE: Duration = Duration::from_millis(1_500);

/// The holder of the lease according to its newest record, as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// There has never been an owner.
    Nobody,
    /// There is a record, but it is not known who wrote it.
    Unknown,
    /// The owner released the cell.
    Released,
    /// An earlier incarnation of this entry.
    EarlierIncarnation,
    /// An entry whose process has ended.
    Ended,
    /// Another entry, which did not respond when this one asked it.
    Silent,
    /// Another entry, which responds to this one.
    Answering,
    /// Another entry, which may be running.
    Other,
}

/// The decision of an entry about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Claim the lease now if the log has no newer record.
    Now,
    /// Check again at this time, unless a record arrives before.
    At(Instant),
}

/// Returns whether an entry is so much stronger than another that it should own the cell instead. Entries
/// whose share of CPU is unknown (0) outrank nobody.
pub fn outranks(own: MilliCpu, other: MilliCpu) -> bool {
    own > other && own as f64 >= other as f64 * MUCH_STRONGER_RATIO
}

/// The state of one entry concerning the ownership of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Election {
    /// The entry's own share of CPU.
    cpu: MilliCpu,
    /// The largest share of CPU named in the records of the lease.
    strongest: MilliCpu,
    /// The time at which the newest record was read or the store last became available again.
    last_renewal: Instant,
    /// The time of the last change of owner that this entry has seen.
    owner_changed_at: Instant,
    /// The time since which the cell is known to have no owner.
    vacant_since: Option<Instant>,
}

impl Election {
    /// Creates the state of an entry that has read no record yet.
    pub fn new(cpu: MilliCpu, now: Instant) -> Self {
        Election {
            cpu,
            strongest: cpu,
            last_renewal: now,
            owner_changed_at: now,
            vacant_since: None,
        }
    }

    /// Records that a record was read, or that the log accepted one of this entry's own.
    pub fn on_record(&mut self, cpu: MilliCpu, now: Instant) {
        self.last_renewal = now;
        self.vacant_since = None;
        self.strongest = self.strongest.max(cpu);
    }

    /// Records that the owner has changed.
    pub fn on_owner_change(&mut self, now: Instant) {
        self.owner_changed_at = now;
    }

    /// Records that the store did not respond. The owner may not have reached it either, so that its
    /// timeout starts again when the store returns, and no owner is asked to hand over in the meantime.
    pub fn on_store_trouble(&mut self, now: Instant) {
        self.last_renewal = now;
        self.owner_changed_at = now;
    }

    /// Returns whether to claim the lease now, or when to check again.
    pub fn next_claim(&mut self, holder: Holder, now: Instant) -> Claim {
        let vacant_at = match holder {
            Holder::Unknown | Holder::Other => {
                self.vacant_since = None;
                self.last_renewal + LEASE_TIMEOUT
            }
            Holder::Silent => {
                self.vacant_since = None;
                self.last_renewal + SILENT_OWNER_TIMEOUT
            }
            Holder::Answering => {
                self.vacant_since = None;
                self.last_renewal + ANSWERING_OWNER_TIMEOUT
            }
            Holder::Nobody | Holder::Released | Holder::EarlierIncarnation | Holder::Ended => {
                *self.vacant_since.get_or_insert(now)
            }
        };
        let at = vacant_at + self.claim_delay();
        if now >= at { Claim::Now } else { Claim::At(at) }
    }

    /// Returns whether the owner, with the given share of CPU, should be asked to hand the cell over to
    /// this entry.
    pub fn should_request_handover(&self, owner: MilliCpu, now: Instant) -> bool {
        outranks(self.cpu, owner) && now >= self.owner_changed_at + MIN_OWNERSHIP_AGE
    }

    /// Returns how much later than other entries this entry claims.
    fn claim_delay(&self) -> Duration {
        if outranks(self.strongest, self.cpu) {
            WEAKER_CLAIM_DELAY
        } else {
            Duration::ZERO
        }
    }
}
