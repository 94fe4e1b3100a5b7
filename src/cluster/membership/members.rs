//! What this member knows of each other one: its state, since when, and why.

use crate::cluster::membership::identity::Identity;
use crate::decision::Micros;
use foca::{Member, State};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The most names that are remembered, those of members that are down or gone among them.
pub const MAX_MEMBERS: usize = 2048;
/// The records are refreshed at least this often.
const MAX_REFRESH_INTERVAL: Micros = Micros(1_000_000);
/// Members that are learnt of within this time after this one joined were there before it.
const JOIN_TIME: Micros = Micros(2_000_000);

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers, as far as is known.
    Alive,
    /// Some member had no answer from it.
    Suspect,
    /// It did not refute a suspicion in time: dead, or cut off.
    Down,
    /// It left on purpose.
    Left,
}

impl MemberState {
    fn of(member: &Member<Identity>) -> MemberState {
        match member.state() {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down if member.id().leaving => MemberState::Left,
            State::Down => MemberState::Down,
        }
    }

    /// Whether the member takes part.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member as this one sees it.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// Its name and incarnation.
    pub identity: Identity,
    /// Its state.
    pub state: MemberState,
    /// Since when it is in this state.
    pub since: Micros,
    /// Why, for people.
    pub reason: &'static str,
}

/// The records of all other members, by name.
#[derive(Default)]
pub struct MemberTable {
    records: BTreeMap<Rc<str>, MemberRecord>,
    refreshed_at: Micros,
    is_stale: bool,
}

impl MemberTable {
    /// An empty table that is due to be refreshed.
    pub fn new() -> MemberTable {
        MemberTable { is_stale: true, ..MemberTable::default() }
    }

    /// All records, by name.
    pub fn records(&self) -> &BTreeMap<Rc<str>, MemberRecord> {
        &self.records
    }

    /// The protocol's knowledge may have changed.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Whether the records are to be brought up to date.
    pub fn is_refresh_due(&self, now: Micros) -> bool {
        self.is_stale || now - self.refreshed_at >= MAX_REFRESH_INTERVAL
    }

    /// Brings the records to what the protocol knows. `connected_at`: since when this member knows others.
    pub fn refresh<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member<Identity>>,
        now: Micros,
        connected_at: Option<Micros>,
    ) {
        self.is_stale = false;
        self.refreshed_at = now;
        let is_joining = connected_at.is_none_or(|at| now - at < JOIN_TIME);
        let mut known = BTreeSet::new();
        for member in members {
            known.insert(member.id().name.clone());
            self.update(member, now, is_joining);
        }
        self.records.retain(|name, _| known.contains(name));
    }

    fn update(&mut self, member: &Member<Identity>, now: Micros, is_joining: bool) {
        let identity = member.id();
        let state = MemberState::of(member);
        let before = self.records.get(&identity.name);
        if before.is_some_and(|record| record.state == state && record.identity == *identity) {
            return;
        }
        let reason = transition_reason(before, identity, state, is_joining);
        let record = MemberRecord { identity: identity.clone(), state, since: now, reason };
        self.records.insert(identity.name.clone(), record);
    }
}

/// Why a member is in this state now, for people. `/fleet` shows these texts.
fn transition_reason(
    before: Option<&MemberRecord>,
    identity: &Identity,
    state: MemberState,
    is_joining: bool,
) -> &'static str {
    let is_later = before.is_some_and(|record| record.identity.incarnation < identity.incarnation);
    match (state, before.map(|record| record.state)) {
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
