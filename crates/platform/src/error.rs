//! What can go wrong with a call to the platform, and what is known of its effect then.

/// Whether a call that failed may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// It has had no effect.
    NoEffect,
    /// Nobody can tell.
    Unknown,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The platform could not be reached at all.
    #[error("the platform could not be reached: {0}")]
    Unreachable(String),
    /// The connection broke, or the answer came too late or in a wrong form.
    #[error("the platform's answer was lost: {0}")]
    ResponseLost(String),
    /// The platform refused the call.
    #[error("the platform refused: {0}")]
    Refused(String),
}

impl CallError {
    /// Tells what is known of the call's effect.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Unreachable(_) | Self::Refused(_) => Certainty::NoEffect,
            Self::ResponseLost(_) => Certainty::Unknown,
        }
    }
}
