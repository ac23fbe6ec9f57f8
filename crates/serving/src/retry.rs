//! The retry budget: a share of recent traffic, so that retries cannot multiply an overload.

/// Retries that each new request pays for.
const PER_REQUEST: f64 = 0.1;

/// The most retries that can be saved up.
const MOST_SAVED: f64 = 20.0;

/// Saved-up retries of one pool.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Takes in a new request.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + PER_REQUEST).min(MOST_SAVED);
    }

    /// Spends one retry if one is saved.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
