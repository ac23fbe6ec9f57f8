//! Names of the task interface that the platform's workers offer over HTTP.
//!
//! A task is posted to `/tasks/<attempt>`; its answer is the response. A worker runs an attempt
//! at most once. A refusal is certain, the task was not begun, but for [`REFUSED_SEEN`].

/// Path below which tasks live.
pub const TASKS: &str = "/tasks/";

/// Path at which a worker reports its [`Usage`]; the report lags.
pub const USAGE: &str = "/usage";

/// Request header: the service that the task belongs to.
pub const HEADER_SERVICE: &str = "task-service";

/// Request header: the pool for which the task is placed.
pub const HEADER_POOL: &str = "task-pool";

/// Request header: end of the task's lease, in milliseconds since 1970; the worker stops it then.
pub const HEADER_LEASE: &str = "task-lease";

/// Request header: the request that the task is for, the same on every attempt and in all logs.
pub const HEADER_REQUEST: &str = "task-request";

/// Response header: the attempt that is answered.
pub const HEADER_ID: &str = "task-id";

/// Response header of a refusal: why the task was not begun.
pub const HEADER_REFUSED: &str = "task-refused";

/// Value of [`HEADER_REFUSED`] when the worker has met the attempt before: a copy of it may run.
pub const REFUSED_SEEN: &str = "seen";

/// What a worker reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tasks that run.
    pub running: u32,
    /// Whether new tasks are refused.
    pub draining: bool,
    /// How often the VM has booted.
    pub boot: u64,
}
