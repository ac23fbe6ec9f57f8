//! The settings and orders of operators that are in force: the configuration, as decoded and as
//! written, its keys, the waves of maintenance, and the data centres to be drained.

use crate::record::{CompressedRecord, Record};
use adapter::{
    operator::{self, CONFIG_KEY, Config, DRAIN_KEY_PREFIX, Queue, Version, WAVE_KEY_PREFIX, Wave},
    store::{KeyedRecord, Offset},
    workspaces::RowCache,
};
use bytes::Bytes;
use jobs::{HallDrains, HallId, HallOrder, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
};
use tracing::{info, warn};
use workspaces::{Authorization, Keyring};

/// Originator of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An anonymous caller of a queue that is open to all.
    Anyone,
    /// A workspace, identified by one of its keys.
    #[serde(rename = "Of")]
    Workspace(WorkspaceId),
}

/// Reason why a caller is not authorized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unauthorized {
    /// The call carries no key.
    Missing,
    /// The value that the call carries is not a well-formed key.
    Malformed,
    /// No workspace has the key, or more than one has it.
    Unknown,
}

impl Unauthorized {
    /// Returns the reason as it appears in the response to the caller, in the log and in the
    /// metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Unauthorized::Missing => "no key",
            Unauthorized::Malformed => "malformed key",
            Unauthorized::Unknown => "unknown key",
        }
    }
}

/// Settings and orders of operators that are in force.
#[derive(Default)]
pub struct InForce {
    config: Option<Rc<Config>>,
    /// The newest configuration as operators wrote it.
    raw_config: Option<Record>,
    rows: RowCache,
    keyring: Keyring,
    waves: BTreeMap<u64, Wave>,
    hall_drains: HallDrains,
    /// Data centres of the deployment. Empty if they are not known.
    halls: BTreeSet<HallId>,
}

impl InForce {
    /// Creates an empty state for a deployment with these data centres.
    pub fn new(halls: BTreeSet<HallId>) -> Self {
        InForce {
            halls,
            ..InForce::default()
        }
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.clone()
    }

    /// Returns the version of the newest configuration, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the newest configuration as it was written, if it is newer than `version`.
    pub fn raw_config_after(&self, version: Version) -> Option<CompressedRecord> {
        let raw_config = self.raw_config.as_ref();
        let newer = raw_config.filter(|_| self.version() > version);
        newer.map(Record::compressed)
    }

    /// Returns the waves that operators have requested, ordered by number.
    pub fn waves(&self) -> impl Iterator<Item = &Wave> {
        self.waves.values()
    }

    /// Returns the workspaces and their keys.
    pub fn keyring(&self) -> &Keyring {
        &self.keyring
    }

    /// Authenticates the caller of a queue by its key. On a deployment without workspaces every
    /// queue is open to all.
    ///
    /// # Errors
    ///
    /// Returns the reason why the caller is not authorized.
    pub fn authenticate(
        &self,
        queue: &Queue,
        authorization: &Authorization,
    ) -> Result<Caller, Unauthorized> {
        let config = self.config.as_ref();
        let open = queue.is_public || config.is_none_or(|config| config.workspaces.is_none());
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

    /// Returns the data centres that are to be drained.
    pub fn hall_drains(&self) -> &HallDrains {
        &self.hall_drains
    }

    /// Replaces the state by the newest record of each key of the operators' topic, which ended at
    /// `end`.
    pub fn restart(&mut self, newest: Vec<KeyedRecord>, end: Offset) {
        let orders = newest.iter().filter_map(|record| self.read_order(record));
        let halls = orders.filter_map(|order| match order {
            HallOrder::Drain(hall) => Some(hall),
            HallOrder::Undrain(_) => None,
        });
        // A drain order without a record has been withdrawn.
        self.adopt_hall_drains(HallDrains::new(halls.collect(), end));
        newest
            .into_iter()
            .for_each(|record| self.apply_record(record));
    }

    /// Applies the record at an offset of the operators' topic.
    pub fn apply(&mut self, record: KeyedRecord, offset: Offset) {
        let order = self.read_order(&record);
        if self.hall_drains.apply(order, offset) {
            self.log_hall_drains();
        }
        self.apply_record(record);
    }

    /// Adopts a configuration and drain orders that another entry knows.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be decompressed.
    pub fn adopt(
        &mut self,
        config: Option<CompressedRecord>,
        hall_drains: HallDrains,
    ) -> io::Result<()> {
        self.adopt_hall_drains(hall_drains);
        if let Some(config) = config.map(Record::receive).transpose()? {
            info!("another entry has a newer configuration");
            self.apply_config(config);
        }
        Ok(())
    }

    /// Adopts a set of data centres to be drained, unless a newer one is known.
    fn adopt_hall_drains(&mut self, hall_drains: HallDrains) {
        if self.hall_drains.adopt(hall_drains) {
            self.log_hall_drains();
        }
    }

    /// Logs the data centres that are to be drained, after each change.
    fn log_hall_drains(&self) {
        let halls = self.hall_drains.halls();
        info!(?halls, "data centres to be drained");
    }

    /// Returns the order about a data centre that a record holds. An order that cannot be read, or
    /// that names a data centre outside the deployment, is logged and has no effect.
    fn read_order(&self, record: &KeyedRecord) -> Option<HallOrder> {
        let key = &record.key;
        let hall = key.strip_prefix(DRAIN_KEY_PREFIX)?;
        let Some(value) = &record.value else {
            return Some(HallOrder::Undrain(hall.to_owned()));
        };
        if hall.is_empty() || !(self.halls.is_empty() || self.halls.contains(hall)) {
            warn!(key, halls = ?self.halls, "ignored an order to drain an unknown data centre");
            return None;
        }
        match operator::read_drain(value) {
            Ok(()) => Some(HallOrder::Drain(hall.to_owned())),
            Err(error) => {
                warn!(%error, key, "cannot decode an order to drain a data centre");
                None
            }
        }
    }

    /// Applies a record that holds a configuration or a wave.
    fn apply_record(&mut self, record: KeyedRecord) {
        let Some(value) = record.value else { return };
        if record.key == CONFIG_KEY {
            self.apply_config(Record::new(value));
        } else if record.key.starts_with(WAVE_KEY_PREFIX) {
            self.add_wave(&record.key, &value);
        }
    }

    /// Applies a configuration, unless it is not newer than the current one.
    fn apply_config(&mut self, written: Record) {
        // Other entries and refreshes often deliver the current configuration again, and decoding a
        // large one takes long on a weak entry.
        let is_old = |version| self.config.is_some() && version <= self.version();
        if operator::read_version(written.plain()).is_some_and(is_old) {
            return;
        }
        let config = match operator::read_config(written.plain(), &mut self.rows) {
            Ok(config) => config,
            Err(error) => {
                return warn!(%error, "cannot decode a configuration; the current one stays in force");
            }
        };
        let old = self.version();
        let workspaces = config.workspaces.as_ref();
        self.keyring
            .replace(workspaces.map_or(&[], |workspaces| workspaces.rows.as_slice()));
        info!(
            version = config.version,
            old,
            queues = config.queues.len(),
            workspaces = self.keyring.workspaces().count(),
            odd = ?workspaces.map(|workspaces| workspaces.odd).unwrap_or_default(),
            odd_rows = config.odd_rows,
            shared_keys = self.keyring.shared_keys(),
            "configuration in force"
        );
        self.config = Some(Rc::new(config));
        self.raw_config = Some(written);
    }

    /// Adds a wave. A wave does not change once it has been requested.
    fn add_wave(&mut self, key: &str, value: &Bytes) {
        match operator::read_wave(key, value) {
            Ok(wave) => {
                let (number, vms, most) = (wave.number, wave.vms.len(), wave.max_down);
                info!(wave = number, vms, most, "wave requested");
                self.waves.entry(number).or_insert(wave);
            }
            Err(error) => warn!(%error, key, "cannot decode a wave"),
        }
    }
}
