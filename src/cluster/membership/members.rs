//! Records of the other members: state, time and reason of the last change.

use crate::cluster::membership::identity::Identity;
use crate::decision::Micros;
use foca::{Member, State};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of names with a record, including members that are down or have left.
pub const MAX_MEMBERS: usize = 2048;
/// Maximum time between two refreshes of the records.
const MAX_REFRESH_INTERVAL: Micros = Micros(1_000_000);
/// Another member that this member first sees within this time after joining counts as having joined before
/// this member.
const JOIN_DURATION: Micros = Micros(2_000_000);

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// No member is known to suspect this member.
    Alive,
    /// Some member received no reply from the suspect.
    Suspect,
    /// The member did not refute a suspicion in time: it crashed or is unreachable.
    Down,
    /// The member left on purpose.
    Left,
}

impl MemberState {
    fn from_protocol_state(member: &Member<Identity>) -> MemberState {
        match member.state() {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down if member.id().leaving => MemberState::Left,
            State::Down => MemberState::Down,
        }
    }

    /// Whether the member takes part in the cluster.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Another member as seen by this one.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// Name, incarnation and metadata.
    pub identity: Identity,
    /// Current state.
    pub state: MemberState,
    /// Time of the change to this state.
    pub changed_at: Micros,
    /// Reason of the change, in words for operators.
    pub reason: &'static str,
}

/// Records of all other members, by name.
#[derive(Default)]
pub struct MemberTable {
    records: BTreeMap<Rc<str>, MemberRecord>,
    refreshed_at: Micros,
    is_stale: bool,
}

impl MemberTable {
    /// Creates an empty table that is due for a refresh.
    pub fn new() -> MemberTable {
        MemberTable { is_stale: true, ..MemberTable::default() }
    }

    /// Returns all records, by name.
    pub fn records(&self) -> &BTreeMap<Rc<str>, MemberRecord> {
        &self.records
    }

    /// Makes a refresh due; called when the protocol's member list may have changed.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Whether a refresh is due.
    pub fn is_refresh_due(&self, now: Micros) -> bool {
        self.is_stale || now - self.refreshed_at >= MAX_REFRESH_INTERVAL
    }

    /// Updates the records from the protocol's member list. `connected_at` is the time at which this member
    /// came to know other members, or `None` if it knows none.
    pub fn refresh<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member<Identity>>,
        now: Micros,
        connected_at: Option<Micros>,
    ) {
        self.is_stale = false;
        self.refreshed_at = now;
        let is_joining = connected_at.is_none_or(|at| now - at < JOIN_DURATION);
        let mut known = BTreeSet::new();
        for member in members {
            known.insert(member.id().name.clone());
            self.update(member, now, is_joining);
        }
        self.records.retain(|name, _| known.contains(name));
    }

    fn update(&mut self, member: &Member<Identity>, now: Micros, is_joining: bool) {
        let identity = member.id();
        let state = MemberState::from_protocol_state(member);
        let previous = self.records.get(&identity.name);
        if previous.is_some_and(|record| record.state == state && record.identity == *identity) {
            return;
        }
        let reason = transition_reason(previous, identity, state, is_joining);
        let record = MemberRecord { identity: identity.clone(), state, changed_at: now, reason };
        self.records.insert(identity.name.clone(), record);
    }
}

/// Returns why a member is in this state. The texts are part of the JSON of `/fleet`.
fn transition_reason(
    previous: Option<&MemberRecord>,
    identity: &Identity,
    state: MemberState,
    is_joining: bool,
) -> &'static str {
    let is_later = previous.is_some_and(|record| record.identity.incarnation < identity.incarnation);
    match (state, previous.map(|record| record.state)) {
        (MemberState::Alive, Some(_)) if is_later => "it came back as a later life",
        (MemberState::Alive, Some(MemberState::Suspect)) => "it answered a suspicion",
        (MemberState::Alive, Some(_)) => "it came back",
        (MemberState::Alive, None) if is_joining => "it was there when this gateway joined",
        (MemberState::Alive, None) => "it joined",
        (MemberState::Suspect, _) => "somebody had no answer of it, neither straight nor round about",
        (MemberState::Down, _) => "it was silent until the time to answer a suspicion was over",
        (MemberState::Left, _) => "it left by its own word",
    }
}
