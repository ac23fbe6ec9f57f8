//! A simulation for the fold and the planner: a log, a platform with its own counts, and entries that lag,
//! freeze, lose responses and disagree on which entries are live.

mod calls;
mod inputs;
mod machines;

pub use machines::Machine;

use havenladder_fleet::{
    Action, Change, Fleet, Grant, GrantPurpose, Health, Outcome, PathChange, Record, View, Vm,
    WaveChange, plan,
};
use protocol::{EntryId, HallId, LogRecord, RecordId, encode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use settings::read_tree;
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub const LEASE: Duration = Duration::from_secs(10);

/// A call that an entry has decided on and not yet made, since it may be frozen in between.
struct Call {
    entry: usize,
    vm: String,
    grant: Grant,
    action: Action,
}

/// One entry.
struct Entry {
    name: String,
    hall: String,
    fleet: Fleet,
    alive: bool,
}

pub struct World {
    pub rng: SmallRng,
    pub now: SystemTime,
    pub log: Vec<LogRecord>,
    /// The state after applying the whole log, without lag.
    pub reference: Fleet,
    pub machines: BTreeMap<String, Machine>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    /// The number of reboots that took effect, by VM and number of boots before.
    pub reboots: BTreeMap<(String, u64), u32>,
    pub violations: Vec<String>,
    /// Whether faults are still injected.
    pub faulty: bool,
}

impl World {
    pub fn new(seed: u64, settings: &str, vms: usize) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: UNIX_EPOCH + Duration::from_secs(1_000_000),
            log: Vec::new(),
            reference: Fleet::default(),
            machines: BTreeMap::new(),
            entries: Vec::new(),
            calls: Vec::new(),
            reboots: BTreeMap::new(),
            violations: Vec::new(),
            faulty: true,
        };
        for number in 0..4 {
            world.entries.push(Entry {
                name: format!("entry-{number}"),
                hall: format!("hall-{}", number % 2),
                fleet: Fleet::default(),
                alive: true,
            });
        }
        for number in 0..vms {
            let slots = world.rng.random_range(4..=8);
            let machine = Machine {
                hall: format!("hall-{}", number % 2),
                rack: format!("hall-{}-rack-{}", number % 2, number / 8),
                slots,
                boot: 1,
                up: true,
                drained: false,
                running: 0,
                pool: String::new(),
                token: 0,
                back: None,
            };
            world.machines.insert(format!("vm-{number:02}"), machine);
        }
        world.publish("operator", settings, 0);
        world.observe_all(0);
        world
    }

    /// Publishes settings, based on the state that an entry knows.
    pub fn publish(&mut self, by: &str, settings: &str, entry: usize) -> Outcome {
        let tree = read_tree("test", settings).expect("valid settings");
        let fleet = &self.entries[entry].fleet;
        let changes = settings::diff(&fleet.tree, &tree)
            .into_iter()
            .map(|change| PathChange {
                base: fleet.version(&change.path),
                path: change.path,
                node: change.node,
            })
            .collect();
        self.append(by, vec![Change::Settings(changes)]).remove(0)
    }

    /// Appends one record, occasionally twice, as after a lost response.
    pub fn append(&mut self, by: &str, changes: Vec<Change>) -> Vec<Outcome> {
        let record = Record {
            id: RecordId::from_parts(0, self.rng.random()),
            by: by.to_owned(),
            expires: self.now + Duration::from_secs(15),
            changes,
        };
        let outcomes = self.accept(&record);
        if self.faulty && self.rng.random_bool(0.1) {
            let copy = self.accept(&record);
            let had_effect = copy.contains(&Outcome::Applied);
            self.check(!had_effect, "a second copy had an effect");
        }
        outcomes
    }

    fn accept(&mut self, record: &Record) -> Vec<Outcome> {
        let record = LogRecord {
            offset: self.log.len() as u64,
            at: self.now,
            data: encode(record).expect("the record can be encoded"),
        };
        let outcomes = self.reference.apply(&record);
        self.log.push(record);
        self.check_grants(&outcomes);
        outcomes
    }

    /// Checks grants against an independent count of the slots that they make unavailable.
    fn check_grants(&mut self, outcomes: &[Outcome]) {
        if !outcomes.contains(&Outcome::Applied) {
            return;
        }
        let newest = self.log.len() as u64 - 1;
        let granted: Vec<String> = self
            .reference
            .vms
            .values()
            .filter(|vm| vm.grant.as_ref().is_some_and(|grant| grant.id == newest))
            .map(|vm| vm.pool.clone())
            .collect();
        for pool in granted {
            let members = || self.reference.vms.values().filter(|vm| vm.pool == pool);
            let capacity: u32 = members().map(|vm| vm.slots).sum();
            let out = |vm: &&Vm| vm.grant.is_some() || vm.health != Health::Up;
            let unavailable: u32 = members().filter(out).map(|vm| vm.slots).sum();
            let over = unavailable > self.budget(&pool, capacity);
            self.check(!over, "a grant overran a budget");
        }
    }

    pub fn budget(&self, pool: &str, capacity: u32) -> u32 {
        self.reference
            .tree
            .services_of(pool)
            .map(|path| settings::Service::resolve(&self.reference.tree, path))
            .map(|service| service.unavailable.slots(capacity))
            .min()
            .unwrap_or(u32::MAX)
    }

    pub fn check(&mut self, holds: bool, what: &str) {
        if !holds && self.violations.is_empty() {
            self.violations
                .push(format!("{what}, at {} records", self.log.len()));
        }
    }

    /// Performs one random step.
    pub fn step(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        match self.rng.random_range(0..100) {
            0..30 => self.read_log(entry),
            30..45 => self.plan(entry),
            45..65 => self.decide(entry),
            65..80 => self.make_call(),
            80..86 => self.observe_all(entry),
            86..92 => self.advance_time(),
            92..94 if self.faulty => self.inject_fault(),
            94..96 if self.faulty => self.operator_request(entry),
            96..97 if self.faulty => self.restart(entry),
            _ => self.change_load(),
        }
        self.check_platform();
    }

    fn read_log(&mut self, entry: usize) {
        let behind = self.log.len() - self.entries[entry].fleet.next as usize;
        let count = if self.faulty {
            self.rng.random_range(0..=behind)
        } else {
            behind
        };
        for _ in 0..count {
            let record = self.log[self.entries[entry].fleet.next as usize].clone();
            self.entries[entry].fleet.apply(&record);
        }
    }

    /// Returns the entries that an entry considers live: itself and, while faults are injected, a random
    /// choice of others.
    fn members(&mut self, entry: usize) -> BTreeMap<EntryId, HallId> {
        let mut members = BTreeMap::new();
        for (index, other) in self.entries.iter().enumerate() {
            let seen = if self.faulty {
                self.rng.random_bool(0.8)
            } else {
                other.alive
            };
            if index == entry || seen {
                members.insert(other.name.clone(), other.hall.clone());
            }
        }
        members
    }

    fn plan(&mut self, entry: usize) {
        let members = self.members(entry);
        let name = self.entries[entry].name.clone();
        let view = view(&name, &members, self.now);
        let changes = plan(&self.entries[entry].fleet, &view);
        if !changes.is_empty() {
            self.append(&name, changes);
        }
    }

    /// Replaces an entry by one without state. Calls on which it had decided may still be made.
    fn restart(&mut self, entry: usize) {
        self.entries[entry].fleet = Fleet::default();
    }

    /// Ends the faults, takes back the operators' drains and starts a last wave.
    pub fn end_faults(&mut self) {
        self.faulty = false;
        let drains: Vec<Change> = self
            .reference
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id, vm.grant.as_ref()?)))
            .filter(|(_, grant)| grant.purpose == GrantPurpose::Drain)
            .map(|(id, grant)| Change::Undo {
                vm: id.clone(),
                grant: grant.id,
            })
            .collect();
        self.append("operator", drains);
        self.append(
            "operator",
            vec![Change::Wave(WaveChange::Start {
                scope: "place".into(),
            })],
        );
    }

    /// Returns the state of every entry after it has applied the whole log.
    pub fn states(&mut self) -> Vec<Fleet> {
        for entry in 0..self.entries.len() {
            while (self.entries[entry].fleet.next as usize) < self.log.len() {
                let record = self.log[self.entries[entry].fleet.next as usize].clone();
                self.entries[entry].fleet.apply(&record);
            }
        }
        self.entries
            .iter()
            .map(|entry| entry.fleet.clone())
            .collect()
    }
}

fn view<'a>(entry: &'a str, live: &'a BTreeMap<EntryId, HallId>, now: SystemTime) -> View<'a> {
    View {
        entry,
        live,
        now,
        lease: LEASE,
    }
}
