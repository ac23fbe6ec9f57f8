//! The identifiers that all packages share.

/// Name of a VM, as listed by the platform.
pub type VmId = String;

/// Name of a data centre, which has its own entries and targets.
pub type HallId = String;

/// Name of a rack in a data centre. Rack names are unique across data centres.
pub type RackId = String;

/// Name of an entry process.
pub type EntryId = String;

/// Path of a pool in the tree of settings, as `place/pool`.
pub type PoolId = String;

/// Path of a service in the tree of settings, as `place/pool/service`.
pub type ServiceId = String;

/// Position of a record in one stream of the platform's log, counted from 0.
pub type Offset = u64;

/// Unique id that the writer assigns to a record, by which duplicates are detected.
pub type RecordId = ulid::Ulid;
