//! Failures of calls to the platform, and what is known of the effect of a failed call.

/// Whether a failed call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// The call has had no effect.
    NoEffect,
    /// It is unknown whether the call has had an effect.
    Unknown,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The platform could not be reached.
    #[error("the platform could not be reached: {0}")]
    Unreachable(String),
    /// The connection broke, or the response came too late or was malformed.
    #[error("the platform's answer was lost: {0}")]
    ResponseLost(String),
    /// The platform refused the call.
    #[error("the platform refused: {0}")]
    Refused(String),
}

impl CallError {
    /// Returns what is known of the call's effect.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Certainty::NoEffect,
            Self::ResponseLost(_) => Certainty::Unknown,
        }
    }
}
