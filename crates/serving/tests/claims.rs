//! Claims on keys: the first one wins, and every reader of the stream comes to the same decision.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_serving::{
    AttemptId, Burn, Claim, ClaimDecision, ClaimItem, ClaimRecord, ClaimRegistry, ClaimState, Key,
    KeyError, MAX_KEY_AGE, burn_rate, read_key,
};
use protocol::{LogRecord, Loss, RecordId, encode};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Stream of claims that one registry reads.
struct Stream {
    registry: ClaimRegistry,
    next: u64,
    at: SystemTime,
}

impl Stream {
    fn new() -> Self {
        Self {
            registry: ClaimRegistry::default(),
            next: 0,
            at: UNIX_EPOCH + Duration::from_secs(1_000_000),
        }
    }

    fn key(&self) -> Key {
        Key::from_datetime(self.at)
    }

    fn append(&mut self, by: &str, entries: Vec<ClaimItem>) -> Vec<ClaimDecision> {
        let record = ClaimRecord {
            id: RecordId::new(),
            by: by.into(),
            entries,
        };
        let record = LogRecord {
            offset: self.next,
            at: self.at,
            data: encode(&record).unwrap(),
        };
        self.next += 1;
        self.registry
            .apply(&record)
            .into_iter()
            .map(|verdict| verdict.decision)
            .collect()
    }

    fn claim(&mut self, by: &str, key: Key, digest: u64) -> (AttemptId, ClaimDecision) {
        let claim = AttemptId::new();
        let expires = self.at + Duration::from_secs(5);
        let entry = ClaimItem::Claim(Claim {
            service: "s".into(),
            key,
            claim,
            digest,
            expires,
        });
        (claim, self.append(by, vec![entry])[0])
    }

    fn settle(&mut self, by: &str, key: Key, claim: AttemptId, state: ClaimState) {
        self.append(
            by,
            vec![ClaimItem::Settle {
                service: "s".into(),
                key,
                claim,
                state,
            }],
        );
    }
}

#[test]
fn the_first_claim_wins_and_so_does_its_copy() {
    let mut stream = Stream::new();
    let key = stream.key();
    let claim = AttemptId::new();
    let expires = stream.at + Duration::from_secs(5);
    let entry = ClaimItem::Claim(Claim {
        service: "s".into(),
        key,
        claim,
        digest: 1,
        expires,
    });
    assert_eq!(
        stream.append("a", vec![entry.clone()]),
        [ClaimDecision::Won]
    );
    assert_eq!(stream.append("a", vec![entry]), [ClaimDecision::Won]);
    assert_eq!(
        stream.claim("b", key, 1).1,
        ClaimDecision::Held(ClaimState::Open)
    );
    assert_eq!(stream.claim("b", key, 2).1, ClaimDecision::Mismatch);
}

#[yare::parameterized(
    done = { ClaimState::Done, ClaimDecision::Done },
    unknown = { ClaimState::Unknown, ClaimDecision::Held(ClaimState::Unknown) },
    not_run = { ClaimState::NotRun, ClaimDecision::Won },
)]
fn the_state_of_the_first_request_decides_the_second_claim(
    state: ClaimState,
    second: ClaimDecision,
) {
    let mut stream = Stream::new();
    let key = stream.key();
    let (claim, _) = stream.claim("a", key, 1);
    stream.settle("a", key, claim, state);
    assert_eq!(stream.claim("b", key, 1).1, second);
}

#[test]
fn only_the_holder_settles_its_key() {
    let mut stream = Stream::new();
    let key = stream.key();
    stream.claim("a", key, 1);
    let (loser, _) = stream.claim("b", key, 1);
    stream.settle("b", key, loser, ClaimState::NotRun);
    assert_eq!(
        stream.claim("b", key, 1).1,
        ClaimDecision::Held(ClaimState::Open)
    );
}

#[test]
fn a_key_that_is_too_old_never_wins_after_it_was_dropped() {
    let mut stream = Stream::new();
    let key = stream.key();
    stream.claim("a", key, 1);
    stream.at += MAX_KEY_AGE;
    assert_eq!(
        stream.claim("b", key, 1).1,
        ClaimDecision::Held(ClaimState::Open)
    );
    stream.at += Duration::from_secs(1);
    assert_eq!(stream.claim("b", key, 1).1, ClaimDecision::TooOld);
    assert!(stream.registry.is_empty());
}

#[test]
fn a_claim_that_the_log_accepted_too_late_does_not_hold_the_key() {
    let mut stream = Stream::new();
    let key = stream.key();
    let claim = AttemptId::new();
    let expires = stream.at - Duration::from_secs(1);
    let late = ClaimItem::Claim(Claim {
        service: "s".into(),
        key,
        claim,
        digest: 1,
        expires,
    });
    assert_eq!(stream.append("a", vec![late]), [ClaimDecision::LogDown]);
    assert_eq!(stream.claim("b", key, 1).1, ClaimDecision::Won);
}

#[test]
fn keys_are_checked_for_their_time_of_issue() {
    let now = UNIX_EPOCH + Duration::from_secs(1_000_000);
    let text = |time: SystemTime| Key::from_datetime(time).to_string();
    assert!(read_key(&text(now), now).is_ok());
    assert_eq!(read_key("x", now), Err(KeyError::Malformed));
    let old = now - MAX_KEY_AGE - Duration::from_secs(1);
    assert_eq!(read_key(&text(old), now), Err(KeyError::TooOld));
    assert_eq!(
        read_key(&text(now + Duration::from_secs(120)), now),
        Err(KeyError::Ahead)
    );
}

#[test]
fn burn_is_counted_by_window_and_cause() {
    let mut burn = Burn::default();
    let now = UNIX_EPOCH + Duration::from_secs(1_000_000);
    let hour_ago = now - Duration::from_secs(3_000);
    for _ in 0..90 {
        burn.count("s", None, hour_ago);
    }
    for _ in 0..9 {
        burn.count("s", None, now);
    }
    burn.count("s", Some(Loss::Overload), now);
    let sums = &burn.sums(now)["s"].windows;
    assert_eq!(
        sums.iter().map(|cell| cell.total()).collect::<Vec<_>>(),
        [10, 10, 100, 100]
    );
    assert!((burn_rate(&sums[0], 0.99) - 10.0).abs() < 1e-6);
    assert!((burn_rate(&sums[2], 0.99) - 1.0).abs() < 1e-6);
    assert_eq!(sums[0].lost[&Loss::Overload], 1);
}
