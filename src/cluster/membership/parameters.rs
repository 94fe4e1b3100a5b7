//! Parameters of the membership protocol.

use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// How long records of members that are down or have left are kept.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);
/// Time-out of a direct probe: the round trip of a private network plus the delay of a busy event loop.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of members asked to probe indirectly.
const INDIRECT_PROBE_MEMBERS: usize = 3;
/// Announcements to members that are down, so that the two sides of a partition find each other again.
const ANNOUNCE_TO_DOWN: PeriodicTask = PeriodicTask { interval: Duration::from_secs(1), members: 2 };
/// Gossip in addition to the updates carried by probes, while there are updates to send.
const GOSSIP: PeriodicTask = PeriodicTask { interval: Duration::from_millis(200), members: 3 };
/// Requests for the complete member list of another member.
const ANNOUNCE: PeriodicTask = PeriodicTask { interval: Duration::from_secs(30), members: 1 };
/// Number of probe periods after which a suspect is declared down. In SWIM and its successors this grows with the
/// cluster, because suspicion and refutation have to spread by gossip; here the suspecting member queries the suspect
/// directly.
pub const SUSPICION_PERIODS: u32 = 2;
/// Transmissions of each update beyond `4 log10 n`. Without them one member in a hundred of a small cluster learns of a
/// crash only by chance, seconds late.
const EXTRA_TRANSMISSIONS: u8 = 6;
/// Maximum cluster size that the gossip parameters are scaled for.
const MAX_SCALED_MEMBERS: usize = 1 << 20;

/// Interval of a periodic task, and number of members contacted each time.
struct PeriodicTask {
    interval: Duration,
    members: usize,
}

impl PeriodicTask {
    fn params(&self) -> Option<PeriodicParams> {
        let num_members = NonZeroUsize::new(self.members)?;
        Some(PeriodicParams { frequency: self.interval, num_members })
    }
}

/// Returns the protocol configuration for a cluster of `members` members.
pub fn config(members: usize, probe_period: Duration, max_message_bytes: usize) -> Config {
    let size = members.clamp(1, MAX_SCALED_MEMBERS) as u32;
    let defaults = Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
    Config {
        max_transmissions: defaults.max_transmissions.saturating_add(EXTRA_TRANSMISSIONS),
        probe_period,
        probe_rtt: PROBE_TIMEOUT.min(probe_period / 3),
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBE_MEMBERS).unwrap_or(NonZeroUsize::MIN),
        suspect_to_down_after: probe_period * SUSPICION_PERIODS,
        remove_down_after: Some(DOWN_RETENTION),
        max_packet_size: NonZeroUsize::new(max_message_bytes).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: ANNOUNCE.params(),
        periodic_announce_to_down_members: ANNOUNCE_TO_DOWN.params(),
        periodic_gossip: GOSSIP.params(),
    }
}
