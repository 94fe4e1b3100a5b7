//! Encoding of actions as lines of the simulator's protocol.

use crate::decision::Action;
use crate::site_settings::Site;
use std::fmt::Write;

/// Appends an action as one line.
pub(super) fn write_action(action: &Action, site: &Site, out: &mut String) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::SendAttempt { request, endpoint, give_up_at } => {
            let name = site.endpoint_name(*endpoint);
            writeln!(out, "ROUTE ref={} backend={name} abandon_at={}", request.0, give_up_at.0)
        }
        Action::Reject { request, retry_after: None, .. } => writeln!(out, "REJECT ref={}", request.0),
        Action::Reject { request, retry_after: Some(retry_after), .. } => {
            writeln!(out, "REJECT ref={} backoff={}", request.0, retry_after.0)
        }
        Action::Fail { request, .. } => writeln!(out, "FINISH_ERROR ref={}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "ABANDON ref={} trial={attempt}", request.0)
        }
        Action::IncrementCounter { key, amount, lifetime } => {
            writeln!(out, "ADD_AND_GET book={} amount={amount} lifetime={}", key.0, lifetime.0)
        }
        Action::SetTimer { timer, after } => writeln!(out, "WAKE_ME ref={} in={}", timer.0, after.0),
        Action::Subscribe => writeln!(out, "LISTEN active=1"),
    };
}

/// Appends the actions of one gateway to the reply to a batch, if there are any.
pub(super) fn write_gateway_reply(gateway: u32, actions: &str, out: &mut String) {
    if !actions.is_empty() {
        let _ = write!(out, "AS who={gateway}\n{actions}");
    }
}

/// Appends the end mark of the reply to a batch.
pub(super) fn end_reply(out: &mut String) {
    out.push_str("EOR\n");
}
