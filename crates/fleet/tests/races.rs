//! Seeded runs of kills, freezes, lost answers, failures and operator races on the fold and the
//! planner, with independent counts of budgets and reboots.

mod world;

use havenladder_fleet::WaveState;
use world::World;

/// Seeds that are run; each gives a run of its own.
const SEEDS: u64 = 300;

/// Random steps of each run.
const STEPS: usize = 600;

/// Steps in which everything must come to its end once faults have ended.
const CALM_STEPS: usize = 60_000;

const SETTINGS: &str = r#"{
  "place": {
    "unavailable": "30%",
    "pools": {
      "one": { "vms": 10, "services": { "a": {}, "b": { "unavailable": 14 } } },
      "two": { "vms": 6, "services": { "c": { "unavailable": "40%" } } }
    }
  }
}"#;

fn run(seed: u64) -> World {
    let mut world = World::new(seed, SETTINGS, 18);
    for _ in 0..STEPS {
        world.step();
    }
    world
}

#[test]
fn no_race_overruns_a_budget_or_reboots_twice() {
    for seed in 0..SEEDS {
        let world = run(seed);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        let twice = world.reboots.iter().find(|(_, count)| **count > 1);
        assert_eq!(twice, None, "seed {seed}");
    }
}

#[test]
fn every_entry_folds_to_the_same_state() {
    for seed in 0..SEEDS / 10 {
        let mut world = run(seed);
        let truth = world.truth.clone();
        for fleet in world.folds() {
            assert_eq!(fleet, truth, "seed {seed}");
        }
        let pools: usize = truth.vms.values().filter(|vm| !vm.pool.is_empty()).count();
        assert_eq!(pools, truth.vms.len(), "a VM without a pool");
    }
}

#[test]
fn waves_end_once_faults_have_ended() {
    for seed in 0..SEEDS / 10 {
        let mut world = run(seed);
        world.calm();
        let newest = *world.truth.waves.keys().next_back().expect("a wave");
        let mut steps = 0;
        while world.truth.waves[&newest].state != WaveState::Done {
            world.step();
            steps += 1;
            assert!(
                steps < CALM_STEPS,
                "seed {seed}: the wave does not end: {:#?}",
                world
                    .truth
                    .vms
                    .values()
                    .filter(|vm| !vm.is_available())
                    .collect::<Vec<_>>()
            );
        }
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
    }
}
