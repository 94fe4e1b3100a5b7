//! The retry budget: retries are a fraction of the requests, so that they do not multiply an overload. See
//! "Addressing Cascading Failures" in the Google SRE book.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The most retries that the budget saves up; it starts with as many.
const MOST_SAVED_RETRIES: f64 = 20.0;

/// The retries that may still be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MOST_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// A request came in.
    pub(crate) fn request_arrived(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MOST_SAVED_RETRIES);
    }

    /// Takes one retry from the budget, if it has one.
    pub(crate) fn try_take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
