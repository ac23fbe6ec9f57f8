//! What operators have put in force: the configuration, as decoded and as written, its keys, waves of upkeep, and data
//! centres to be emptied.

use adapter::{
    operator::{self, CONFIG_KEY, Config, EVACUATE_KEY, Queue, Version, WAVE_KEY, Wave},
    store::{Keyed, Offset},
    workspaces::Rows,
};
use bytes::Bytes;
use jobs::{Evacuations, HallId, HallOrder, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    rc::Rc,
};
use tracing::{info, warn};
use workspaces::{Authorization, Keyring};

/// A configuration as operators wrote it. Its `Debug` form does not show it, since it holds keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawConfig(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl fmt::Debug for RawConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RawConfig({} bytes)", self.0.len())
    }
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// Whoever it is: the queue is open to all.
    Anyone,
    /// A workspace, by one of its keys.
    #[serde(rename = "Of")]
    Workspace(WorkspaceId),
}

/// Why a call is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unauthorized {
    /// It shows no key.
    Missing,
    /// What it shows is no key.
    Malformed,
    /// No workspace has the key, or several have it.
    Unknown,
}

impl Unauthorized {
    /// What its caller, the log and the metrics are told.
    pub fn reason(self) -> &'static str {
        match self {
            Unauthorized::Missing => "no key",
            Unauthorized::Malformed => "malformed key",
            Unauthorized::Unknown => "unknown key",
        }
    }
}

/// What is in force.
#[derive(Default)]
pub struct InForce {
    config: Option<Rc<Config>>,
    raw_config: Option<Bytes>,
    rows: Rows,
    keyring: Keyring,
    waves: BTreeMap<u64, Wave>,
    hall_drains: Evacuations,
    /// The data centres of the deployment; none if they are not known.
    halls: BTreeSet<HallId>,
}

impl InForce {
    /// Nothing in force yet, on a deployment with these data centres.
    pub fn new(halls: BTreeSet<HallId>) -> Self {
        InForce {
            halls,
            ..InForce::default()
        }
    }

    /// The newest configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.clone()
    }

    /// Its version; 0 without one.
    pub fn version(&self) -> Version {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// The newest configuration as it was written, if it is newer than a version.
    pub fn raw_config_after(&self, version: Version) -> Option<RawConfig> {
        let raw_config = self.raw_config.as_ref();
        let newer = raw_config.filter(|_| self.version() > version);
        newer.map(|raw_config| RawConfig(raw_config.to_vec()))
    }

    /// The waves that operators asked for, by number.
    pub fn waves(&self) -> impl Iterator<Item = &Wave> {
        self.waves.values()
    }

    /// The workspaces and their keys.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// Who makes a call to a queue, by the key that it shows. On a deployment without workspaces every queue is open.
    ///
    /// # Errors
    ///
    /// Tells why the call is not let in.
    pub fn authenticate(
        &self,
        queue: &Queue,
        authorization: &Authorization,
    ) -> Result<Caller, Unauthorized> {
        let config = self.config.as_ref();
        let open = queue.open || config.is_none_or(|config| config.workspaces.is_none());
        match authorization {
            _ if open => Ok(Caller::Anyone),
            Authorization::Missing => Err(Unauthorized::Missing),
            Authorization::Malformed => Err(Unauthorized::Malformed),
            Authorization::Key(key) => {
                let workspace = self.keyring.find(key).ok_or(Unauthorized::Unknown)?;
                Ok(Caller::Workspace(workspace.clone()))
            }
        }
    }

    /// The data centres that are to be emptied.
    pub fn hall_drains(&self) -> &Evacuations {
        &self.hall_drains
    }

    /// Takes in the newest record of each key of the operators' topic, which ended at `end`.
    pub fn restart(&mut self, newest: Vec<Keyed>, end: Offset) {
        let orders = newest.iter().filter_map(|record| self.read_order(record));
        let halls = orders.filter_map(|order| match order {
            HallOrder::Empty(hall) => Some(hall),
            HallOrder::TakeBack(_) => None,
        });
        // What has no record has been taken back.
        self.adopt_hall_drains(Evacuations::new(halls.collect(), end));
        newest
            .into_iter()
            .for_each(|record| self.apply_record(record));
    }

    /// Takes in the record at an offset of the operators' topic.
    pub fn apply(&mut self, record: Keyed, offset: Offset) {
        let order = self.read_order(&record);
        if self.hall_drains.take(order, offset) {
            self.log_hall_drains();
        }
        self.apply_record(record);
    }

    /// Takes in what another entry knows.
    pub fn adopt(&mut self, config: Option<RawConfig>, hall_drains: Evacuations) {
        if let Some(config) = config {
            info!("another entry has a newer configuration");
            self.apply_config(config.0.into());
        }
        self.adopt_hall_drains(hall_drains);
    }

    /// Takes over which data centres are to be emptied, unless something newer is known.
    fn adopt_hall_drains(&mut self, hall_drains: Evacuations) {
        if self.hall_drains.adopt(hall_drains) {
            self.log_hall_drains();
        }
    }

    /// One line for each change of what is to be emptied.
    fn log_hall_drains(&self) {
        let halls = self.hall_drains.halls();
        info!(?halls, "data centres to be emptied");
    }

    /// The order about a data centre of the deployment that a record holds; one that makes no sense is logged and changes
    /// nothing.
    fn read_order(&self, record: &Keyed) -> Option<HallOrder> {
        let key = &record.key;
        let hall = key.strip_prefix(EVACUATE_KEY)?;
        let Some(value) = &record.value else {
            return Some(HallOrder::TakeBack(hall.to_owned()));
        };
        if hall.is_empty() || !(self.halls.is_empty() || self.halls.contains(hall)) {
            warn!(key, halls = ?self.halls, "an order to empty a data centre that does not exist");
            return None;
        }
        match operator::read_evacuation(value) {
            Ok(()) => Some(HallOrder::Empty(hall.to_owned())),
            Err(error) => {
                warn!(%error, key, "an order to empty a data centre cannot be read");
                None
            }
        }
    }

    /// Puts a configuration or a wave in force.
    fn apply_record(&mut self, record: Keyed) {
        let Some(value) = record.value else { return };
        if record.key == CONFIG_KEY {
            self.apply_config(value);
        } else if record.key.starts_with(WAVE_KEY) {
            self.add_wave(&record.key, &value);
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    fn apply_config(&mut self, value: Bytes) {
        // Other entries and looks bring what is in force already, and a large one takes long to read on a weak entry.
        let is_old = |version| self.config.is_some() && version <= self.version();
        if operator::read_version(&value).is_some_and(is_old) {
            return;
        }
        let config = match operator::read_config(&value, &mut self.rows) {
            Ok(config) => config,
            Err(error) => {
                return warn!(%error, "a configuration cannot be read; the old one stays");
            }
        };
        let old = self.version();
        let workspaces = config.workspaces.as_ref();
        self.keyring
            .replace(workspaces.map_or(&[], |workspaces| workspaces.rows.as_slice()));
        info!(
            version = config.version,
            old,
            queues = config.routes.len(),
            workspaces = self.keyring.workspaces().count(),
            odd = ?workspaces.map(|workspaces| workspaces.odd).unwrap_or_default(),
            shared_keys = self.keyring.shared_keys(),
            "configuration in force"
        );
        self.config = Some(Rc::new(config));
        self.raw_config = Some(value);
    }

    /// Takes in a wave; it does not change once it is asked for.
    fn add_wave(&mut self, key: &str, value: &Bytes) {
        match operator::read_wave(value) {
            Ok(wave) => {
                let (number, vms, most) = (wave.number, wave.vms.len(), wave.most);
                info!(wave = number, vms, most, "wave asked for");
                self.waves.entry(number).or_insert(wave);
            }
            Err(error) => warn!(%error, key, "a wave cannot be read"),
        }
    }
}
