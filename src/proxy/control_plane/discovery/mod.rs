//! The watch on discovery: a long poll that is repeated for ever, and that may fall silent at any time.
//!
//! Each call but the first is held by discovery until there is news or its hold is over. A call without an answer
//! by then is taken for silent: further calls, not held, are made beside it, each over a connection of its own,
//! until one is answered. The others are dropped with their connections, so that the late answer of an abandoned
//! call is never read. At most [`MOST_CALLS`] calls are out at once. A call whose list comes slowly, but comes, is
//! waited for, and no other is made beside it.
//!
//! Bound: while discovery can be reached, a change is in the driver's inbox at most hold + silence + one round
//! trip after discovery has it, which is below the 6 s after which it counts as told.

mod call;
mod endpoint_list;

pub use call::FailureKind;
pub use endpoint_list::{Member, MemberList, Phase, LONGEST_LIST, MOST_BACKENDS};

use crate::decision::Settings;
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::runtime::{Inbox, Input};
use crate::proxy::upstream::connection::Connection;
use call::{Answer, Call, CallFailure, Progress};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

/// The pause before a failed call is made again; a watch goes on if its next call comes within 200 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The pause doubles with each failure in a row, up to this where the connection or the service may be back at any
/// moment, so that its news is heard well within the grace of a drain.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The same where the answer came and can't be used: the next one is likely to be like it.
const LONGEST_UNUSABLE_PAUSE: Duration = Duration::from_secs(2);

/// The most calls that are out at once; each takes a descriptor.
const MOST_CALLS: usize = 3;

/// How long one of the calls that are out is waited for beside its hold, however slow or crowded discovery is. The
/// others are given up sooner, as what they wait for may be a connection that is dead.
const LONGEST_PATIENCE: Duration = Duration::from_secs(20);

/// How patient the watch is.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// How long discovery is asked to hold a call while there is no news.
    hold: Duration,
    /// A call counts as silent so long after its hold is over.
    silence: Duration,
    /// Calls beside a silent one are made at intervals that double from `silence` to this.
    longest_interval: Duration,
    /// A silent call is given up so long after its hold is over, but for the one that is waited for longest.
    patience: Duration,
}

impl Pace {
    /// Where lists are pushed, an agent on this machine answers at once and at no cost.
    const PUSHED: Pace = Pace {
        hold: Duration::from_secs(2),
        silence: Duration::from_millis(500),
        longest_interval: Duration::from_millis(500),
        patience: Duration::from_secs(1),
    };
    /// Where lists are asked for, one service answers all gateways in turn: an early repeat would only make it slower.
    const ASKED: Pace = Pace {
        hold: Duration::from_secs(3),
        silence: Duration::from_secs(2),
        longest_interval: Duration::from_secs(4),
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
    /// This watch has brought a list.
    answered: bool,
    /// How the last call failed, if it did.
    failing: Option<FailureKind>,
    /// Failures since the last list, and when one was last logged.
    failures: u32,
    logged: LogRateLimiter,
    figures: Rc<Metrics>,
}

/// Brings the list up to date, from the version that the driver holds if there is one, then watches it for ever,
/// telling the driver what is new.
pub async fn watch(address: SocketAddr, held: Option<u64>, pace: Pace, inbox: Inbox, figures: Rc<Metrics>) {
    let mut watch = Watch {
        address,
        pace,
        revision: held,
        answered: false,
        failing: None,
        failures: 0,
        logged: LogRateLimiter::default(),
        figures,
    };
    let mut resting = None;
    loop {
        let Answer { list, length, connection } = watch.next_answer(resting.take()).await;
        resting = Some(connection);
        if !watch.follows(&list) {
            watch.reject(&list);
            sleep(RETRY_PAUSE).await;
            continue;
        }
        watch.answered = true;
        watch.revision = Some(list.revision);
        watch.figures.discovery.list_applied(list.revision, length);
        if inbox.send(Input::Members(list)).await.is_err() {
            return;
        }
    }
}

/// The calls that are out.
#[derive(Default)]
struct Calls {
    /// With each one's end: whether it was the one that is waited for longest.
    running: JoinSet<(bool, Result<Answer, CallFailure>)>,
    patient_is_out: bool,
    progress: Rc<Progress>,
}

impl Calls {
    /// Makes a call. One of those that are out is given much time, the others so much.
    fn start(&mut self, call: Call, resting: Option<Connection>, patience: Duration) {
        let patient = !std::mem::replace(&mut self.patient_is_out, true);
        let patience = if patient { LONGEST_PATIENCE } else { patience };
        let making = call.make(resting, patience, self.progress.clone());
        self.running.spawn_local(async move { (patient, making.await) });
    }

    fn have_room(&self) -> bool {
        self.running.len() < MOST_CALLS
    }

    /// The next end of a call; `None` where none is out.
    async fn next(&mut self) -> Option<Result<Answer, CallFailure>> {
        match self.running.join_next().await? {
            Ok((patient, ended)) => {
                self.patient_is_out &= !patient;
                if ended.is_err() {
                    // What it had brought is no reason to wait longer.
                    self.progress.forget();
                }
                Some(ended)
            }
            Err(error) => {
                warn!(%error, "a call to discovery ended");
                self.patient_is_out = false;
                Some(Err(CallFailure::Broken { received: 0 }))
            }
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

    fn reject(&mut self, list: &MemberList) {
        warn!(
            revision = list.revision,
            complete = list.complete,
            held = self.revision,
            "discovery told what does not follow; asking for all"
        );
        self.figures.discovery.call_failed(FailureKind::OutOfOrder);
        self.revision = None;
    }

    /// The first answer to any of as many calls as it takes.
    async fn next_answer(&mut self, resting: Option<Connection>) -> Answer {
        let resting = resting.and_then(|mut connection| connection.is_usable().then_some(connection));
        let prompt = Call { address: self.address, since: self.revision, hold: Duration::ZERO };
        // What is held from before may be old: the first call brings what there is at once.
        let hold = if self.answered && self.revision.is_some() { self.pace.hold } else { Duration::ZERO };
        // Dropped with the answer, which ends the other calls and closes their connections.
        let mut calls = Calls::default();
        self.figures.discovery.call_started();
        calls.start(Call { hold, ..prompt }, resting, self.pace.patience);
        let mut interval = self.pace.silence;
        let mut next_call = Instant::now() + hold + interval;
        loop {
            tokio::select! {
                biased;
                Some(ended) = calls.next() => match ended {
                    Ok(answer) => {
                        self.recovered();
                        return answer;
                    }
                    Err(failure) => {
                        self.failed(&failure);
                        let again = Instant::now() + self.retry_pause();
                        next_call = if calls.running.is_empty() { again } else { next_call.min(again) };
                    }
                },
                () = sleep_until(next_call) => {
                    let now = Instant::now();
                    // A list that comes slowly is not silent: another call would only make it slower.
                    let silent_at = calls.progress.last().map(|last| last + self.pace.silence);
                    if let Some(later) = silent_at.filter(|at| now < *at) {
                        next_call = later;
                        continue;
                    }
                    if calls.have_room() {
                        self.figures.discovery.call_started();
                        calls.start(prompt, None, self.pace.patience);
                    }
                    next_call = now + interval;
                    interval = (interval * 2).min(self.pace.longest_interval);
                }
            }
        }
    }

    /// How long after the last failure a call is made again: at random within a quarter, so that the gateways of a
    /// fleet do not all come at once.
    fn retry_pause(&self) -> Duration {
        let longest = match self.failing {
            Some(FailureKind::TooLong | FailureKind::Malformed) => LONGEST_UNUSABLE_PAUSE,
            _ => LONGEST_RETRY_PAUSE,
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause = (RETRY_PAUSE * (1 << doublings)).min(longest);
        pause.mul_f64(0.75 + 0.5 * fastrand::f64())
    }

    fn failed(&mut self, failure: &CallFailure) {
        let kind = failure.kind();
        self.figures.discovery.call_failed(kind);
        self.failures += 1;
        let news = self.failing.replace(kind) != Some(kind);
        if self.logged.allows(Instant::now()) || news {
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
