//! What operators have put in force: the configuration, as decoded and as written, its keys, waves of upkeep, and data
//! centres to be emptied.

use adapter::{
    operator::{self, CONFIG_KEY, Config, EVACUATE_KEY, Queue, Version, WAVE_KEY, Wave},
    store::{Keyed, Offset},
    workspaces::Rows,
};
use bytes::Bytes;
use jobs::{HallDrains, HallId, HallOrder, WorkspaceId};
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
pub struct Written(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl fmt::Debug for Written {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Written({} bytes)", self.0.len())
    }
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// Whoever it is: the queue is open to all.
    Anyone,
    /// A workspace, by one of its keys.
    Of(WorkspaceId),
}

/// Why a call is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barred {
    /// It shows no key.
    Missing,
    /// What it shows is no key.
    Malformed,
    /// No workspace has the key, or several have it.
    Unknown,
}

impl Barred {
    /// What its caller, the log and the metrics are told.
    pub fn reason(self) -> &'static str {
        match self {
            Barred::Missing => "no key",
            Barred::Malformed => "malformed key",
            Barred::Unknown => "unknown key",
        }
    }
}

/// What is in force.
#[derive(Default)]
pub struct InForce {
    config: Option<Rc<Config>>,
    written: Option<Bytes>,
    rows: Rows,
    keyring: Keyring,
    waves: BTreeMap<u64, Wave>,
    evacuations: HallDrains,
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
    pub fn written_after(&self, version: Version) -> Option<Written> {
        let written = self.written.as_ref();
        let newer = written.filter(|_| self.version() > version);
        newer.map(|written| Written(written.to_vec()))
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
    pub fn judge(&self, queue: &Queue, shown: &Authorization) -> Result<Caller, Barred> {
        let config = self.config.as_ref();
        let open = queue.open || config.is_none_or(|config| config.workspaces.is_none());
        match shown {
            _ if open => Ok(Caller::Anyone),
            Authorization::Missing => Err(Barred::Missing),
            Authorization::Malformed => Err(Barred::Malformed),
            Authorization::Key(key) => {
                let workspace = self.keyring.find(key).ok_or(Barred::Unknown)?;
                Ok(Caller::Of(workspace.clone()))
            }
        }
    }

    /// The data centres that are to be emptied.
    pub fn evacuations(&self) -> &HallDrains {
        &self.evacuations
    }

    /// Takes in the newest record of each key of the operators' topic, which ended at `end`.
    pub fn restart(&mut self, newest: Vec<Keyed>, end: Offset) {
        let orders = newest.iter().filter_map(|record| self.read_order(record));
        let halls = orders.filter_map(|order| match order {
            HallOrder::Drain(hall) => Some(hall),
            HallOrder::Undrain(_) => None,
        });
        // What has no record has been taken back.
        self.adopt_evacuations(HallDrains::new(halls.collect(), end));
        newest.into_iter().for_each(|record| self.put(record));
    }

    /// Takes in the record at an offset of the operators' topic.
    pub fn take(&mut self, record: Keyed, offset: Offset) {
        let order = self.read_order(&record);
        if self.evacuations.apply(order, offset) {
            self.tell_evacuations();
        }
        self.put(record);
    }

    /// Takes in what another entry knows.
    pub fn adopt(&mut self, config: Option<Written>, evacuations: HallDrains) {
        if let Some(config) = config {
            info!("another entry has a newer configuration");
            self.take_config(config.0.into());
        }
        self.adopt_evacuations(evacuations);
    }

    /// Takes over which data centres are to be emptied, unless something newer is known.
    fn adopt_evacuations(&mut self, evacuations: HallDrains) {
        if self.evacuations.adopt(evacuations) {
            self.tell_evacuations();
        }
    }

    /// One line for each change of what is to be emptied.
    fn tell_evacuations(&self) {
        let halls = self.evacuations.halls();
        info!(?halls, "data centres to be emptied");
    }

    /// The order about a data centre of the deployment that a record holds; one that makes no sense is logged and changes
    /// nothing.
    fn read_order(&self, record: &Keyed) -> Option<HallOrder> {
        let key = &record.key;
        let hall = key.strip_prefix(EVACUATE_KEY)?;
        let Some(value) = &record.value else {
            return Some(HallOrder::Undrain(hall.to_owned()));
        };
        if hall.is_empty() || !(self.halls.is_empty() || self.halls.contains(hall)) {
            warn!(key, halls = ?self.halls, "an order to empty a data centre that does not exist");
            return None;
        }
        match operator::read_evacuation(value) {
            Ok(()) => Some(HallOrder::Drain(hall.to_owned())),
            Err(error) => {
                warn!(%error, key, "an order to empty a data centre cannot be read");
                None
            }
        }
    }

    /// Puts a configuration or a wave in force.
    fn put(&mut self, record: Keyed) {
        let Some(value) = record.value else { return };
        if record.key == CONFIG_KEY {
            self.take_config(value);
        } else if record.key.starts_with(WAVE_KEY) {
            self.take_wave(&record.key, &value);
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    fn take_config(&mut self, value: Bytes) {
        // Other entries and looks bring what is in force already, and a large one takes long to read on a weak entry.
        let is_known = |version| self.config.is_some() && version <= self.version();
        if operator::read_version(&value).is_some_and(is_known) {
            return;
        }
        let config = match operator::read_config(&value, &mut self.rows) {
            Ok(config) => config,
            Err(error) => {
                return warn!(%error, "a configuration cannot be read; the old one stays");
            }
        };
        let old = self.version();
        let listed = config.workspaces.as_ref();
        self.keyring
            .replace(listed.map_or(&[], |listed| listed.rows.as_slice()));
        info!(
            version = config.version,
            old,
            queues = config.routes.len(),
            workspaces = self.keyring.workspaces().count(),
            odd = ?listed.map(|listed| listed.odd).unwrap_or_default(),
            shared_keys = self.keyring.shared_keys(),
            "configuration in force"
        );
        self.config = Some(Rc::new(config));
        self.written = Some(value);
    }

    /// Takes in a wave; it does not change once it is asked for.
    fn take_wave(&mut self, key: &str, value: &Bytes) {
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
