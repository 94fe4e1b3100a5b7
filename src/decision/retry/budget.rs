//! The retry budget: limits retries to a fraction of the requests, so that they do not amplify an overload. See
//! "Addressing Cascading Failures" in the Google SRE book.

/// Tokens that each request adds to the budget; one token allows one retry.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of tokens, with which the budget also starts.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket of the retries that may still be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Called when a request arrives.
    pub(crate) fn request_arrived(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one token if there is one, and returns whether there was.
    pub(crate) fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
