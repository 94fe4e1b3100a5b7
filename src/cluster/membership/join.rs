//! Schedule of the announcements to configured gateways that are not present.
//!
//! Announcements join the cluster. They also find gateways again that no member has a record of, for example after a
//! partition that lasted longer than records of members that are down are kept.

use crate::decision::Micros;

/// A gateway that knows no other member announces itself for the first time within this time. It is also the
/// mean pause before the second announcement; the mean pause doubles with each further announcement.
const INITIAL_BACKOFF: Micros = Micros(500_000);
/// Longest mean pause between two announcements of a gateway that knows no other member.
const MAX_BACKOFF: Micros = Micros(8_000_000);
/// Mean pause between two announcements of a gateway that knows other members.
const CONNECTED_INTERVAL: Micros = Micros(2_000_000);
/// Number of gateways that a gateway without other members announces itself to at once.
const DISCONNECTED_FANOUT: usize = 3;

/// Schedule of announcements, with exponential backoff until the gateway is connected.
#[derive(Debug)]
pub struct JoinSchedule {
    due_at: Micros,
    backoff: Micros,
}

impl JoinSchedule {
    /// Creates a schedule that begins at a random time, so that hundreds of gateways that start together do not
    /// announce themselves in step.
    pub fn new(now: Micros, rng: &mut fastrand::Rng) -> JoinSchedule {
        JoinSchedule { due_at: now + Micros(rng.u64(0..INITIAL_BACKOFF.0)), backoff: INITIAL_BACKOFF }
    }

    /// Makes the next announcement due now; called when the configured addresses changed.
    pub fn restart(&mut self, now: Micros) {
        self.due_at = now;
        self.backoff = INITIAL_BACKOFF;
    }

    /// Whether an announcement is due.
    pub fn is_due(&self, now: Micros) -> bool {
        self.due_at <= now
    }

    /// Number of gateways to announce to at once.
    pub fn fanout(is_disconnected: bool) -> usize {
        if is_disconnected {
            DISCONNECTED_FANOUT
        } else {
            1
        }
    }

    /// Sets the time of the next announcement, after a pause between half and one and a half times the mean.
    pub fn schedule_next(&mut self, now: Micros, is_disconnected: bool, rng: &mut fastrand::Rng) {
        let pause = if is_disconnected { self.backoff } else { CONNECTED_INTERVAL };
        self.backoff = if is_disconnected { (pause + pause).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
        self.due_at = now + Micros(pause.0 / 2 + rng.u64(0..pause.0));
    }
}
