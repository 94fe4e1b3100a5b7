//! Codec of the membership protocol that validates every member named in a message and records the incarnations seen.
//!
//! Every message is decoded here before the protocol processes it. Forged or damaged messages therefore can't add
//! members without bound, and another process under this member's own name is detected here.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::MAX_MEMBERS;
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why a message was rejected.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message could not be decoded or encoded.
    #[error("message could not be decoded or encoded: {0}")]
    Encoding(postcard::Error),
    /// The message names a member with an invalid name, zone or version, or a new member above `MAX_MEMBERS`.
    #[error("message names an invalid member, or more than {MAX_MEMBERS} members")]
    InvalidMember,
    /// The message names a later incarnation under this member's own name.
    #[error("message names a later incarnation under this member's own name")]
    LaterIncarnation,
}

/// The latest incarnation that a member knows under a name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownIncarnation {
    /// Incarnation number; 0 if none is known.
    pub incarnation: u64,
    /// Whether the incarnation counts as present.
    pub is_present: bool,
}

/// A sender with a lower incarnation than the latest one known under its name.
#[derive(Debug, Clone)]
pub struct OutdatedSender {
    /// Identity of the sender.
    pub identity: Identity,
    /// Latest incarnation known under the sender's name.
    pub latest: u64,
}

/// Facts seen in messages that the protocol itself does not report. The owner takes them out after each message.
#[derive(Default)]
pub struct Observations {
    /// Current identity of this process.
    pub own: Option<Identity>,
    /// Latest incarnation known under each name.
    pub latest_incarnations: BTreeMap<Rc<str>, u64>,
    /// Sender of the last decoded message, if it is the latest incarnation of its name.
    pub sender: Option<Identity>,
    /// Sender of the last decoded message from an outdated incarnation.
    pub outdated_sender: Option<Identity>,
    /// Highest incarnation named under this member's own name that is later than its own.
    pub later_own_incarnation: Option<KnownIncarnation>,
    /// Whether a probe was acknowledged.
    pub acknowledged: bool,
    /// Whether a message named a member as suspect or down.
    pub suspicion_seen: bool,
}

impl Observations {
    /// Creates the observations of a process that knows no other member.
    pub fn new(own: Identity) -> Observations {
        Observations { own: Some(own), ..Observations::default() }
    }

    /// Validates a member that a message names, and records its incarnation.
    fn check_member(&mut self, identity: &Identity, is_present: bool) -> Result<(), MessageError> {
        if !identity.is_valid() {
            return Err(MessageError::InvalidMember);
        }
        if let Some(own) = self.own.as_ref().filter(|own| own.name == identity.name) {
            if identity.incarnation <= own.incarnation {
                return Ok(());
            }
            let later = KnownIncarnation { incarnation: identity.incarnation, is_present };
            self.later_own_incarnation = self.later_own_incarnation.max(Some(later));
            return Err(MessageError::LaterIncarnation);
        }
        self.record_incarnation(identity)
    }

    fn record_incarnation(&mut self, identity: &Identity) -> Result<(), MessageError> {
        match self.latest_incarnations.get(&identity.name) {
            None if self.latest_incarnations.len() >= MAX_MEMBERS => return Err(MessageError::InvalidMember),
            Some(latest) if *latest >= identity.incarnation => {}
            _ => {
                self.latest_incarnations.insert(identity.name.clone(), identity.incarnation);
            }
        }
        Ok(())
    }

    fn record_sender(&mut self, sender: &Identity) {
        let latest = self.latest_incarnations.get(&sender.name);
        if latest.is_some_and(|latest| sender.incarnation < *latest) {
            self.outdated_sender = Some(sender.clone());
        } else {
            self.sender = Some(sender.clone());
        }
    }
}

/// Codec of the protocol: `postcard`, with every member validated.
pub struct CheckedCodec {
    observations: Rc<RefCell<Observations>>,
}

impl CheckedCodec {
    /// Creates a codec that records into `observations`.
    pub fn new(observations: Rc<RefCell<Observations>>) -> CheckedCodec {
        CheckedCodec { observations }
    }
}

/// Returns the member that a message names besides its sender and receiver, if any.
fn third_member(message: &Message<Identity>) -> Option<&Identity> {
    match message {
        Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => Some(target),
        Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => Some(origin),
        _ => None,
    }
}

impl Codec<Identity> for CheckedCodec {
    type Error = MessageError;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        buffer: impl bytes::BufMut,
    ) -> Result<(), MessageError> {
        PostcardCodec.encode_header(header, buffer).map_err(MessageError::Encoding)
    }

    fn decode_header(&mut self, buffer: impl bytes::Buf) -> Result<Header<Identity>, MessageError> {
        let header: Header<Identity> = PostcardCodec.decode_header(buffer).map_err(MessageError::Encoding)?;
        let mut observations = self.observations.borrow_mut();
        observations.check_member(&header.src, true)?;
        observations.record_sender(&header.src);
        if third_member(&header.message).is_some_and(|identity| !identity.is_valid()) {
            return Err(MessageError::InvalidMember);
        }
        observations.acknowledged |= matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. });
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buffer: impl bytes::BufMut,
    ) -> Result<(), MessageError> {
        PostcardCodec.encode_member(member, buffer).map_err(MessageError::Encoding)
    }

    fn decode_member(&mut self, buffer: impl bytes::Buf) -> Result<Member<Identity>, MessageError> {
        let member: Member<Identity> = PostcardCodec.decode_member(buffer).map_err(MessageError::Encoding)?;
        let mut observations = self.observations.borrow_mut();
        observations.check_member(member.id(), member.state() != State::Down)?;
        observations.suspicion_seen |= member.state() != State::Alive;
        Ok(member)
    }
}
