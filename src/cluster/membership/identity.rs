//! Who a member of the fleet is: its name, and which of the lives under that name.

use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest name of a gateway or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// The longest version, in bytes.
pub const LONGEST_VERSION: usize = 16;
/// Incarnations that one millisecond of start time has room for; the first half is drawn from, the second is
/// for rejoins.
const A_MILLISECOND: u64 = 1 << 16;

/// The capability of a member that keeps the ledger.
pub const CAPABILITY_LEDGER: u32 = 1;
/// The capability of a member that takes part in rollouts of rules.
pub const CAPABILITY_ROLLOUT: u32 = 2;

/// What a member tells of itself beside its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its zone.
    pub zone: String,
    /// The version of its program.
    pub version: String,
    /// What it can do, one bit each; unknown bits are passed on.
    pub capabilities: u32,
    /// Where it can be reached, for gateways whose own map does not name it.
    pub advertise: Option<SocketAddr>,
}

/// One life of a gateway under its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The gateway's name, one of its kind in the fleet.
    pub name: Rc<str>,
    /// Higher in each later life, and after each rejoin.
    pub incarnation: u64,
    /// It leaves, or has left, by its own word.
    pub leaving: bool,
    /// What it tells of itself.
    pub metadata: Rc<MemberMetadata>,
}

impl Identity {
    /// The life that starts now: by the wall clock, which may have been set back, and 15 random bits.
    pub fn born(name: &str, metadata: MemberMetadata, unix: Micros, random: u64) -> Identity {
        let incarnation = (unix.0 / 1000).saturating_mul(A_MILLISECOND) | (random % (A_MILLISECOND / 2));
        Identity { name: name.into(), incarnation, leaving: false, metadata: Rc::new(metadata) }
    }

    /// The identity by which a member that only its name is known of is called.
    pub fn unknown(name: &str) -> Identity {
        let (zone, version) = (String::new(), String::new());
        let metadata = MemberMetadata { zone, version, capabilities: 0, advertise: None };
        Identity { name: name.into(), incarnation: 0, leaving: false, metadata: Rc::new(metadata) }
    }

    /// The same gateway in a later life than `other`.
    pub fn after(&self, other: u64) -> Identity {
        let incarnation = self.incarnation.max(other).saturating_add(1);
        Identity { incarnation, leaving: false, ..self.clone() }
    }

    /// Whether its texts are of a length and kind that a member may have.
    pub fn is_sound(&self) -> bool {
        is_valid_name(&self.name)
            && (self.metadata.zone.is_empty() || is_valid_name(&self.metadata.zone))
            && self.metadata.version.len() <= LONGEST_VERSION
            && self.metadata.version.bytes().all(|b| b.is_ascii_graphic())
    }
}

/// Whether a text may name a gateway or a zone: letters, digits, `.`, `_` and `-`, at most 32 of them.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

impl foca::Identity for Identity {
    type Addr = Rc<str>;

    /// A member that was taken for dead comes back as its own next life.
    fn renew(&self) -> Option<Identity> {
        Some(self.after(self.incarnation))
    }
    fn addr(&self) -> Rc<str> {
        self.name.clone()
    }
    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        (self.incarnation, self.leaving) > (adversary.incarnation, adversary.leaving)
    }
}
