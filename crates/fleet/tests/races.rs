//! Runs with random kills, freezes, lost responses, failures and operator races against the fold and the
//! planner. Budgets and reboots are counted independently of the code under test.

mod world;

use havenladder_fleet::WaveState;
use world::World;

/// The number of seeds, each of which gives a different run.
const SEEDS: u64 = 300;

/// The number of random steps in each run.
const STEPS: usize = 600;

/// The number of steps within which all waves must end once there are no more faults.
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
fn races_never_exceed_a_budget_or_reboot_twice() {
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
        let reference = world.reference.clone();
        for fleet in world.states() {
            assert_eq!(fleet, reference, "seed {seed}");
        }
        let pools: usize = reference
            .vms
            .values()
            .filter(|vm| !vm.pool.is_empty())
            .count();
        assert_eq!(pools, reference.vms.len(), "a VM without a pool");
    }
}

#[test]
fn waves_end_once_faults_have_ended() {
    for seed in 0..SEEDS / 10 {
        let mut world = run(seed);
        world.end_faults();
        let newest = *world.reference.waves.keys().next_back().expect("a wave");
        let mut steps = 0;
        while world.reference.waves[&newest].state != WaveState::Done {
            world.step();
            steps += 1;
            assert!(
                steps < CALM_STEPS,
                "seed {seed}: the wave does not end; out of service: {:#?}",
                world
                    .reference
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
