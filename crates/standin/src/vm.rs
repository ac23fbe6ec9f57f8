//! The stand-in's VMs: what a call or a fault makes of one.

use crate::ledger::{Ledger, RunEnd, VmEvent, VmEventKind, now_ms};
use platform::{VmCall, VmInfo, VmLifecycle};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};
use tokio::sync::watch;

/// One VM.
pub struct Machine {
    /// What the platform shows of it.
    pub info: VmInfo,
    /// Attempts that its worker has begun since it was made.
    pub seen: HashSet<String>,
    /// Places of its running tasks in the ledger.
    pub running: HashMap<String, usize>,
    /// How many times longer than others it takes to come back.
    pub slowness: u32,
    /// How often it has failed.
    pub failures: u32,
    /// Whether its worker fails every task.
    pub failing: bool,
    /// Tells its worker whether it is up.
    pub power: watch::Sender<bool>,
}

/// What a call leads to.
pub enum Effect {
    /// Nothing more.
    Done,
    /// The VM is back after this time.
    BackAfter(Duration),
    /// The VM is no longer there.
    Removed,
    /// The call was stale.
    Stale,
}

impl Machine {
    /// Makes a VM that is up.
    pub fn new(info: VmInfo) -> Self {
        Self {
            info,
            seen: HashSet::new(),
            running: HashMap::new(),
            slowness: 1,
            failures: 0,
            failing: false,
            power: watch::Sender::new(true),
        }
    }

    /// Carries out a call.
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
            self.note(ledger, VmEventKind::Stale);
            return Effect::Stale;
        }
        self.info.token = token;
        match call {
            VmCall::Drain { .. } => self.set_drained(ledger, true),
            VmCall::Undrain { .. } => self.set_drained(ledger, false),
            VmCall::Assign { pool, .. } => {
                self.info.pool.clone_from(pool);
                self.info.drained = false;
                self.note(ledger, VmEventKind::Assign);
                Effect::Done
            }
            VmCall::Release { .. } => {
                self.power_off(ledger, RunEnd::CutByCall);
                self.note(ledger, VmEventKind::Release);
                Effect::Removed
            }
            VmCall::Reboot { .. } if !self.info.up => Effect::Done,
            VmCall::Reboot { .. } => {
                self.power_off(ledger, RunEnd::CutByCall);
                self.note(ledger, VmEventKind::Reboot);
                Effect::BackAfter(reboot * self.slowness)
            }
        }
    }

    /// Makes the VM fail; a reboot that is under way does not bring it back.
    pub fn fail(&mut self, ledger: &mut Ledger) {
        self.failures += 1;
        self.power_off(ledger, RunEnd::CutByFault);
        self.note(ledger, VmEventKind::Fail);
    }

    /// Brings the VM back, booted once more; a boot ends a drain.
    pub fn restore(&mut self, ledger: &mut Ledger, kind: VmEventKind) {
        self.info.up = true;
        self.info.boot += 1;
        self.info.state = VmLifecycle::Live;
        self.note(ledger, kind);
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
            self.note(ledger, kind);
        }
        Effect::Done
    }

    fn power_off(&mut self, ledger: &mut Ledger, end: RunEnd) {
        self.info.up = false;
        self.info.running = 0;
        for (_, place) in self.running.drain() {
            ledger.runs[place].end = Some(end);
            ledger.runs[place].ended = Some(now_ms());
        }
        self.power.send_replace(false);
    }

    fn note(&self, ledger: &mut Ledger, kind: VmEventKind) {
        ledger.events.push(VmEvent {
            at: now_ms(),
            vm: self.info.id.clone(),
            kind,
        });
    }
}
