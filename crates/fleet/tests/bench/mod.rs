//! A fold for tests that is fed one change at a time.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses another part"
)]

use havenladder_fleet::{
    Change, Fleet, GrantPurpose, GrantRequest, Observation, ObservedState, Outcome, PathChange,
    Reason, Record, View, plan,
};
use protocol::{LogRecord, RecordId, encode};
use settings::read_tree;
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub const SETTINGS: &str = r#"{ "place": { "unavailable": "25%", "pools": {
  "one": { "vms": 4, "services": { "a": {} } },
  "two": { "vms": 4, "services": { "b": {} } }
} } }"#;

/// A fold that is fed one change at a time.
pub struct Bench {
    pub fleet: Fleet,
    pub at: SystemTime,
}

impl Bench {
    pub fn new(vms: u32) -> Self {
        let mut bench = Self {
            fleet: Fleet::default(),
            at: UNIX_EPOCH + Duration::from_secs(1_000),
        };
        bench.publish(SETTINGS);
        let seen = (0..vms)
            .map(|vm| bench.up(&format!("vm-{vm}"), 1))
            .collect();
        bench.tell(Change::Observe(seen));
        bench
    }

    pub fn up(&self, vm: &str, boot: u64) -> Observation {
        self.saw(
            vm,
            ObservedState::Up {
                hall: "hall".into(),
                rack: "rack".into(),
                addr: "addr".into(),
                slots: 4,
                boot,
            },
        )
    }

    pub fn saw(&self, vm: &str, seen: ObservedState) -> Observation {
        let base = self.fleet.vms.get(vm).map_or(0, |vm| vm.version);
        Observation {
            vm: vm.into(),
            base,
            seen,
        }
    }

    pub fn publish(&mut self, text: &str) -> Outcome {
        let changes = self.based(text);
        self.tell(Change::Settings(changes))
    }

    pub fn based(&self, text: &str) -> Vec<PathChange> {
        let wanted = read_tree("f", text).unwrap();
        settings::diff(&self.fleet.tree, &wanted)
            .into_iter()
            .map(|change| PathChange {
                base: self.fleet.version(&change.path),
                path: change.path,
                node: change.node,
            })
            .collect()
    }

    pub fn record(&self, change: Change) -> Record {
        Record {
            id: RecordId::new(),
            by: "holder".into(),
            expires: self.at + Duration::from_secs(30),
            changes: vec![change],
        }
    }

    pub fn apply(&mut self, record: &Record) -> Outcome {
        let record = LogRecord {
            offset: self.fleet.next,
            at: self.at,
            data: encode(record).unwrap(),
        };
        self.fleet.apply(&record).remove(0)
    }

    pub fn tell(&mut self, change: Change) -> Outcome {
        let record = self.record(change);
        self.apply(&record)
    }

    pub fn grant(&mut self, vm: &str, purpose: GrantPurpose) -> Outcome {
        let request = GrantRequest {
            vm: vm.into(),
            base: self.fleet.vms[vm].version,
            purpose,
            holder: "holder".into(),
            deadline: self.at + Duration::from_secs(20),
        };
        self.tell(Change::Grant(request))
    }

    /// What the one entry that is live would propose.
    pub fn plan(&self) -> Vec<Change> {
        let live = BTreeMap::from([("holder".to_owned(), "hall".to_owned())]);
        let view = View {
            entry: "holder",
            live: &live,
            now: self.at,
            lease: Duration::from_secs(20),
        };
        plan(&self.fleet, &view)
    }

    pub fn id(&self, vm: &str) -> u64 {
        self.fleet.vms[vm].grant.as_ref().unwrap().id
    }
}

pub fn rejected(outcome: &Outcome) -> &Reason {
    match outcome {
        Outcome::Rejected(reason) => reason,
        other => panic!("not rejected: {other:?}"),
    }
}
