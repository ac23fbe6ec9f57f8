//! The stand-in's VMs, and how calls and faults change them.

use crate::ledger::{Ledger, RunEnd, VmEvent, VmEventKind, now_ms};
use platform::{VmCall, VmInfo, VmLifecycle};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};
use tokio::sync::watch;

/// A simulated VM.
pub struct SimulatedVm {
    /// Description of the VM as the platform publishes it.
    pub info: VmInfo,
    /// Ids of all attempts that its worker has begun since the VM was created.
    pub attempts: HashSet<String>,
    /// Index in the ledger's runs of each running task, by the id of its attempt.
    pub running: HashMap<String, usize>,
    /// Factor by which its reboots take longer than those of other VMs.
    pub reboot_factor: u32,
    /// Number of its failures so far.
    pub failures: u32,
    /// Whether its worker fails every task.
    pub failing: bool,
    /// Channel that tells its worker whether the VM is up.
    pub power: watch::Sender<bool>,
}

/// What the platform has to do after a call.
pub enum Effect {
    /// The call needs nothing further.
    Done,
    /// The VM comes back after this time.
    BackAfter(Duration),
    /// The VM no longer exists.
    Removed,
    /// The call was refused because its token or boot count is stale.
    Stale,
}

impl SimulatedVm {
    /// Creates a VM that is up.
    pub fn new(info: VmInfo) -> Self {
        Self {
            info,
            attempts: HashSet::new(),
            running: HashMap::new(),
            reboot_factor: 1,
            failures: 0,
            failing: false,
            power: watch::Sender::new(true),
        }
    }

    /// Carries out a call, or refuses it if its token or boot count is stale.
    pub fn call(&mut self, call: &VmCall, ledger: &mut Ledger, reboot: Duration) -> Effect {
        let token = match call {
            VmCall::Drain { token }
            | VmCall::Undrain { token }
            | VmCall::Reboot { token, .. }
            | VmCall::Release { token }
            | VmCall::Assign { token, .. } => *token,
        };
        let stale_boot = matches!(call, VmCall::Reboot { boot, .. } if *boot != self.info.boot);
        if token < self.info.token || stale_boot {
            self.record_event(ledger, VmEventKind::Stale);
            return Effect::Stale;
        }
        self.info.token = token;
        match call {
            VmCall::Drain { .. } => self.set_drained(ledger, true),
            VmCall::Undrain { .. } => self.set_drained(ledger, false),
            VmCall::Assign { pool, .. } => {
                self.info.pool.clone_from(pool);
                self.info.drained = false;
                self.record_event(ledger, VmEventKind::Assign);
                Effect::Done
            }
            VmCall::Release { .. } => {
                self.power_off(ledger, RunEnd::CutByCall);
                self.record_event(ledger, VmEventKind::Release);
                Effect::Removed
            }
            VmCall::Reboot { .. } if !self.info.up => Effect::Done,
            VmCall::Reboot { .. } => {
                self.power_off(ledger, RunEnd::CutByCall);
                self.record_event(ledger, VmEventKind::Reboot);
                Effect::BackAfter(reboot * self.reboot_factor)
            }
        }
    }

    /// Makes the VM fail. A reboot in progress does not bring it back.
    pub fn fail(&mut self, ledger: &mut Ledger) {
        self.failures += 1;
        self.power_off(ledger, RunEnd::CutByFault);
        self.record_event(ledger, VmEventKind::Fail);
    }

    /// Brings the VM back with a higher boot count; a boot also ends a drain.
    pub fn restore(&mut self, ledger: &mut Ledger, kind: VmEventKind) {
        self.info.up = true;
        self.info.boot += 1;
        self.info.state = VmLifecycle::Live;
        self.record_event(ledger, kind);
        self.set_drained(ledger, false);
        self.power.send_replace(true);
    }

    fn set_drained(&mut self, ledger: &mut Ledger, drained: bool) -> Effect {
        if self.info.drained != drained {
            self.info.drained = drained;
            let kind = if drained {
                VmEventKind::Drain
            } else {
                VmEventKind::Undrain
            };
            self.record_event(ledger, kind);
        }
        Effect::Done
    }

    fn power_off(&mut self, ledger: &mut Ledger, end: RunEnd) {
        self.info.up = false;
        self.info.running = 0;
        for (_, index) in self.running.drain() {
            ledger.runs[index].end = Some(end);
            ledger.runs[index].ended = Some(now_ms());
        }
        self.power.send_replace(false);
    }

    fn record_event(&self, ledger: &mut Ledger, kind: VmEventKind) {
        ledger.events.push(VmEvent {
            at: now_ms(),
            vm: self.info.id.clone(),
            kind,
        });
    }
}
