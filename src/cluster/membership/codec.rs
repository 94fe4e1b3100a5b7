//! Reads and writes the protocol's messages, refuses members that no cluster may have, and notes who is named.
//!
//! Every message passes here before the protocol sees it, so this is where a forged or damaged message is stopped from
//! adding members without bound, and where another process under this member's own name is noticed.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::MAX_MEMBERS;
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A message that this member does not take.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It could not be read or written.
    #[error("malformed: {0}")]
    Encoding(postcard::Error),
    /// It names a member with invalid texts, or one more than are remembered.
    #[error("names a member that no cluster may have, or one above {MAX_MEMBERS}")]
    InvalidMember,
    /// It names a later incarnation under this member's own name.
    #[error("names a later incarnation under the own name")]
    LaterIncarnation,
}

/// The incarnation of a name that a member knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownIncarnation {
    /// The number; 0: none is known.
    pub incarnation: u64,
    /// It is taken for present.
    pub is_present: bool,
}

/// A sender that is not the latest incarnation of its name.
#[derive(Debug, Clone)]
pub struct OutdatedSender {
    /// The sender.
    pub identity: Identity,
    /// The latest incarnation known of its name.
    pub latest: u64,
}

/// What the messages show beside what the protocol takes from them. The owner takes it out after each message.
#[derive(Default)]
pub struct Observations {
    /// This process's identity now.
    pub own: Option<Identity>,
    /// All names, and the latest incarnation known of each.
    pub latest_incarnations: BTreeMap<Rc<str>, u64>,
    /// The sender of the last message that could be read, where it is the latest incarnation of its name.
    pub sender: Option<Identity>,
    /// The sender of the last message that could be read, where it is not.
    pub outdated_sender: Option<Identity>,
    /// The highest later incarnation that was named under the own name.
    pub later_own_incarnation: Option<KnownIncarnation>,
    /// A probe was acknowledged.
    pub acknowledged: bool,
    /// A member was named as suspect or down.
    pub suspicion_seen: bool,
}

impl Observations {
    /// Those of a process that knows only itself.
    pub fn new(own: Identity) -> Observations {
        Observations { own: Some(own), ..Observations::default() }
    }

    /// Takes note of a member that a message names.
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
        self.note_incarnation(identity)
    }

    fn note_incarnation(&mut self, identity: &Identity) -> Result<(), MessageError> {
        match self.latest_incarnations.get(&identity.name) {
            None if self.latest_incarnations.len() >= MAX_MEMBERS => return Err(MessageError::InvalidMember),
            Some(latest) if *latest >= identity.incarnation => {}
            _ => {
                self.latest_incarnations.insert(identity.name.clone(), identity.incarnation);
            }
        }
        Ok(())
    }

    fn note_sender(&mut self, sender: &Identity) {
        let latest = self.latest_incarnations.get(&sender.name);
        if latest.is_some_and(|latest| sender.incarnation < *latest) {
            self.outdated_sender = Some(sender.clone());
        } else {
            self.sender = Some(sender.clone());
        }
    }
}

/// The protocol's codec: `postcard`, with every member checked.
pub struct CheckedCodec {
    observations: Rc<RefCell<Observations>>,
}

impl CheckedCodec {
    /// A codec that notes what it reads there.
    pub fn new(observations: Rc<RefCell<Observations>>) -> CheckedCodec {
        CheckedCodec { observations }
    }
}

/// The third member that a message names beside its sender and receiver.
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
        observations.note_sender(&header.src);
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
