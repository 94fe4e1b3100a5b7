//! Whether a branch is isolated from the backends: by the gateway's own attempts, and by what a quorum of the branch reports.

use super::settings::WriteQueueSettings;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// Another gateway's status counts for so long.
const PEER_STATUS_LIFETIME: Micros = Micros(1_500_000);
/// So many failures in a row, at least, make an uplink that is down.
const MIN_FAILURES: u32 = 3;
/// An uplink that came back is up once it has held for so long, and twice as long after each relapse.
const FIRST_HOLD: Micros = Micros(1_000_000);
const MAX_HOLD: Micros = Micros(16_000_000);

/// What another gateway reports of its uplink.
#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    received_at: Micros,
    is_down: bool,
}

/// The branch's uplink, as seen from one gateway.
#[derive(Debug, Clone)]
pub struct UplinkMonitor {
    last_response: Micros,
    failures: u32,
    /// Down by the own attempts.
    is_down: bool,
    /// Since when responses have come again, while it still counts as down.
    responses_since: Option<Micros>,
    hold: Micros,
    /// When it last came up again.
    recovered_at: Micros,
    peers: BTreeMap<u16, PeerStatus>,
    is_isolated: bool,
}

impl UplinkMonitor {
    /// An uplink that is up for all that is known.
    pub fn new(now: Micros) -> UplinkMonitor {
        UplinkMonitor {
            last_response: now,
            failures: 0,
            is_down: false,
            responses_since: None,
            hold: FIRST_HOLD,
            recovered_at: now,
            peers: BTreeMap::new(),
            is_isolated: false,
        }
    }

    /// An attempt at a backend, or a health check, got a response, of whatever status, or none.
    pub fn record_attempt(&mut self, now: Micros, responded: bool, settings: &WriteQueueSettings) {
        match responded {
            true => self.record_response(now),
            false => self.record_failure(now, settings),
        }
    }

    fn record_response(&mut self, now: Micros) {
        self.last_response = now;
        self.failures = 0;
        if !self.is_down {
            return;
        }
        let since = *self.responses_since.get_or_insert(now);
        if now - since >= self.hold {
            self.is_down = false;
            self.responses_since = None;
            self.recovered_at = now;
        }
    }

    fn record_failure(&mut self, now: Micros, settings: &WriteQueueSettings) {
        self.failures = self.failures.saturating_add(1);
        if self.is_down {
            if self.responses_since.take().is_some() {
                self.hold = self.doubled_hold();
            }
        } else if self.failures >= MIN_FAILURES && now - self.last_response >= settings.uplink_timeout {
            // One that flaps is waited for longer.
            let is_relapse = now - self.recovered_at < MAX_HOLD && self.recovered_at > Micros(0);
            self.hold = if is_relapse { self.doubled_hold() } else { FIRST_HOLD };
            self.is_down = true;
            self.responses_since = None;
        }
    }

    fn doubled_hold(&self) -> Micros {
        (self.hold + self.hold).min(MAX_HOLD)
    }

    /// Another gateway of the branch reports the status of its uplink.
    pub fn record_peer_status(&mut self, now: Micros, seat: u16, is_down: bool) {
        self.peers.insert(seat, PeerStatus { received_at: now, is_down });
    }

    /// Whether the uplink is down by the own attempts.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// How long ago the last response came.
    pub fn since_response(&self, now: Micros) -> Micros {
        now - self.last_response
    }

    /// Whether the branch is isolated: down from here, and a quorum of the branch reports the same. Where others still have
    /// responses it is this gateway's own fault.
    pub fn update(&mut self, now: Micros, settings: &WriteQueueSettings) -> bool {
        self.peers.retain(|_, status| now - status.received_at < PEER_STATUS_LIFETIME);
        let peers_down = self.peers.values().filter(|status| status.is_down).count();
        let down = peers_down + usize::from(self.is_down);
        self.is_isolated = self.is_down && down >= settings.quorum();
        self.is_isolated
    }

    /// What `update` found last.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
