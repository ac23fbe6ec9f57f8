//! Kinds of log lines, which decide what is left out when there are more lines than may be written.
//!
//! A line says its kind by its level and its `tracing` target, both of which are known before the line is formatted.
//! The targets begin like the path of this module's parent, so that a filter for `havenladder::entry` covers them.

use tracing::{Level, Metadata};

/// Target of the lines about a single worker or VM.
pub const WORKER: &str = "havenladder::entry::worker";

/// Target of the lines about a single job, or a task of it.
pub const JOB: &str = "havenladder::entry::job";

/// Target of the lines about a single request of a caller, or a single call to the store.
pub const REQUEST: &str = "havenladder::entry::request";

/// Target of the lines about a single run.
pub const RUN: &str = "havenladder::entry::run";

/// Kind of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogKind {
    /// Summaries, and changes of the owner, of the configuration or of the state of the entry. Every line without a
    /// target of its own is of this kind, so that a new line is never left out by mistake.
    State,
    /// Warnings and errors.
    Warning,
    /// Lines about a single worker or VM.
    Worker,
    /// Lines about a single job.
    Job,
    /// Lines about a single request or call.
    Request,
    /// Lines about a single run.
    Run,
    /// Lines for developers, which are only written if the environment sets another filter.
    Debug,
}

/// Number of kinds.
pub const KIND_COUNT: usize = LogKind::ALL.len();

/// The kinds by priority: a line is only written if none of an earlier group is queued. The kinds of one group take
/// turns, so that none of them keeps out another one.
pub const PRIORITIES: [&[LogKind]; 3] = [
    &[LogKind::State, LogKind::Warning],
    &[LogKind::Worker],
    &[LogKind::Job, LogKind::Request, LogKind::Run, LogKind::Debug],
];

/// Maximum number of queued lines of a kind that takes priority: a new owner logs a line for each
/// worker at once.
const MAX_PRIORITY_LINES: usize = 1_024;

/// Maximum number of queued lines of another kind. This is the allowance for a short burst, which is written within
/// 0.6 s; a longer queue would only make the lines of a long peak later.
const MAX_DETAIL_LINES: usize = 200;

impl LogKind {
    /// All kinds, in the order of their indices.
    pub const ALL: [LogKind; 7] = [
        LogKind::State,
        LogKind::Warning,
        LogKind::Worker,
        LogKind::Job,
        LogKind::Request,
        LogKind::Run,
        LogKind::Debug,
    ];

    /// Returns the kind of an event.
    pub fn of(metadata: &Metadata<'_>) -> Self {
        // The more verbose level is the greater one.
        if *metadata.level() <= Level::WARN {
            return LogKind::Warning;
        }
        if *metadata.level() > Level::INFO {
            return LogKind::Debug;
        }
        match metadata.target() {
            WORKER => LogKind::Worker,
            JOB => LogKind::Job,
            REQUEST => LogKind::Request,
            RUN => LogKind::Run,
            _ => LogKind::State,
        }
    }

    /// Returns the name of the kind in the metrics and in the line about lines that were left out.
    pub fn name(self) -> &'static str {
        match self {
            LogKind::State => "state",
            LogKind::Warning => "warning",
            LogKind::Worker => "worker",
            LogKind::Job => "job",
            LogKind::Request => "request",
            LogKind::Run => "run",
            LogKind::Debug => "debug",
        }
    }

    /// Returns how many lines of this kind are queued at most.
    pub fn max_queued(self) -> usize {
        match self {
            LogKind::State | LogKind::Warning | LogKind::Worker => MAX_PRIORITY_LINES,
            LogKind::Job | LogKind::Request | LogKind::Run | LogKind::Debug => MAX_DETAIL_LINES,
        }
    }
}
