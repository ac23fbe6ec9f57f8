//! The identifiers that every package shares.

/// Name of one VM, as the platform lists it.
pub type VmId = String;

/// Name of one hall: a data centre with its own entries and targets.
pub type HallId = String;

/// Name of one rack inside a hall; racks of different halls never share a name.
pub type RackId = String;

/// Name of one entry process.
pub type EntryId = String;

/// Path of a pool in the tree of settings, as `place/pool`.
pub type PoolId = String;

/// Path of a service in the tree of settings, as `place/pool/service`.
pub type ServiceId = String;

/// Place of a record in one stream of the platform's log, counted from 0.
pub type Offset = u64;

/// Unique id that an appender gives a record, so that a second copy is known as one.
pub type RecordId = ulid::Ulid;
