//! The calls that are in flight together while discovery is silent, and how long each is waited for.

use super::call::{Call, CallFailure, ListResponse, Progress};
use crate::proxy::upstream::connection::Connection;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::warn;

/// The most calls in flight at once; each takes a descriptor.
pub(super) const MAX_CALLS: usize = 3;

/// How long one of the calls in flight is waited for beside its hold, however slow or crowded discovery is. The others
/// are given up sooner, as what they wait for may be a connection that is dead.
const LONG_PATIENCE: Duration = Duration::from_secs(20);

/// A call that ended.
struct EndedCall {
    /// It was the one with the long patience.
    was_patient: bool,
    result: Result<ListResponse, CallFailure>,
}

/// The calls in flight. Dropping it ends them and closes their connections.
#[derive(Default)]
pub(super) struct CallsInFlight {
    running: JoinSet<EndedCall>,
    /// The call with the long patience is among them.
    has_patient: bool,
    progress: Rc<Progress>,
}

impl CallsInFlight {
    /// Makes a call. One of those in flight has the long patience, the others have this one.
    pub fn start(&mut self, call: Call, idle: Option<Connection>, patience: Duration) {
        let is_patient = !self.has_patient;
        self.has_patient = true;
        let patience = if is_patient { LONG_PATIENCE } else { patience };
        let making = call.make(idle, patience, self.progress.clone());
        self.running.spawn_local(async move { EndedCall { was_patient: is_patient, result: making.await } });
    }

    /// Whether another call may be made.
    pub fn have_room(&self) -> bool {
        self.running.len() < MAX_CALLS
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// When any of them last brought a piece of a list.
    pub fn last_progress(&self) -> Option<Instant> {
        self.progress.last()
    }

    /// The next call that ends; `None` where none is in flight.
    pub async fn next(&mut self) -> Option<Result<ListResponse, CallFailure>> {
        match self.running.join_next().await? {
            Ok(ended) => {
                if ended.was_patient {
                    self.has_patient = false;
                }
                if ended.result.is_err() {
                    // What it had brought is no reason to wait longer for the others.
                    self.progress.forget();
                }
                Some(ended.result)
            }
            Err(error) => {
                warn!(%error, "the task of a call to discovery ended");
                self.has_patient = false;
                Some(Err(CallFailure::Broken { received: 0 }))
            }
        }
    }
}
