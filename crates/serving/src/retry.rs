//! Retry budget: a share of the recent traffic, so that retries cannot multiply an overload.

/// Retries that each new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retry budget of one pool.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a new request to the budget.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry. Returns false if none is left.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
