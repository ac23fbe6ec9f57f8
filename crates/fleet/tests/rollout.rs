//! Duration of waves, number of moves and slots out of service at the users' sizes, in simulated time, as
//! ratios to their bounds and compared with two baselines. `cargo test -p havenladder-fleet --test rollout
//! -- --nocapture` prints the figures.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_fleet::{
    BudgetHeadroom, Change, Fleet, GrantPurpose, Health, Observation, ObservedState, PathChange,
    Record, Step, View, WaveChange, WaveState, min_moves, plan, tightest_budget,
};
use protocol::{EntryId, HallId, LogRecord, RecordId, encode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use settings::{diff, read_tree};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const KOWHAI: &str = include_str!("../../../examples/kowhai/settings.jsonc");
const SAN_CARLOS: &str = include_str!("../../../examples/san-carlos/settings.jsonc");

/// The time between two steps, which is that of an append and its read-back.
const STEP: Duration = Duration::from_millis(100);

/// The time that a VM takes to drain and reboot.
const VM_DURATION: Duration = Duration::from_secs(90);

/// The mode in which a wave chooses VMs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// The mode of the planner.
    Planner,
    /// One VM at a time in the whole fleet.
    OneByOne,
    /// As many VMs as each budget allows, but no more until all of them are back.
    Batches,
}

/// The faults during a run.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Whether a rack is lost during the wave, for as long as one VM takes.
    rack: bool,
    /// The share of VMs that take three times as long to come back.
    slow: f64,
}

struct Run {
    fleet: Fleet,
    now: SystemTime,
    live: BTreeMap<EntryId, HallId>,
    /// The time at which each VM that is out of service comes back.
    back_at: BTreeMap<String, SystemTime>,
    rng: SmallRng,
    max_out: u32,
}

impl Run {
    fn new(settings: &str, vms: u32, seed: u64) -> Self {
        let mut run = Self {
            fleet: Fleet::default(),
            now: UNIX_EPOCH + Duration::from_secs(1_000_000),
            live: (1..=4)
                .map(|hall| (format!("entry-{hall}"), format!("hall-{hall}")))
                .collect(),
            back_at: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            max_out: 0,
        };
        run.publish(settings);
        let seen = (0..vms).map(|vm| run.up(vm, 1)).collect();
        run.propose(vec![Change::Observe(seen)]);
        run
    }

    fn publish(&mut self, settings: &str) {
        let wanted = read_tree("settings", settings).unwrap();
        let changes = diff(&self.fleet.tree, &wanted)
            .into_iter()
            .map(|change| PathChange {
                base: self.fleet.version(&change.path),
                path: change.path,
                node: change.node,
            });
        let changes = changes.collect();
        self.propose(vec![Change::Settings(changes)]);
    }

    fn up(&self, vm: u32, boot: u64) -> Observation {
        let hall = vm % 4 + 1;
        let id = format!("vm-{vm:05}");
        let base = self.fleet.vms.get(&id).map_or(0, |vm| vm.version);
        let seen = ObservedState::Up {
            hall: format!("hall-{hall}"),
            rack: format!("hall-{hall}-rack-{}", vm / 16),
            addr: "addr".into(),
            slots: 8,
            boot,
        };
        Observation { vm: id, base, seen }
    }

    fn propose(&mut self, changes: Vec<Change>) {
        self.propose_as("entry-1", changes);
    }

    fn propose_as(&mut self, by: &str, changes: Vec<Change>) {
        let record = Record {
            id: RecordId::from_parts(0, self.rng.random()),
            by: by.into(),
            expires: self.now + Duration::from_secs(30),
            changes,
        };
        let data = encode(&record).unwrap();
        let record = LogRecord {
            offset: self.fleet.next,
            at: self.now,
            data,
        };
        self.fleet.apply(&record);
    }

    /// Applies the proposals of every entry, as far as the mode admits them.
    fn plan(&mut self, mode: Mode) {
        for entry in self.live.clone().into_keys() {
            let view = View {
                entry: &entry,
                live: &self.live,
                now: self.now,
                lease: Duration::from_secs(600),
            };
            let mut changes = plan(&self.fleet, &view);
            changes.retain(|change| !matches!(change, Change::Grant(_)) || self.admits(mode));
            if mode == Mode::OneByOne {
                let grants = changes
                    .iter()
                    .filter(|change| matches!(change, Change::Grant(_)));
                let surplus = grants.count().saturating_sub(1);
                let keep = changes.len() - surplus;
                changes.truncate(keep);
            }
            if !changes.is_empty() {
                self.propose(changes);
            }
        }
    }

    fn admits(&self, mode: Mode) -> bool {
        match mode {
            Mode::Planner => true,
            Mode::OneByOne | Mode::Batches => self.fleet.vms.values().all(|vm| vm.grant.is_none()),
        }
    }

    /// Advances the time by one step and carries out the grants.
    fn advance(&mut self, faults: Faults) {
        self.now += STEP;
        let granted: Vec<(String, u64, Step, u64, GrantPurpose)> = self
            .fleet
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id.clone(), vm.boot, vm.grant.clone()?)))
            .map(|(id, boot, grant)| (id, grant.id, grant.step, boot, grant.purpose))
            .collect();
        let mut changes = Vec::new();
        for (vm, grant, step, boot, purpose) in granted {
            match (step, self.back_at.get(&vm)) {
                (Step::Returning, _) => changes.push(Change::Finish { vm, grant, boot }),
                (_, None) => {
                    let holder = self.fleet.vms[&vm].grant.as_ref().unwrap().holder.clone();
                    let slow = if self.rng.random_bool(faults.slow) {
                        3
                    } else {
                        1
                    };
                    self.back_at
                        .insert(vm.clone(), self.now + VM_DURATION * slow);
                    self.propose_as(&holder, vec![Change::Begin { vm, grant }]);
                }
                (_, Some(back_at)) if *back_at <= self.now => {
                    self.back_at.remove(&vm);
                    let boot = if purpose == GrantPurpose::Reboot {
                        boot + 1
                    } else {
                        boot
                    };
                    changes.push(Change::Finish { vm, grant, boot });
                }
                _ => {}
            }
        }
        if !changes.is_empty() {
            self.propose(changes);
        }
        self.max_out = self
            .max_out
            .max(self.fleet.counts.values().map(|c| c.unavailable).sum());
    }

    /// Runs a wave over the whole fleet and returns its duration.
    fn run_wave(&mut self, mode: Mode, faults: Faults) -> Duration {
        self.now += Duration::from_secs(1);
        let place = self.fleet.tree.nodes.keys().next().unwrap().clone();
        self.propose(vec![Change::Wave(WaveChange::Start { scope: place })]);
        let began = self.now;
        let wave = *self.fleet.waves.keys().next_back().unwrap();
        let mut rack_back = None;
        while self.fleet.waves[&wave].state == WaveState::Running {
            if faults.rack && rack_back.is_none() && self.now > began + VM_DURATION {
                self.set_rack(false);
                rack_back = Some(self.now + VM_DURATION);
            }
            if rack_back.is_some_and(|back_at| self.now >= back_at) && self.any_down() {
                self.set_rack(true);
            }
            self.plan(mode);
            self.advance(faults);
        }
        self.now.duration_since(began).unwrap()
    }

    fn any_down(&self) -> bool {
        self.fleet.vms.values().any(|vm| vm.health == Health::Down)
    }

    /// Takes a rack down, or brings it back with its VMs rebooted.
    fn set_rack(&mut self, up: bool) {
        let seen = self
            .fleet
            .vms
            .iter()
            .filter(|(_, vm)| vm.rack == "hall-1-rack-1" && vm.grant.is_none())
            .map(|(id, vm)| Observation {
                vm: id.clone(),
                base: vm.version,
                seen: if up {
                    let number = id["vm-".len()..].parse().unwrap();
                    self.up(number, vm.boot + 1).seen
                } else {
                    ObservedState::Down
                },
            })
            .collect();
        self.propose(vec![Change::Observe(seen)]);
    }

    /// Returns the minimum duration of a wave: the maximum over all pools of the rounds that the budget
    /// requires, times the duration of one VM.
    fn min_duration(&self) -> Duration {
        let rounds = self.fleet.counts.iter().filter_map(|(pool, count)| {
            let at_once = tightest_budget(&self.fleet, pool)?.budget / 8;
            Some(count.vms.div_ceil(at_once.max(1)))
        });
        VM_DURATION * rounds.max().unwrap()
    }
}

fn ratio(settings: &str, mode: Mode, faults: Faults) -> (f64, u32) {
    let mut run = Run::new(settings, 50, 1);
    let bound = run.min_duration();
    let took = run.run_wave(mode, faults);
    (took.as_secs_f64() / bound.as_secs_f64(), run.max_out)
}

#[yare::parameterized(
    kowhai = { "Kowhai Press", KOWHAI },
    san_carlos = { "San Carlos", SAN_CARLOS },
)]
fn a_wave_takes_at_most_a_tenth_longer_than_its_bound(user: &str, settings: &str) {
    let calm = Faults::default();
    let (planner, out) = ratio(settings, Mode::Planner, calm);
    let (batches, _) = ratio(settings, Mode::Batches, calm);
    let (one, _) = ratio(settings, Mode::OneByOne, calm);
    println!(
        "{user}: time over bound {planner:.3}, batches {batches:.3}, one by one {one:.3}; most out {out} slots"
    );
    assert!(planner <= 1.10, "{planner}");
    assert!(planner <= batches && planner < one);
}

#[yare::parameterized(
    kowhai = { "Kowhai Press", KOWHAI },
    san_carlos = { "San Carlos", SAN_CARLOS },
)]
fn a_lost_rack_and_slow_vms_cost_less_than_in_batches(user: &str, settings: &str) {
    let faults = Faults {
        rack: true,
        slow: 0.1,
    };
    let (planner, _) = ratio(settings, Mode::Planner, faults);
    let (batches, _) = ratio(settings, Mode::Batches, faults);
    let (one, _) = ratio(settings, Mode::OneByOne, faults);
    println!(
        "{user}, a rack lost, 10 % slow: time over bound {planner:.3}, batches {batches:.3}, one by one {one:.3}"
    );
    assert!(planner < batches && planner < one);
}

#[test]
fn the_minimum_of_moves_reaches_the_desired_sizes() {
    let mut run = Run::new(KOWHAI, 50, 1);
    let wanted = KOWHAI
        .replace("\"vms\": 12", "\"vms\": 9")
        .replace("\"vms\": 8,", "\"vms\": 11,");
    run.publish(&wanted);
    let min = min_moves(&run.fleet);
    let before: BTreeMap<String, String> = pools(&run.fleet);
    for _ in 0..20_000 {
        run.plan(Mode::Planner);
        run.advance(Faults::default());
    }
    let moved = pools(&run.fleet)
        .into_iter()
        .filter(|(vm, pool)| before[vm] != *pool)
        .count();
    println!("moves {moved}, the least possible {min}");
    assert_eq!(moved as u32, min);
    assert_eq!(run.fleet.count("aotearoa/orders").vms, 11);
    assert!(BudgetHeadroom::new(&run.fleet).take(run.fleet.vms.values().next().unwrap()));
}

fn pools(fleet: &Fleet) -> BTreeMap<String, String> {
    fleet
        .vms
        .iter()
        .map(|(id, vm)| (id.clone(), vm.pool.clone()))
        .collect()
}
