//! Who a member is: its name, and which incarnation under that name.

use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest name of a gateway or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// The longest program version, in bytes.
const MAX_VERSION_BYTES: usize = 16;
/// Incarnations for each millisecond of start time. A start draws from the lower half; the upper half is room for
/// rejoins, each of which takes the next number.
const INCARNATIONS_PER_MILLISECOND: u64 = 1 << 16;

/// The capability bit of a member that keeps the ledger.
pub const CAPABILITY_LEDGER: u32 = 1;
/// The capability bit of a member that takes part in rollouts of routing rules.
pub const CAPABILITY_ROLLOUT: u32 = 2;

/// What a member publishes of itself beside its name. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its zone.
    pub zone: String,
    /// The version of its program.
    pub version: String,
    /// What it can do, one bit each; unknown bits are passed on.
    pub capabilities: u32,
    /// Its address, for gateways whose own configuration does not have it.
    pub advertise: Option<SocketAddr>,
}

/// One incarnation of a gateway. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The gateway's name, unique in the cluster.
    pub name: Rc<str>,
    /// Higher for each later process under the name, and after each rejoin.
    pub incarnation: u64,
    /// It leaves, or has left, on purpose.
    pub leaving: bool,
    /// What it publishes of itself.
    pub metadata: Rc<MemberMetadata>,
}

impl Identity {
    /// The identity of a process that starts now: its wall clock, which may have been set back, and 15 random bits.
    pub fn at_start(name: &str, metadata: MemberMetadata, unix: Micros, random: u64) -> Identity {
        let milliseconds = unix.0 / 1000;
        let drawn = random % (INCARNATIONS_PER_MILLISECOND / 2);
        let incarnation = milliseconds.saturating_mul(INCARNATIONS_PER_MILLISECOND) | drawn;
        Identity { name: name.into(), incarnation, leaving: false, metadata: Rc::new(metadata) }
    }

    /// The identity under which a member is called of which only the name is known.
    pub fn unknown(name: &str) -> Identity {
        let metadata =
            MemberMetadata { zone: String::new(), version: String::new(), capabilities: 0, advertise: None };
        Identity { name: name.into(), incarnation: 0, leaving: false, metadata: Rc::new(metadata) }
    }

    /// The same gateway in an incarnation above its own and `other`.
    pub fn above(&self, other: u64) -> Identity {
        let incarnation = self.incarnation.max(other).saturating_add(1);
        Identity { incarnation, leaving: false, ..self.clone() }
    }

    /// Whether its texts have a length and characters that a member's may have.
    pub fn is_valid(&self) -> bool {
        let MemberMetadata { zone, version, .. } = &*self.metadata;
        is_valid_name(&self.name)
            && (zone.is_empty() || is_valid_name(zone))
            && version.len() <= MAX_VERSION_BYTES
            && version.bytes().all(|b| b.is_ascii_graphic())
    }
}

/// Whether a text may name a gateway or a zone: 1 to 32 letters, digits, `.`, `_` and `-`.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

impl foca::Identity for Identity {
    type Addr = Rc<str>;

    /// A member that was declared down rejoins as its own next incarnation.
    fn renew(&self) -> Option<Identity> {
        Some(self.above(self.incarnation))
    }

    fn addr(&self) -> Rc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        (self.incarnation, self.leaving) > (adversary.incarnation, adversary.leaving)
    }
}
