//! Actions as lines of the wire.

use crate::decision::Action;
use crate::site_settings::Site;
use std::fmt::Write;

/// Appends the line of an action.
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

/// Appends one gateway's part of the reply to a batch, if it has one.
pub(super) fn write_reply_of(gateway: u32, actions: &str, out: &mut String) {
    if !actions.is_empty() {
        let _ = write!(out, "AS who={gateway}\n{actions}");
    }
}

/// Ends the reply to a batch.
pub(super) fn end_reply(out: &mut String) {
    out.push_str("EOR\n");
}
