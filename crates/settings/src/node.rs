//! Values that one level of the tree sets.

use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

/// Part of a service's capacity that may be unavailable at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Budget {
    /// Number of slots.
    Slots(u32),
    /// Share of the capacity in percent, rounded down to whole slots.
    Percent(u8),
}

impl Budget {
    /// Returns the budget in slots for a service with `capacity` slots.
    pub fn slots(self, capacity: u32) -> u32 {
        match self {
            Self::Slots(slots) => slots.min(capacity),
            Self::Percent(percent) => {
                let slots = u64::from(capacity) * u64::from(percent) / 100;
                u32::try_from(slots).unwrap_or(u32::MAX)
            }
        }
    }
}

impl Display for Budget {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slots(slots) => write!(f, "{slots}"),
            Self::Percent(percent) => write!(f, "{percent}%"),
        }
    }
}

/// Error of a text that is neither a number of slots nor a share such as `20%`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be a count of slots or a share such as \"20%\"")]
pub struct BudgetError;

impl FromStr for Budget {
    type Err = BudgetError;

    fn from_str(text: &str) -> Result<Self, BudgetError> {
        let Some(percent) = text.strip_suffix('%') else {
            return text.parse().map(Self::Slots).map_err(|_| BudgetError);
        };
        match percent.parse() {
            Ok(percent) if percent <= 100 => Ok(Self::Percent(percent)),
            _ => Err(BudgetError),
        }
    }
}

/// Urgency of a service's requests compared with those of other services on the same workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Small requests for which a person waits.
    Preview,
    /// Requests that are neither urgent nor large.
    Ordinary,
    /// Long requests that may wait.
    Large,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Preview, Self::Ordinary, Self::Large];
}

impl FromStr for Class {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "preview" => Ok(Self::Preview),
            "ordinary" => Ok(Self::Ordinary),
            "large" => Ok(Self::Large),
            _ => Err(()),
        }
    }
}

/// Values that one level sets. A value of `None` is inherited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Part of the capacity that may be unavailable at a time.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub unavailable: Option<Budget>,
    /// Objective: share of requests that must be done once, completely and in time.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub objective: Option<f64>,
    /// Urgency of the requests.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub class: Option<Class>,
    /// Time limit for requests whose callers set no deadline, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub timeout_ms: Option<u64>,
    /// Whether a request may be run more than once.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub repeatable: Option<bool>,
    /// Maximum size of the body of a request and of a response, in bytes.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub body_limit: Option<u64>,
    /// Maximum number of requests that wait in one entry.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub queue_limit: Option<u64>,
    /// Data centres whose VMs may serve here.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub halls: Option<Vec<String>>,
    /// Requested number of VMs, for pools only.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub vms: Option<u32>,
}
