//! What membership costs and how fast it is, at several sizes of the cluster, under virtual time.

use crate::members::network::NetworkConditions;
use crate::members::virtual_cluster::{seconds, ObservedNotice, VirtualCluster};
use crate::stats;
use quota_gateway::cluster::{ClusterNotice, MemberState, Micros};
use std::time::Instant;

/// The longest time that a cluster may take to form, in seconds.
const MAX_FORMING_S: f64 = 120.0;
/// How long a cluster runs after it formed, before anything is measured.
const SETTLING: Micros = Micros(20_000_000);
/// How long traffic is measured in a cluster without faults, in seconds.
const QUIET_S: f64 = 60.0;
/// A death that is noticed later than this counts with this, in seconds.
const MAX_DETECTION_S: f64 = 25.0;
/// The longest time that a cluster may take to converge after a fault, in seconds.
const MAX_CONVERGENCE_S: f64 = 60.0;
/// How long a partition lasts.
const PARTITION: Micros = Micros(60_000_000);
/// The storm: how long it lasts, the loss, and one member in how many is paused now and then.
const STORM: Micros = Micros(600_000_000);
const STORM_LOSS: f64 = 0.1;
const STORM_PAUSED_PART: usize = 5;
/// How long a pause in the storm is.
const STORM_PAUSE: Micros = Micros(1_000_000);
/// The shortest time between two pauses of a member, and what is drawn beside it.
const STORM_RUN: Micros = Micros(2_500_000);
const STORM_RUN_DRAWN: usize = 5_000_000;

/// A median and a 99th percentile, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Detection {
    /// The median.
    pub median_s: f64,
    /// The 99th percentile.
    pub p99_s: f64,
}

impl Detection {
    fn of(seconds: &mut [f64]) -> Detection {
        Detection { median_s: stats::quantile(seconds, 0.5), p99_s: stats::quantile(seconds, 0.99) }
    }
}

/// What a member sends in a second.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: f64,
    /// Their bytes.
    pub bytes: f64,
}

/// The figures of one size.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Members.
    pub members: usize,
    /// Seconds until a cluster that starts together has converged.
    pub formed_s: f64,
    /// From a death to the first suspicion at any member, over deaths.
    pub first_suspicion: Detection,
    /// From a death until a member suspects the dead or worse, over pairs.
    pub suspected: Detection,
    /// From a death until a member takes the dead for down, over pairs.
    pub down: Detection,
    /// Seconds from a heal until all have converged again, one for each partition.
    pub healed_s: Vec<f64>,
    /// What a member sends where nothing happens.
    pub quiet: Traffic,
    /// Running members that were declared down in ten minutes with loss and pauses.
    pub false_downs: usize,
    /// A member's processor time where nothing happens, as a fraction of one core.
    pub cpu: f64,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Members.
    pub members: usize,
    /// The seed.
    pub seed: u64,
    /// How many members die, one after the other.
    pub deaths: usize,
    /// How many partitions there are.
    pub partitions: usize,
    /// Whether there are ten minutes with loss and pauses.
    pub has_storm: bool,
}

/// Seconds until all have converged; the bound if they have not by then.
fn until_converged(cluster: &mut VirtualCluster, bound_s: f64) -> f64 {
    let begin = cluster.now;
    while !cluster.is_converged() {
        if cluster.now - begin >= seconds(bound_s) {
            return bound_s;
        }
        cluster.run_for(Micros(100_000));
    }
    (cluster.now - begin).secs()
}

/// Plays one size.
pub fn play(plan: &Plan) -> Figures {
    let mut cluster = VirtualCluster::new(plan.members, plan.seed);
    (0..plan.members).for_each(|i| cluster.start(i));
    let formed_s = until_converged(&mut cluster, MAX_FORMING_S);
    cluster.run_for(SETTLING);
    cluster.notices.clear();
    let (quiet, cpu) = measure_quiet(&mut cluster);
    let mut deaths = Deaths::default();
    for _ in 0..plan.deaths {
        deaths.play_one(&mut cluster);
    }
    let healed_s = (0..plan.partitions).map(|_| play_partition(&mut cluster)).collect();
    let false_downs = if plan.has_storm { play_storm(&mut cluster) } else { 0 };
    Figures {
        members: plan.members,
        formed_s,
        first_suspicion: Detection::of(&mut deaths.first_suspicion_s),
        suspected: Detection::of(&mut deaths.suspected_s),
        down: Detection::of(&mut deaths.down_s),
        healed_s,
        quiet,
        false_downs,
        cpu,
    }
}

/// All datagrams and bytes that were ever sent.
fn sent(cluster: &VirtualCluster) -> (u64, u64) {
    let nodes = (0..cluster.count()).filter_map(|i| cluster.node(i));
    nodes.fold((0, 0), |(datagrams, bytes), node| {
        (datagrams + node.traffic().sent, bytes + node.traffic().sent_bytes)
    })
}

/// Traffic and processor time of a member while nothing happens.
fn measure_quiet(cluster: &mut VirtualCluster) -> (Traffic, f64) {
    let members = cluster.count() as f64;
    let (datagrams_before, bytes_before) = sent(cluster);
    let clock = Instant::now();
    cluster.run_for(seconds(QUIET_S));
    let cpu = clock.elapsed().as_secs_f64() / QUIET_S / members;
    let (datagrams, bytes) = sent(cluster);
    let per_member_second = |count: u64| count as f64 / QUIET_S / members;
    let traffic = Traffic {
        datagrams: per_member_second(datagrams - datagrams_before),
        bytes: per_member_second(bytes - bytes_before),
    };
    (traffic, cpu)
}

/// How fast deaths were detected, in seconds.
#[derive(Default)]
struct Deaths {
    first_suspicion_s: Vec<f64>,
    suspected_s: Vec<f64>,
    down_s: Vec<f64>,
}

impl Deaths {
    /// Kills one member, notes when the others notice, and starts it again.
    fn play_one(&mut self, cluster: &mut VirtualCluster) {
        let members = cluster.count();
        let dead = cluster.draw(members);
        cluster.notices.clear();
        let phase = Micros(cluster.draw(1_000_000) as u64);
        cluster.run_for(phase);
        let died_at = cluster.now;
        cluster.kill(dead);
        cluster.run_for(seconds(MAX_DETECTION_S));
        let suspected = detections(cluster, dead, died_at, |state| state != MemberState::Alive);
        let down = detections(cluster, dead, died_at, |state| !state.is_present());
        self.first_suspicion_s.push(suspected.iter().copied().fold(MAX_DETECTION_S, f64::min));
        self.suspected_s.extend(suspected);
        self.down_s.extend(down);
        cluster.start(dead);
        until_converged(cluster, MAX_CONVERGENCE_S);
        cluster.run_for(seconds(2.0));
    }
}

/// For each other member, the seconds from a death until it first told such a state of the dead.
fn detections(
    cluster: &VirtualCluster,
    dead: usize,
    died_at: Micros,
    is_detected: impl Fn(MemberState) -> bool,
) -> Vec<f64> {
    let mut first = vec![None; cluster.count()];
    for ObservedNotice { at, node, notice } in &cluster.notices {
        let ClusterNotice::MemberStateChanged { name, state, .. } = notice else { continue };
        if name == cluster.name(dead) && is_detected(*state) {
            first[*node] = first[*node].or(Some((*at - died_at).secs()));
        }
    }
    let others = (0..cluster.count()).filter(|i| *i != dead);
    others.map(|i| first[i].unwrap_or(MAX_DETECTION_S)).collect()
}

/// Cuts the cluster into halves for a while; seconds from the heal until all have converged.
fn play_partition(cluster: &mut VirtualCluster) -> f64 {
    let members = cluster.count();
    let half = members / 2;
    cluster.partition(&[(0..half).collect(), (half..members).collect()]);
    cluster.run_for(PARTITION);
    cluster.heal();
    let healed_s = until_converged(cluster, MAX_CONVERGENCE_S);
    cluster.run_for(seconds(5.0));
    healed_s
}

/// A member in the storm that is to be paused, or to run on.
struct StormTurn {
    at: Micros,
    node: usize,
    pauses: bool,
}

/// Ten minutes with 10% loss, and a fifth of the members paused for 1 s every 5 s or so. How often a running member was
/// declared down.
fn play_storm(cluster: &mut VirtualCluster) -> usize {
    let members = cluster.count();
    cluster.conditions = NetworkConditions { loss: STORM_LOSS, ..cluster.conditions };
    cluster.notices.clear();
    let slow: Vec<usize> =
        (0..members.div_ceil(STORM_PAUSED_PART)).map(|i| i * STORM_PAUSED_PART % members).collect();
    let end = cluster.now + STORM;
    let mut turns = Vec::with_capacity(slow.len());
    for &node in &slow {
        let at = cluster.now + Micros(cluster.draw(STORM_RUN_DRAWN) as u64);
        turns.push(StormTurn { at, node, pauses: true });
    }
    while let Some(next) = turns.iter_mut().min_by_key(|turn| turn.at).filter(|turn| turn.at < end) {
        cluster.run_until(next.at);
        if next.pauses {
            cluster.pause(next.node);
            next.at = next.at + STORM_PAUSE;
        } else {
            cluster.resume(next.node);
            next.at = next.at + STORM_RUN + Micros(cluster.draw(STORM_RUN_DRAWN) as u64);
        }
        next.pauses = !next.pauses;
    }
    slow.iter().for_each(|&i| cluster.resume(i));
    cluster.run_until(end);
    cluster.conditions = NetworkConditions::default();
    cluster.notices.iter().filter(|observed| is_down(&observed.notice)).count()
}

fn is_down(notice: &ClusterNotice) -> bool {
    matches!(notice, ClusterNotice::MemberStateChanged { state: MemberState::Down, .. })
}

/// One line of the table for each size: medians over plays, or the worst of them where the name says so.
pub fn table(sizes: &[usize], plays: u64, deaths: usize, has_storm: bool) -> String {
    let head =
        "| members | formed s | first miss s, median / p99 | missed p99 s | known down s, median / p99 \
        | healed s, median / worst | datagrams/s | bytes/s | false downs | core % |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let mut text = head.to_string();
    for &members in sizes {
        let plan = |seed| Plan { members, seed, deaths, partitions: 1, has_storm };
        let all: Vec<Figures> = (1..=plays).map(|seed| play(&plan(seed))).collect();
        text += &line(members, &all);
    }
    text
}

fn line(members: usize, all: &[Figures]) -> String {
    let median =
        |figure: &dyn Fn(&Figures) -> f64| stats::median(&all.iter().map(figure).collect::<Vec<f64>>());
    let worst = |figure: &dyn Fn(&Figures) -> f64| all.iter().map(figure).fold(0.0, f64::max);
    let healed: Vec<f64> = all.iter().flat_map(|f| f.healed_s.clone()).collect();
    format!(
        "| {members} | {:.1} | {:.1} / {:.1} | {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {:.1} | {:.0} | {} | {:.3} |\n",
        median(&|f| f.formed_s),
        median(&|f| f.first_suspicion.median_s),
        worst(&|f| f.first_suspicion.p99_s),
        median(&|f| f.suspected.p99_s),
        median(&|f| f.down.median_s),
        median(&|f| f.down.p99_s),
        stats::median(&healed),
        stats::spread(&healed).1,
        median(&|f| f.quiet.datagrams),
        median(&|f| f.quiet.bytes),
        all.iter().map(|f| f.false_downs).sum::<usize>(),
        median(&|f| f.cpu * 100.0),
    )
}
