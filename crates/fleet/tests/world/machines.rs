//! The simulated platform: its VMs, calls, faults and its own count of unavailable slots.

use super::World;
use havenladder_fleet::{Action, Grant};
use rand::{Rng, seq::IndexedRandom};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

/// One VM as the platform knows it.
#[derive(Clone, Debug)]
pub struct Machine {
    pub hall: String,
    pub rack: String,
    pub slots: u32,
    pub boot: u64,
    pub up: bool,
    pub drained: bool,
    pub running: u32,
    pub pool: String,
    pub token: u64,
    /// The time at which the VM comes back, and whether the system (rather than a fault) took it down.
    pub back: Option<(SystemTime, bool)>,
}

impl World {
    /// Checks that the system's calls keep no more slots out of service than the budgets allow, by the
    /// platform's own count.
    pub(super) fn check_platform(&mut self) {
        let mut pools: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for (id, machine) in &self.machines {
            let Some(vm) = self.reference.vms.get(id) else {
                continue;
            };
            let by_system = machine.drained || machine.back.is_some_and(|(_, system)| system);
            let count = pools.entry(vm.pool.clone()).or_default();
            count.0 += machine.slots;
            count.1 += if by_system { machine.slots } else { 0 };
        }
        for (pool, (capacity, out)) in pools {
            let over = out > self.budget(&pool, capacity);
            self.check(
                !over,
                "the platform counts more out of service than a budget allows",
            );
        }
    }

    pub(super) fn platform_call(&mut self, id: &str, grant: &Grant, action: Action) {
        let (now, slow) = (self.now, self.rng.random_range(5..40));
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if grant.token < machine.token {
            return;
        }
        machine.token = grant.token;
        match action {
            Action::Drain => machine.drained = true,
            Action::Undrain => machine.drained = false,
            Action::Assign(pool) => {
                machine.pool = pool;
                machine.drained = false;
            }
            Action::Release => {
                self.machines.remove(id);
            }
            Action::Reboot(boot) if boot == machine.boot && machine.up => {
                let cut_off = machine.running > 0;
                machine.up = false;
                machine.running = 0;
                machine.back = Some((now + Duration::from_secs(slow), true));
                *self.reboots.entry((id.to_owned(), boot)).or_default() += 1;
                self.check(!cut_off, "a reboot cut off a request");
            }
            _ => {}
        }
    }

    pub(super) fn advance_time(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(100..4_000));
        for machine in self.machines.values_mut() {
            if machine.back.is_some_and(|(at, _)| at <= self.now) {
                machine.back = None;
                machine.up = true;
                machine.boot += 1;
                machine.drained = false;
            }
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let ids: Vec<String> = self.machines.keys().cloned().collect();
        let Some(id) = ids.choose(&mut self.rng) else {
            return;
        };
        let rack = self.machines[id].rack.clone();
        let whole_rack = self.rng.random_bool(0.2);
        let back = self.now + Duration::from_secs(self.rng.random_range(5..60));
        for (other, machine) in &mut self.machines {
            let hit = other == id || (whole_rack && machine.rack == rack);
            if hit && machine.up {
                machine.up = false;
                machine.running = 0;
                machine.drained = false;
                machine.back = Some((back, false));
            }
        }
    }

    pub(super) fn change_load(&mut self) {
        for machine in self.machines.values_mut() {
            if machine.up && !machine.drained && self.rng.random_bool(0.3) {
                machine.running = 1;
            } else if self.rng.random_bool(0.7) {
                machine.running = 0;
            }
        }
    }
}
