//! The watch on discovery: a long poll that is repeated for ever, and that may fall silent at any time.
//!
//! Each call but the first is held by discovery until there is news or its hold is over. A call without an answer
//! by then is taken for silent: further calls, not held, are made beside it, each over a connection of its own,
//! until one is answered. The others are dropped with their connections, so that the late answer of an abandoned
//! call is never read. At most [`MOST_CALLS`] calls are out at once.
//!
//! Bound: while discovery can be reached, a change is in the driver's inbox at most hold + silence + one round
//! trip after discovery has it, which is below the 6 s after which it counts as told.

mod call;
mod list;

pub use call::FailureKind;
pub use list::{Member, MemberList, Phase};

use super::driver::{Inbox, Input};
use super::figures::Figures;
use super::http::Connection;
use super::sparing::Sparing;
use crate::api::Settings;
use call::{Answer, Call, CallFailure};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

/// The pause before a failed call is made again; a watch goes on if its next call comes within 200 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The most calls that are out at once; each takes a descriptor.
const MOST_CALLS: usize = 3;

/// How patient the watch is.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// How long discovery is asked to hold a call while there is no news.
    hold: Duration,
    /// A call counts as silent so long after its hold is over.
    silence: Duration,
    /// A silent call is given up so long after its hold is over.
    patience: Duration,
}

impl Pace {
    /// Where lists are pushed, an agent on this machine answers at once and at no cost.
    const PUSHED: Pace = Pace {
        hold: Duration::from_secs(2),
        silence: Duration::from_millis(500),
        patience: Duration::from_secs(1),
    };
    /// Where lists are asked for, one service answers all gateways in turn: an early repeat would only make it slower.
    const ASKED: Pace = Pace {
        hold: Duration::from_secs(3),
        silence: Duration::from_secs(2),
        patience: Duration::from_secs(2),
    };

    /// The pace for a deployment.
    pub fn of(settings: &Settings) -> Pace {
        match settings.must_subscribe {
            true => Pace::ASKED,
            false => Pace::PUSHED,
        }
    }
}

/// Where the watch stands.
struct Watch {
    address: SocketAddr,
    pace: Pace,
    /// The version of the list that the driver holds.
    revision: Option<u64>,
    /// How the last call failed, if it did.
    failing: Option<FailureKind>,
    /// Failures since the last list, and when one was last logged.
    failures: u32,
    logged: Sparing,
    figures: Rc<Figures>,
}

/// Fetches the whole list, then watches it for ever, telling the driver what is new.
pub async fn watch(address: SocketAddr, pace: Pace, inbox: Inbox, figures: Rc<Figures>) {
    let mut watch = Watch {
        address,
        pace,
        revision: None,
        failing: None,
        failures: 0,
        logged: Sparing::default(),
        figures,
    };
    let mut resting = None;
    loop {
        let Answer { list, length, connection } = watch.next_answer(resting.take()).await;
        resting = Some(connection);
        if !watch.follows(&list) {
            warn!(
                revision = list.revision,
                complete = list.complete,
                held = watch.revision,
                "discovery told what does not follow; asking for all"
            );
            watch.figures.discovery.failed(FailureKind::OutOfOrder);
            watch.revision = None;
            sleep(RETRY_PAUSE).await;
            continue;
        }
        watch.revision = Some(list.revision);
        watch.figures.discovery.listed(list.revision, length);
        if inbox.send(Input::Members(list)).await.is_err() {
            return;
        }
    }
}

impl Watch {
    /// Guards against a stale answer that would undo a drain already told, and against changes to a list that is not
    /// held. The whole list, asked for anew, is what discovery has.
    fn follows(&self, list: &MemberList) -> bool {
        match self.revision {
            Some(held) => list.revision >= held,
            None => list.complete,
        }
    }

    /// The first answer to any of as many calls as it takes.
    async fn next_answer(&mut self, mut resting: Option<Connection>) -> Answer {
        if resting.as_mut().is_some_and(|connection| !connection.is_usable()) {
            resting = None;
        }
        let prompt = Call { address: self.address, since: self.revision, hold: Duration::ZERO };
        let held = Call { hold: self.revision.map_or(Duration::ZERO, |_| self.pace.hold), ..prompt };
        // Dropped with the answer, which ends the other calls and closes their connections.
        let mut calls = JoinSet::new();
        self.figures.discovery.called();
        calls.spawn_local(held.make(resting, self.pace.patience));
        let mut next_call = Instant::now() + held.hold + self.pace.silence;
        loop {
            tokio::select! {
                biased;
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(answer)) => {
                        self.recovered();
                        return answer;
                    }
                    Ok(Err(failure)) => {
                        self.failed(&failure);
                        next_call = next_call.min(Instant::now() + RETRY_PAUSE);
                    }
                    Err(error) => warn!(%error, "a call to discovery ended"),
                },
                () = sleep_until(next_call) => {
                    if calls.len() < MOST_CALLS {
                        self.figures.discovery.called();
                        calls.spawn_local(prompt.make(None, self.pace.patience));
                    }
                    next_call = Instant::now() + self.pace.silence;
                }
            }
        }
    }

    fn failed(&mut self, failure: &CallFailure) {
        let kind = failure.kind();
        self.figures.discovery.failed(kind);
        self.failures += 1;
        let news = self.failing.replace(kind) != Some(kind);
        if self.logged.speaks(Instant::now()) || news {
            warn!(problem = %failure, failures = self.failures, held = self.revision, "discovery failed; the list stays as it is");
        }
    }

    fn recovered(&mut self) {
        if self.failing.take().is_some() {
            info!(failures = self.failures, "discovery answers again");
            self.failures = 0;
        }
    }
}
