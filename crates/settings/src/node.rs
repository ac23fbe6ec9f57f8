//! One level's own values.

use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

/// How much of a service's capacity may be unavailable at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Budget {
    /// A count of slots.
    Slots(u32),
    /// A share of the capacity, in percent, rounded down to whole slots.
    Percent(u8),
}

impl Budget {
    /// Returns the budget in slots for a service of `capacity` slots.
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

/// The text is neither a count of slots nor a share such as `20%`.
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

/// How urgent a service's requests are against those of other services on the same workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Small and waited for by a person.
    Preview,
    /// Neither.
    Ordinary,
    /// Long, and content to wait.
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

/// The values that one level sets; what is `None` is inherited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// How much may be unavailable at once.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub unavailable: Option<Budget>,
    /// Share of requests to be done once, whole and in time.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub objective: Option<f64>,
    /// Urgency.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub class: Option<Class>,
    /// Time that a request has when its caller names no deadline, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub timeout_ms: Option<u64>,
    /// Whether a request may be run more than once.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub repeatable: Option<bool>,
    /// The largest body of a request and of an answer, in bytes.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub body_limit: Option<u64>,
    /// The most requests that wait in one entry.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub queue_limit: Option<u64>,
    /// The halls whose VMs may serve here.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub halls: Option<Vec<String>>,
    /// The asked-for number of VMs; pools only.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub vms: Option<u32>,
}
