//! Who is present: SWIM (Das, Gupta, Motivala, DSN 2002) by the crate `foca`, with what it leaves open: the clock
//! of a process that may be paused, the members' names bounded, rivals under one name, leaving by word.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::local_health::Health;
use crate::cluster::Micros;
use foca::{AccumulatingRuntime, Codec, Foca, Header, Member, Message, NoCustomBroadcast};
use foca::{OwnedNotification as News, PostcardCodec, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::{NonZeroU32, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// The most names that are kept, those of the dead and gone among them.
pub const MAX_MEMBERS: usize = 2048;
/// How long the dead and gone are remembered.
const REMEMBERED: Duration = Duration::from_secs(3600);
/// How long a direct probe is waited for; a private network's round trip and a busy loop have room in it.
const ROUND_TRIP: Duration = Duration::from_millis(300);
/// Members asked to try the way round.
const INDIRECT: usize = 3;
/// How often and how many of the dead are called, so that two sides of a cut find each other.
const CALL_DEAD: (Duration, usize) = (Duration::from_secs(1), 2);
/// How often and to how many news goes out by itself, while there is any.
const GOSSIP: (Duration, usize) = (Duration::from_millis(200), 3);
/// How often one member is asked for others.
const COMPARE: Duration = Duration::from_secs(30);
/// A suspect is dead after so many probe periods. SWIM and its kin let this grow with the fleet, as word of the
/// suspicion and of its refutation has to spread; here who suspects asks the suspect itself, again and again.
const SUSPICION: u32 = 2;
/// Each member passes news on so many times more often than `4 log10 n`: with that alone, one in a hundred members
/// of a small fleet hears of a death by luck only, seconds late.
const TOLD_MORE: u8 = 6;
/// Between two such questions.
const ASK_SUSPECT: Micros = Micros(250_000);

/// What the codec saw go by.
#[derive(Default)]
struct Sight {
    own: Option<Identity>,
    /// All names, and the latest life that is known of each.
    names: BTreeMap<Rc<str>, u64>,
    /// The sender of the last message that could be read.
    sender: Option<Identity>,
    /// A sender that is not the latest life of its name.
    older: Option<Identity>,
    /// The highest incarnation under the own name that is not this process, and whether it is held to live.
    rival: Option<(u64, bool)>,
    answered: bool,
    suspicion: bool,
}

/// A message that this member does not take.
#[derive(Debug)]
pub enum Unfit {
    /// It could not be read or written.
    Postcard(postcard::Error),
    /// It names members that no fleet may have, or more of them than are kept.
    Member,
    /// It speaks of a later life under the own name.
    Rival,
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unfit::Postcard(e) => e.fmt(f),
            Unfit::Member => f.write_str("a member that no fleet may have"),
            Unfit::Rival => f.write_str("a later life under the own name"),
        }
    }
}
impl std::error::Error for Unfit {}

/// Reads and writes messages, and looks at who is named in them.
struct Checked {
    inner: PostcardCodec,
    sight: Rc<RefCell<Sight>>,
}

impl Sight {
    fn takes(&mut self, id: &Identity, live: bool) -> Result<(), Unfit> {
        if !id.is_sound() {
            return Err(Unfit::Member);
        }
        if let Some(own) = self.own.as_ref().filter(|own| own.name == id.name) {
            if id.incarnation > own.incarnation {
                self.rival = self.rival.max(Some((id.incarnation, live)));
                return Err(Unfit::Rival);
            }
            return Ok(());
        }
        match self.names.get(&id.name) {
            None if self.names.len() >= MAX_MEMBERS => return Err(Unfit::Member),
            Some(latest) if *latest >= id.incarnation => {}
            _ => drop(self.names.insert(id.name.clone(), id.incarnation)),
        }
        Ok(())
    }

    /// A sender that is not the latest life of its name.
    fn is_older(&self, src: &Identity) -> bool {
        self.names.get(&src.name).is_some_and(|latest| src.incarnation < *latest)
    }
}

impl Codec<Identity> for Checked {
    type Error = Unfit;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl bytes::BufMut) -> Result<(), Unfit> {
        self.inner.encode_header(header, buf).map_err(Unfit::Postcard)
    }
    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Identity>, Unfit> {
        let header = self.inner.decode_header(buf).map_err(Unfit::Postcard)?;
        let mut sight = self.sight.borrow_mut();
        sight.takes(&header.src, true)?;
        if sight.is_older(&header.src) {
            sight.older = Some(header.src.clone());
        } else {
            sight.sender = Some(header.src.clone());
        }
        let others = match &header.message {
            Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => Some(target),
            Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => Some(origin),
            _ => None,
        };
        if others.is_some_and(|id| !id.is_sound()) {
            return Err(Unfit::Member);
        }
        sight.answered |= matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. });
        Ok(header)
    }
    fn encode_member(&mut self, member: &Member<Identity>, buf: impl bytes::BufMut) -> Result<(), Unfit> {
        self.inner.encode_member(member, buf).map_err(Unfit::Postcard)
    }
    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<Member<Identity>, Unfit> {
        let member = self.inner.decode_member(buf).map_err(Unfit::Postcard)?;
        let mut sight = self.sight.borrow_mut();
        sight.takes(member.id(), member.state() != State::Down)?;
        sight.suspicion |= member.state() != State::Alive;
        Ok(member)
    }
}

/// A timer of the protocol's, by the clock of the time awake.
struct Due {
    at: Micros,
    serial: u64,
    timer: Timer<Identity>,
}

impl Ord for Due {
    /// The earliest is the greatest, as the heap gives the greatest first.
    fn cmp(&self, o: &Due) -> Ordering {
        (o.at, o.serial).cmp(&(self.at, self.serial))
    }
}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Due) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl PartialEq for Due {
    fn eq(&self, o: &Due) -> bool {
        self.cmp(o).is_eq()
    }
}
impl Eq for Due {}

/// What is held of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers, as far as is known.
    Alive,
    /// Somebody had no answer of it.
    Suspect,
    /// It was silent for too long: dead, or cut off.
    Down,
    /// It left by its own word.
    Left,
}

impl MemberState {
    /// It takes part.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member as this one sees it.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// Which life.
    pub identity: Identity,
    /// Its state.
    pub state: MemberState,
    /// Since when.
    pub since: Micros,
    /// In words.
    pub reason: &'static str,
}

/// What the protocol wants sent.
pub struct Outgoing {
    /// The receiver.
    pub to: Identity,
    /// The message.
    pub message: bytes::Bytes,
    /// The number by which the receiver is suspected, where this asks it about that.
    pub doubt: Option<u16>,
}

/// The membership protocol of one gateway.
pub struct Swim {
    foca: Foca<Identity, Checked, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    sight: Rc<RefCell<Sight>>,
    health: Health,
    awake: Micros,
    now: Micros,
    timers: BinaryHeap<Due>,
    serial: u64,
    /// When the dead are forgotten.
    forget: BTreeMap<Rc<str>, (Micros, Identity)>,
    records: BTreeMap<Rc<str>, MemberRecord>,
    looked: Micros,
    stale: bool,
    probing: bool,
    /// Probes in a row that had no answer.
    unanswered: u32,
    /// The highest number by which others doubted this life.
    doubted: Option<u16>,
    /// Whom this member itself suspects, by what number, and when they are asked next.
    doubts: BTreeMap<Rc<str>, (Identity, u16, Micros)>,
    sized: usize,
    /// Since when others are known.
    connected: Option<Micros>,
    left: bool,
    /// The protocol's mark on its timers; those with another are out of date.
    token: Option<foca::TimerToken>,
    /// Probe period, and longest message.
    bounds: (Duration, usize),
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros().min(u128::from(u64::MAX)) as u64)
}

fn every((frequency, members): (Duration, usize)) -> Option<foca::PeriodicParams> {
    Some(foca::PeriodicParams { frequency, num_members: NonZeroUsize::new(members)? })
}

/// The protocol's settings for a fleet of so many members.
fn settings(members: usize, period: Duration, longest: usize) -> foca::Config {
    let size = NonZeroU32::new(members.clamp(1, 1 << 20) as u32).unwrap_or(NonZeroU32::MIN);
    let usual = foca::Config::new_lan(size);
    foca::Config {
        max_transmissions: usual.max_transmissions.saturating_add(TOLD_MORE),
        probe_period: period,
        probe_rtt: ROUND_TRIP.min(period / 3),
        num_indirect_probes: NonZeroUsize::new(INDIRECT).unwrap_or(NonZeroUsize::MIN),
        suspect_to_down_after: period * SUSPICION,
        remove_down_after: Some(REMEMBERED),
        max_packet_size: NonZeroUsize::new(longest).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: every((COMPARE, 1)),
        periodic_announce_to_down_members: every(CALL_DEAD),
        periodic_gossip: every(GOSSIP),
    }
}

impl Swim {
    /// A member that knows nobody yet.
    pub fn new(own: Identity, seed: u64, period: Duration, longest: usize) -> Swim {
        let sight = Rc::new(RefCell::new(Sight { own: Some(own.clone()), ..Sight::default() }));
        let codec = Checked { inner: PostcardCodec, sight: sight.clone() };
        let rng = SmallRng::seed_from_u64(seed);
        Swim {
            foca: Foca::new(own, settings(1, period, longest), rng, codec),
            runtime: AccumulatingRuntime::new(),
            sight,
            health: Health::default(),
            awake: Micros(0),
            now: Micros(0),
            timers: BinaryHeap::new(),
            serial: 0,
            forget: BTreeMap::new(),
            records: BTreeMap::new(),
            looked: Micros(0),
            stale: true,
            probing: false,
            unanswered: 0,
            doubted: None,
            doubts: BTreeMap::new(),
            sized: 1,
            connected: None,
            left: false,
            token: None,
            bounds: (period, longest),
        }
    }

    /// This process's identity now.
    pub fn own(&self) -> &Identity {
        self.foca.identity()
    }
    /// Its health.
    pub fn health(&self) -> &Health {
        &self.health
    }
    /// Time awake.
    pub fn awake(&self) -> Micros {
        self.awake
    }
    /// Since when it has known others, if it does.
    pub fn connected(&self) -> Option<Micros> {
        self.connected
    }
    /// All that are known but this one, by name.
    pub fn records(&self) -> &BTreeMap<Rc<str>, MemberRecord> {
        &self.records
    }
    /// What the record of a name says, and whether it is held to live.
    pub fn on_record(&self, name: &str) -> (u64, bool) {
        self.records.get(name).map_or((0, false), |r| (r.identity.incarnation, r.state.is_present()))
    }
    /// A later life under the own name that was spoken of since the last look, and whether it is held to live.
    pub fn rival(&mut self) -> Option<(u64, bool)> {
        self.sight.borrow_mut().rival.take()
    }

    /// Who sent the last message, where it is the latest life of its name.
    pub fn sender(&mut self) -> Option<Identity> {
        self.sight.borrow_mut().sender.take()
    }

    /// A sender since the last look that was not the latest life of its name, and that life.
    pub fn older(&mut self) -> Option<(Identity, u64)> {
        let mut sight = self.sight.borrow_mut();
        let older = sight.older.take()?;
        let newer = sight.names.get(&older.name).copied()?;
        Some((older, newer))
    }

    /// Time has gone by. Timers that came due while the process was not awake come due later.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Outgoing>) {
        self.now = self.now.max(now);
        self.awake = self.health.wake(self.now);
        // After a rejoin the protocol probes nobody until it next hears a member, who may all be dead by then.
        let _ = self.foca.apply_many(std::iter::empty(), false, &mut self.runtime);
        self.pump(out);
        while self.timers.peek().is_some_and(|due| due.at <= self.awake) {
            let Some(due) = self.timers.pop() else { break };
            if matches!(due.timer, Timer::ProbeRandomMember(_)) && std::mem::take(&mut self.probing) {
                let answered = std::mem::take(&mut self.sight.borrow_mut().answered);
                // One that is dead says nothing of this gateway; several in a row do.
                self.unanswered = if answered { 0 } else { self.unanswered + 1 };
                if self.unanswered != 1 {
                    self.health.probed(answered);
                }
                self.stale |= !answered;
            }
            // What is out of date is told by errors that change nothing.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.pump(out);
        }
        let gone: Vec<Rc<str>> = self
            .forget
            .iter()
            .filter(|(_, (at, _))| *at <= self.awake)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            if let Some((_, identity)) = self.forget.remove(&name) {
                let _ = self.foca.handle_timer(Timer::RemoveDown(identity), &mut self.runtime);
                self.stale = true;
            }
        }
        self.pump(out);
        if self.stale || self.now - self.looked >= Micros(1_000_000) {
            self.look();
        }
        self.ask_suspects(out);
    }

    /// Asks those whom this member suspects whether they live. Their answers refute it where it counts.
    fn ask_suspects(&mut self, out: &mut Vec<Outgoing>) {
        let (awake, records) = (self.awake, &self.records);
        let suspect = |id: &Identity| {
            records.get(&id.name).is_some_and(|r| r.identity == *id && r.state == MemberState::Suspect)
        };
        self.doubts.retain(|_, (id, _, _)| suspect(id));
        let mut due = Vec::new();
        for (id, number, at) in self.doubts.values_mut().filter(|(_, _, at)| *at <= awake) {
            *at = awake + ASK_SUSPECT;
            due.push((id.clone(), *number));
        }
        for (id, number) in due {
            let from = out.len();
            let _ = self.foca.announce(id, &mut self.runtime);
            self.pump(out);
            out.iter_mut().skip(from).for_each(|sent| sent.doubt = Some(number));
        }
    }

    /// This member itself had no answer of another.
    pub fn suspect(&mut self, id: &Identity, out: &mut Vec<Outgoing>) {
        let known = self.foca.iter_members().find(|m| m.id() == id && m.state() == State::Alive);
        let Some((number, token)) = known.map(|m| m.incarnation()).zip(self.token) else { return };
        let suspect = Member::new(id.clone(), number, State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(suspect), true, &mut self.runtime);
        let after = self.bounds.0 * SUSPICION;
        let timer = Timer::ChangeSuspectToDown { member_id: id.clone(), incarnation: number, token };
        foca::Runtime::submit_after(&mut self.runtime, timer, after);
        self.pump(out);
        self.look();
        self.ask_suspects(out);
    }

    /// Somebody suspects this member and asks. The answer to what it asks with carries the refutation.
    pub fn doubted(&mut self, number: u16, out: &mut Vec<Outgoing>) {
        // The same doubt comes from many, and again until its answer is heard; it says the same once.
        if self.doubted.is_some_and(|last| last >= number) {
            return;
        }
        self.doubted = Some(number);
        self.health.accused();
        let own = Member::new(self.own().clone(), number, State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(own), false, &mut self.runtime);
        self.pump(out);
    }

    /// A message came.
    pub fn datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        out: &mut Vec<Outgoing>,
    ) -> Result<(), foca::Error> {
        self.now = self.now.max(now);
        self.awake = self.health.wake(self.now);
        let taken = self.foca.handle_data(bytes, &mut self.runtime);
        self.pump(out);
        taken
    }

    /// Calls a member that only the name is known of.
    pub fn call(&mut self, name: &str, out: &mut Vec<Outgoing>) {
        let _ = self.foca.announce(Identity::unknown(name), &mut self.runtime);
        self.pump(out);
    }

    /// Goes on as a later life than `other`.
    pub fn outlive(&mut self, other: u64, out: &mut Vec<Outgoing>) {
        let next = self.own().after(other);
        self.become_known_as(next, out);
    }

    /// Tells that this member leaves by its own word. It answers nobody any more.
    pub fn leave(&mut self, out: &mut Vec<Outgoing>) {
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let last = Identity { leaving: true, ..self.own().after(0) };
        self.become_known_as(last, out);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.pump(out);
    }

    /// Tells the news that there is to some members once more.
    pub fn repeat(&mut self, out: &mut Vec<Outgoing>) {
        let _ = self.foca.gossip(&mut self.runtime);
        self.pump(out);
    }

    fn become_known_as(&mut self, identity: Identity, out: &mut Vec<Outgoing>) {
        self.sight.borrow_mut().own = Some(identity.clone());
        self.doubted = None;
        let _ = self.foca.change_identity(identity, &mut self.runtime);
        self.pump(out);
    }

    /// Takes out what the protocol wants done.
    fn pump(&mut self, out: &mut Vec<Outgoing>) {
        while let Some((to, message)) = self.runtime.to_send() {
            out.push(Outgoing { to, message, doubt: None });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let span = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. } => self.health.stretched(micros(after)),
                _ => micros(after),
            };
            if let Timer::ProbeRandomMember(token) = &timer {
                self.token = Some(*token);
            }
            self.probing |= matches!(timer, Timer::SendIndirectProbe { .. });
            self.stale |= matches!(timer, Timer::ChangeSuspectToDown { .. });
            let at = self.awake + span;
            if let Timer::RemoveDown(identity) = timer {
                self.forget.insert(identity.name.clone(), (at, identity));
                continue;
            }
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                let name = member_id.name.clone();
                self.doubts.insert(name, (member_id.clone(), *incarnation, self.awake));
            }
            self.serial += 1;
            self.timers.push(Due { at, serial: self.serial, timer });
        }
        while let Some(news) = self.runtime.to_notify() {
            self.stale = true;
            match news {
                News::Active => self.connected = self.connected.or(Some(self.now)),
                News::Idle => self.connected = None,
                News::Rejoin(identity) => {
                    self.sight.borrow_mut().own = Some(identity);
                    self.doubted = None;
                }
                _ => {}
            }
        }
        let members = self.foca.num_members() + 1;
        if members.abs_diff(self.sized) * 4 > self.sized {
            self.sized = members;
            let (period, longest) = self.bounds;
            let _ = self.foca.set_config(settings(members, period, longest));
        }
        self.stale |= std::mem::take(&mut self.sight.borrow_mut().suspicion);
    }

    /// Brings the records to what the protocol holds.
    fn look(&mut self) {
        (self.stale, self.looked) = (false, self.now);
        let (now, fresh) = (self.now, self.connected.is_none_or(|at| self.now - at < Micros(2_000_000)));
        let mut seen = BTreeSet::new();
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down if id.leaving => MemberState::Left,
                State::Down => MemberState::Down,
            };
            seen.insert(id.name.clone());
            let before = self.records.get(&id.name);
            let same = before.is_some_and(|r| r.state == state && r.identity == *id);
            if same {
                continue;
            }
            let later = before.is_some_and(|r| r.identity.incarnation < id.incarnation);
            let reason = match (state, before.map(|r| r.state)) {
                (MemberState::Alive, Some(_)) if later => "it came back as a later life",
                (MemberState::Alive, Some(MemberState::Suspect)) => "it answered a suspicion",
                (MemberState::Alive, Some(_)) => "it came back",
                (MemberState::Alive, None) if fresh => "it was there when this gateway joined",
                (MemberState::Alive, None) => "it joined",
                (MemberState::Suspect, _) => "somebody had no answer of it, neither straight nor round about",
                (MemberState::Down, _) => "it was silent until the time to answer a suspicion was over",
                (MemberState::Left, _) => "it left by its own word",
            };
            let record = MemberRecord { identity: id.clone(), state, since: now, reason };
            self.records.insert(id.name.clone(), record);
        }
        self.records.retain(|name, _| seen.contains(name));
        self.sight.borrow_mut().names.retain(|name, _| seen.contains(name));
    }
}
