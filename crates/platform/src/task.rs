//! Names of the task interface that the platform's workers offer over HTTP.
//!
//! A task is posted to `/tasks/<attempt>`, and the HTTP response carries its result. A worker runs an attempt at most
//! once. A refusal guarantees that the task was not started, except with the value [`REFUSED_SEEN`].

/// Path prefix of tasks.
pub const TASKS: &str = "/tasks/";

/// Path at which a worker reports its [`Usage`]. The report may be out of date.
pub const USAGE: &str = "/usage";

/// Request header: the service that the task belongs to.
pub const HEADER_SERVICE: &str = "task-service";

/// Request header: the pool for which the task is placed.
pub const HEADER_POOL: &str = "task-pool";

/// Request header: end of the task's lease, in milliseconds since 1970. The worker stops the task at that time.
pub const HEADER_LEASE: &str = "task-lease";

/// Request header: the request that the task belongs to, which is the same for all attempts and in all logs.
pub const HEADER_REQUEST: &str = "task-request";

/// Response header: the attempt that the response belongs to.
pub const HEADER_ID: &str = "task-id";

/// Response header of a refusal: why the task was not started.
pub const HEADER_REFUSED: &str = "task-refused";

/// Value of [`HEADER_REFUSED`] if the worker has received the attempt before, so that a copy of it may be running.
pub const REFUSED_SEEN: &str = "seen";

/// A worker's report of its own state.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Number of running tasks.
    pub running: u32,
    /// Whether new tasks are refused.
    pub draining: bool,
    /// Number of times that the VM has booted.
    pub boot: u64,
}
