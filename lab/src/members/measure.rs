//! Measures the cost and the speed of the membership protocol at several cluster sizes, under virtual time.

use crate::members::network::NetworkConditions;
use crate::members::virtual_cluster::{seconds, ObservedNotice, VirtualCluster};
use crate::stats;
use quota_gateway::cluster::{ClusterNotice, MemberState, Micros};
use std::time::Instant;

/// Maximum time for a cluster to form, in seconds.
const MAX_FORMING_S: f64 = 120.0;
/// Time for which a cluster runs after it formed, before anything is measured.
const SETTLING: Micros = Micros(20_000_000);
/// Duration of the traffic measurement in a cluster without faults, in seconds.
const IDLE_S: f64 = 60.0;
/// Maximum detection time of a crash in seconds; later detections count as this.
const MAX_DETECTION_S: f64 = 25.0;
/// Maximum time for a cluster to converge after a fault, in seconds.
const MAX_CONVERGENCE_S: f64 = 60.0;
/// Duration of a partition.
const PARTITION: Micros = Micros(60_000_000);
/// Stress phase: its duration, the fraction of datagrams lost, and N where one in N members is paused repeatedly.
const STRESS_DURATION: Micros = Micros(600_000_000);
const STRESS_LOSS: f64 = 0.1;
const STRESS_PAUSED_ONE_IN: usize = 5;
/// Duration of one pause in the stress phase.
const STRESS_PAUSE: Micros = Micros(1_000_000);
/// Minimum time between two pauses of a member, and the bound of the random extra time, in microseconds.
const STRESS_MIN_RUN: Micros = Micros(2_500_000);
const STRESS_MAX_EXTRA_RUN_US: usize = 5_000_000;

/// A median and a 99th percentile, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Detection {
    /// Median.
    pub median_s: f64,
    /// 99th percentile.
    pub p99_s: f64,
}

impl Detection {
    fn from_samples(seconds: &mut [f64]) -> Detection {
        Detection { median_s: stats::quantile(seconds, 0.5), p99_s: stats::quantile(seconds, 0.99) }
    }
}

/// Traffic that a member sends per second.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: f64,
    /// Bytes of these datagrams.
    pub bytes: f64,
}

/// Results for one cluster size.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Number of members.
    pub members: usize,
    /// Seconds until a cluster whose members all start at once has converged.
    pub formed_s: f64,
    /// Time from a crash to the first suspicion at any member, over all crashes.
    pub first_suspicion: Detection,
    /// Time from a crash until a member no longer considers the crashed one alive, over all pairs.
    pub suspected: Detection,
    /// Time from a crash until a member considers the crashed one down, over all pairs.
    pub down: Detection,
    /// Seconds from the end of a partition until all members have converged, for each partition.
    pub healed_s: Vec<f64>,
    /// Traffic of a member in a cluster without faults.
    pub idle: Traffic,
    /// Notices that declared a running member down during the stress phase.
    pub false_downs: usize,
    /// CPU time of a member in a cluster without faults, as a fraction of one core.
    pub cpu: f64,
}

/// Parameters of one measurement.
#[derive(Debug, Clone, Copy)]
pub struct Parameters {
    /// Number of members.
    pub members: usize,
    /// Random seed.
    pub seed: u64,
    /// Number of crashes, one after the other.
    pub crashes: usize,
    /// Number of partitions.
    pub partitions: usize,
    /// Whether there is a stress phase: ten minutes with loss and pauses.
    pub has_stress_phase: bool,
}

/// Runs until the cluster has converged and returns the seconds this took, or `bound_s` if it took longer.
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

/// Runs all measurements at one cluster size.
pub fn measure(parameters: &Parameters) -> Figures {
    let mut cluster = VirtualCluster::new(parameters.members, parameters.seed);
    (0..parameters.members).for_each(|i| cluster.start(i));
    let formed_s = until_converged(&mut cluster, MAX_FORMING_S);
    cluster.run_for(SETTLING);
    cluster.notices.clear();
    let (idle, cpu) = measure_idle(&mut cluster);
    let mut crashes = CrashDetections::default();
    for _ in 0..parameters.crashes {
        crashes.measure_one(&mut cluster);
    }
    let healed_s = (0..parameters.partitions).map(|_| measure_partition(&mut cluster)).collect();
    let false_downs = if parameters.has_stress_phase { run_stress_phase(&mut cluster) } else { 0 };
    Figures {
        members: parameters.members,
        formed_s,
        first_suspicion: Detection::from_samples(&mut crashes.first_suspicion_s),
        suspected: Detection::from_samples(&mut crashes.suspected_s),
        down: Detection::from_samples(&mut crashes.down_s),
        healed_s,
        idle,
        false_downs,
        cpu,
    }
}

/// Returns the datagrams and bytes that the running nodes have sent so far.
fn sent(cluster: &VirtualCluster) -> (u64, u64) {
    let nodes = (0..cluster.count()).filter_map(|i| cluster.node(i));
    nodes.fold((0, 0), |(datagrams, bytes), node| {
        (datagrams + node.traffic().sent, bytes + node.traffic().sent_bytes)
    })
}

/// Measures the traffic and the CPU time of a member in a cluster without faults.
fn measure_idle(cluster: &mut VirtualCluster) -> (Traffic, f64) {
    let members = cluster.count() as f64;
    let (datagrams_before, bytes_before) = sent(cluster);
    let started = Instant::now();
    cluster.run_for(seconds(IDLE_S));
    let cpu = started.elapsed().as_secs_f64() / IDLE_S / members;
    let (datagrams, bytes) = sent(cluster);
    let per_member_second = |count: u64| count as f64 / IDLE_S / members;
    let traffic = Traffic {
        datagrams: per_member_second(datagrams - datagrams_before),
        bytes: per_member_second(bytes - bytes_before),
    };
    (traffic, cpu)
}

/// Detection times of crashes, in seconds.
#[derive(Default)]
struct CrashDetections {
    first_suspicion_s: Vec<f64>,
    suspected_s: Vec<f64>,
    down_s: Vec<f64>,
}

impl CrashDetections {
    /// Kills one member, records when the others detect it, and starts it again.
    fn measure_one(&mut self, cluster: &mut VirtualCluster) {
        let members = cluster.count();
        let crashed = cluster.draw(members);
        cluster.notices.clear();
        let phase = Micros(cluster.draw(1_000_000) as u64);
        cluster.run_for(phase);
        let crashed_at = cluster.now;
        cluster.kill(crashed);
        cluster.run_for(seconds(MAX_DETECTION_S));
        let suspected = detections(cluster, crashed, crashed_at, |state| state != MemberState::Alive);
        let down = detections(cluster, crashed, crashed_at, |state| !state.is_present());
        self.first_suspicion_s.push(suspected.iter().copied().fold(MAX_DETECTION_S, f64::min));
        self.suspected_s.extend(suspected);
        self.down_s.extend(down);
        cluster.start(crashed);
        until_converged(cluster, MAX_CONVERGENCE_S);
        cluster.run_for(seconds(2.0));
    }
}

/// Returns, for each other member, the seconds from a crash until it first reported a matching state of the crashed one.
fn detections(
    cluster: &VirtualCluster,
    crashed: usize,
    crashed_at: Micros,
    is_detected: impl Fn(MemberState) -> bool,
) -> Vec<f64> {
    let mut first = vec![None; cluster.count()];
    for ObservedNotice { at, node, notice } in &cluster.notices {
        let ClusterNotice::MemberStateChanged { name, state, .. } = notice else { continue };
        if name == cluster.name(crashed) && is_detected(*state) {
            first[*node] = first[*node].or(Some((*at - crashed_at).secs()));
        }
    }
    let others = (0..cluster.count()).filter(|i| *i != crashed);
    others.map(|i| first[i].unwrap_or(MAX_DETECTION_S)).collect()
}

/// Partitions the cluster into halves for a while; returns the seconds from the end of the partition to convergence.
fn measure_partition(cluster: &mut VirtualCluster) -> f64 {
    let members = cluster.count();
    let half = members / 2;
    cluster.partition(&[(0..half).collect(), (half..members).collect()]);
    cluster.run_for(PARTITION);
    cluster.heal();
    let healed_s = until_converged(cluster, MAX_CONVERGENCE_S);
    cluster.run_for(seconds(5.0));
    healed_s
}

/// The next pause or resumption of a member in the stress phase.
struct PauseToggle {
    at: Micros,
    node: usize,
    pauses: bool,
}

/// Runs ten minutes with 10% loss, in which a fifth of the members is paused for 1 s about every 5 s. Returns how often
/// a running member was declared down.
fn run_stress_phase(cluster: &mut VirtualCluster) -> usize {
    let members = cluster.count();
    cluster.conditions = NetworkConditions { loss: STRESS_LOSS, ..cluster.conditions };
    cluster.notices.clear();
    let paused_members: Vec<usize> =
        (0..members.div_ceil(STRESS_PAUSED_ONE_IN)).map(|i| i * STRESS_PAUSED_ONE_IN % members).collect();
    let end = cluster.now + STRESS_DURATION;
    let mut toggles = Vec::with_capacity(paused_members.len());
    for &node in &paused_members {
        let at = cluster.now + Micros(cluster.draw(STRESS_MAX_EXTRA_RUN_US) as u64);
        toggles.push(PauseToggle { at, node, pauses: true });
    }
    while let Some(next) = toggles.iter_mut().min_by_key(|toggle| toggle.at).filter(|toggle| toggle.at < end)
    {
        cluster.run_until(next.at);
        if next.pauses {
            cluster.pause(next.node);
            next.at = next.at + STRESS_PAUSE;
        } else {
            cluster.resume(next.node);
            next.at = next.at + STRESS_MIN_RUN + Micros(cluster.draw(STRESS_MAX_EXTRA_RUN_US) as u64);
        }
        next.pauses = !next.pauses;
    }
    paused_members.iter().for_each(|&i| cluster.resume(i));
    cluster.run_until(end);
    cluster.conditions = NetworkConditions::default();
    cluster.notices.iter().filter(|observed| is_down(&observed.notice)).count()
}

fn is_down(notice: &ClusterNotice) -> bool {
    matches!(notice, ClusterNotice::MemberStateChanged { state: MemberState::Down, .. })
}

/// Returns a Markdown table with a row for each size: medians over the runs, or the worst run where the column says so.
pub fn table(sizes: &[usize], runs: u64, crashes: usize, has_stress_phase: bool) -> String {
    let head =
        "| members | formed s | first suspicion s, median / p99 | suspected p99 s | down s, median / p99 \
        | healed s, median / worst | datagrams/s | bytes/s | false downs | core % |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let mut text = head.to_string();
    for &members in sizes {
        let parameters = |seed| Parameters { members, seed, crashes, partitions: 1, has_stress_phase };
        let all: Vec<Figures> = (1..=runs).map(|seed| measure(&parameters(seed))).collect();
        text += &table_row(members, &all);
    }
    text
}

fn table_row(members: usize, all: &[Figures]) -> String {
    let median =
        |figure: &dyn Fn(&Figures) -> f64| stats::median(&all.iter().map(figure).collect::<Vec<f64>>());
    let worst = |figure: &dyn Fn(&Figures) -> f64| all.iter().map(figure).fold(0.0, f64::max);
    let healed: Vec<f64> = all.iter().flat_map(|figures| figures.healed_s.clone()).collect();
    format!(
        "| {members} | {:.1} | {:.1} / {:.1} | {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {:.1} | {:.0} | {} | {:.3} |\n",
        median(&|figures| figures.formed_s),
        median(&|figures| figures.first_suspicion.median_s),
        worst(&|figures| figures.first_suspicion.p99_s),
        median(&|figures| figures.suspected.p99_s),
        median(&|figures| figures.down.median_s),
        median(&|figures| figures.down.p99_s),
        stats::median(&healed),
        stats::spread(&healed).1,
        median(&|figures| figures.idle.datagrams),
        median(&|figures| figures.idle.bytes),
        all.iter().map(|figures| figures.false_downs).sum::<usize>(),
        median(&|figures| figures.cpu * 100.0),
    )
}
