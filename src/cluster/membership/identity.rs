//! Identity of a member: its name, its incarnation under that name, and its metadata.

use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum length of a gateway's or a zone's name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum length of a program version, in bytes.
const MAX_VERSION_BYTES: usize = 16;
/// Number of incarnations for each millisecond of start time. A starting process draws from the lower half; the upper
/// half is reserved for rejoins, each of which takes the next number.
const INCARNATIONS_PER_MILLISECOND: u64 = 1 << 16;

/// Capability bit of a member that is a ledger node.
pub const CAPABILITY_LEDGER: u32 = 1;
/// Capability bit of a member that takes part in rollouts of routing rules.
pub const CAPABILITY_ROLLOUT: u32 = 2;

/// Metadata that a member publishes about itself. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Zone of the member; empty if none is configured.
    pub zone: String,
    /// Program version of the member.
    pub version: String,
    /// Capability bits; unknown bits are passed on unchanged.
    pub capabilities: u32,
    /// Address of the member, used by gateways that have no address configured for it.
    pub advertise: Option<SocketAddr>,
}

/// One incarnation of a gateway. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the gateway, unique in the cluster.
    pub name: Rc<str>,
    /// Number that increases with each later process under the name and with each rejoin.
    pub incarnation: u64,
    /// Whether the gateway leaves, or has left, on purpose.
    pub leaving: bool,
    /// Published metadata of the member.
    pub metadata: Rc<MemberMetadata>,
}

impl Identity {
    /// Returns the identity of a process that starts now. The incarnation is made of the wall clock, which may have
    /// been set back, and 15 random bits.
    pub fn at_start(name: &str, metadata: MemberMetadata, wall_clock: Micros, random: u64) -> Identity {
        let milliseconds = wall_clock.0 / 1000;
        let random_part = random % (INCARNATIONS_PER_MILLISECOND / 2);
        let incarnation = milliseconds.saturating_mul(INCARNATIONS_PER_MILLISECOND) | random_part;
        Identity { name: name.into(), incarnation, leaving: false, metadata: Rc::new(metadata) }
    }

    /// Returns the identity used to address a member of which only the name is known.
    pub fn unknown(name: &str) -> Identity {
        let metadata =
            MemberMetadata { zone: String::new(), version: String::new(), capabilities: 0, advertise: None };
        Identity { name: name.into(), incarnation: 0, leaving: false, metadata: Rc::new(metadata) }
    }

    /// Returns the identity of the same gateway with an incarnation above both its own and `other`.
    pub fn with_incarnation_above(&self, other: u64) -> Identity {
        let incarnation = self.incarnation.max(other).saturating_add(1);
        Identity { incarnation, leaving: false, ..self.clone() }
    }

    /// Whether the name, zone and version have a valid length and valid characters.
    pub fn is_valid(&self) -> bool {
        let MemberMetadata { zone, version, .. } = &*self.metadata;
        is_valid_name(&self.name)
            && (zone.is_empty() || is_valid_name(zone))
            && version.len() <= MAX_VERSION_BYTES
            && version.bytes().all(|b| b.is_ascii_graphic())
    }
}

/// Whether a text is a valid name of a gateway or a zone: 1 to 32 letters, digits, `.`, `_` and `-`.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

impl foca::Identity for Identity {
    type Addr = Rc<str>;

    /// A member that was declared down rejoins with its next incarnation.
    fn renew(&self) -> Option<Identity> {
        Some(self.with_incarnation_above(self.incarnation))
    }

    fn addr(&self) -> Rc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        (self.incarnation, self.leaving) > (adversary.incarnation, adversary.leaving)
    }
}
