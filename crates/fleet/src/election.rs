//! When an entry may claim the ownership of a cell, and when a stronger entry should have it.
//!
//! The owner renews its lease in the log, and every entry reads the renewals. An owner's work grows with
//! the workers that it watches, so that entries with more of a core go first: the others claim a moment
//! later, and an owner that is much weaker than another entry hands the cell over.

use clock::Instant;
use std::time::Duration;

/// Thousandths of a core.
pub type MilliCpu = u64;

/// How long the log must have been without a renewal before another entry claims the cell.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for an owner that does not answer the entry that claims either, asked twice. Two renewals fit into
/// it, so that one may be lost; an owner whose store is slow answers meanwhile.
pub const SILENT_OWNER_TIMEOUT: Duration = Duration::from_millis(900);

/// The same for an owner that answers the entry that claims. Where the store turns it away, it gives the cell up by itself,
/// within half a second; where the store is away for all, it goes on, and its first renewal after the return must be read
/// before anybody claims. An entry does not see when that was: a read of up to 1.7 s may have begun before. An owner that was
/// replaced at the return left its successor 3.7 s of waits for what it might have started.
pub const ANSWERING_OWNER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How much later an entry claims that knows of a much stronger one. The strong one sees the vacancy at
/// about the same time and needs one append, 10 ms; a slow answer of the store takes 240 ms.
pub const WEAKER_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// From how much more of a core on an entry counts as much stronger: a change of owner costs some 100 ms
/// of decisions, which less than half as much again does not earn back.
const MUCH_STRONGER_RATIO: f64 = 1.5;

/// How long an owner is left in peace after the cell changed hands: it has met its workers by then.
pub const MIN_OWNERSHIP_AGE: Duration = Duration::from_millis(1_500);

/// What the newest record of the lease says, as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// There has never been an owner.
    Nobody,
    /// There is a record, but who wrote it is not known.
    Unknown,
    /// The owner gave the cell up.
    Released,
    /// An earlier life of this entry.
    EarlierIncarnation,
    /// An entry whose process has ended.
    Ended,
    /// Another entry, which does not answer this one, as far as it was asked.
    Silent,
    /// Another entry, which answers this one.
    Answering,
    /// Another entry, which may live.
    Other,
}

/// What an entry is to do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Claim it now, if the log has nothing newer.
    Now,
    /// Look again then, unless a record comes before.
    At(Instant),
}

/// Whether an entry is so much stronger than another that it should own the cell in its place. Entries
/// that do not know their part of a core, 0, outrank nobody.
pub fn outranks(own: MilliCpu, other: MilliCpu) -> bool {
    own > other && own as f64 >= other as f64 * MUCH_STRONGER_RATIO
}

/// What one entry remembers of the owners of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Election {
    /// The entry's own part of a core.
    cpu: MilliCpu,
    /// The largest part of a core that the lease's records have named.
    strongest: MilliCpu,
    /// When the newest record was read, or the store last came back.
    fresh: Instant,
    /// When the owner changed last, as far as this entry has seen.
    changed: Instant,
    /// Since when the cell is known to have no owner.
    vacant: Option<Instant>,
}

impl Election {
    /// An entry that has read nothing yet.
    pub fn new(cpu: MilliCpu, now: Instant) -> Self {
        Election {
            cpu,
            strongest: cpu,
            fresh: now,
            changed: now,
            vacant: None,
        }
    }

    /// A record was read, or one of this entry's own was taken by the log.
    pub fn on_record(&mut self, cpu: MilliCpu, now: Instant) {
        self.fresh = now;
        self.vacant = None;
        self.strongest = self.strongest.max(cpu);
    }

    /// The owner is another one than before.
    pub fn on_owner_change(&mut self, now: Instant) {
        self.changed = now;
    }

    /// The store did not answer. The owner may not have reached it either: its time counts from the
    /// return, and nobody is asked to hand over meanwhile.
    pub fn on_store_trouble(&mut self, now: Instant) {
        self.fresh = now;
        self.changed = now;
    }

    /// What to do about the lease.
    pub fn next_claim(&mut self, holder: Holder, now: Instant) -> Claim {
        let lapsed = match holder {
            Holder::Unknown | Holder::Other => {
                self.vacant = None;
                self.fresh + LEASE_TIMEOUT
            }
            Holder::Silent => {
                self.vacant = None;
                self.fresh + SILENT_OWNER_TIMEOUT
            }
            Holder::Answering => {
                self.vacant = None;
                self.fresh + ANSWERING_OWNER_TIMEOUT
            }
            Holder::Nobody | Holder::Released | Holder::EarlierIncarnation | Holder::Ended => {
                *self.vacant.get_or_insert(now)
            }
        };
        let at = lapsed + self.deference();
        if now >= at { Claim::Now } else { Claim::At(at) }
    }

    /// Whether an owner with so much of a core should be asked to hand the cell over to this entry.
    pub fn should_request_handover(&self, owner: MilliCpu, now: Instant) -> bool {
        outranks(self.cpu, owner) && now >= self.changed + MIN_OWNERSHIP_AGE
    }

    /// How much later than others this entry claims.
    fn deference(&self) -> Duration {
        if outranks(self.strongest, self.cpu) {
            WEAKER_CLAIM_DELAY
        } else {
            Duration::ZERO
        }
    }
}
