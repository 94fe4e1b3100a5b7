//! The membership protocol's parameters.

use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// How long members that are down or gone are remembered.
const REMEMBER_DOWN: Duration = Duration::from_secs(3600);
/// How long a direct probe is waited for: room for a private network's round trip and a busy loop.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(300);
/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// How often, and how many, members that are down are called, so that two sides of a partition find each other.
const ANNOUNCE_TO_DOWN: Periodic = Periodic { interval: Duration::from_secs(1), members: 2 };
/// How often, and to how many, updates are gossiped beside the probes, while there are any.
const GOSSIP: Periodic = Periodic { interval: Duration::from_millis(200), members: 3 };
/// How often one member is asked for all that it knows.
const ANNOUNCE: Periodic = Periodic { interval: Duration::from_secs(30), members: 1 };
/// A suspect is declared down after this many probe periods. SWIM and its successors let this grow with the cluster,
/// as suspicion and refutation have to spread by gossip; here the suspecting member asks the suspect directly.
pub const SUSPICION_PERIODS: u32 = 2;
/// How many times more than `4 log10 n` each update is passed on. With that alone one member in a hundred of a small
/// cluster learns of a death only by luck, seconds late.
const EXTRA_TRANSMISSIONS: u8 = 6;
/// The most members that the protocol scales its gossip for.
const MAX_SCALED_MEMBERS: usize = 1 << 20;

/// Something that is done periodically, with several members each time.
struct Periodic {
    interval: Duration,
    members: usize,
}

impl Periodic {
    fn params(&self) -> Option<PeriodicParams> {
        let num_members = NonZeroUsize::new(self.members)?;
        Some(PeriodicParams { frequency: self.interval, num_members })
    }
}

/// The protocol's configuration for a cluster of this many members.
pub fn config(members: usize, probe_period: Duration, max_message_bytes: usize) -> Config {
    let size = members.clamp(1, MAX_SCALED_MEMBERS) as u32;
    let defaults = Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
    Config {
        max_transmissions: defaults.max_transmissions.saturating_add(EXTRA_TRANSMISSIONS),
        probe_period,
        probe_rtt: PROBE_ROUND_TRIP.min(probe_period / 3),
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
        suspect_to_down_after: probe_period * SUSPICION_PERIODS,
        remove_down_after: Some(REMEMBER_DOWN),
        max_packet_size: NonZeroUsize::new(max_message_bytes).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: ANNOUNCE.params(),
        periodic_announce_to_down_members: ANNOUNCE_TO_DOWN.params(),
        periodic_gossip: GOSSIP.params(),
    }
}
