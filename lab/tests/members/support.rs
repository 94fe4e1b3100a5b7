//! Helpers that start virtual clusters and check invariants of them.

use quota_gateway::cluster::{Agreement, Micros};
use quota_gateway_lab::members::virtual_cluster::{seconds, VirtualCluster};
use std::collections::BTreeMap;

/// Sums of shares that differ by less than this count as equal.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Runs until all members have converged; fails the test if they have not within the time limit.
pub fn assert_converges(cluster: &mut VirtualCluster, within_s: f64) {
    let started_at = cluster.now;
    while !cluster.is_converged() {
        let is_in_time = cluster.now - started_at < seconds(within_s);
        assert!(is_in_time, "not converged after {within_s} s:\n{}", describe(cluster));
        cluster.run_for(Micros(100_000));
    }
}

/// State of each node, one line per node, for failure messages.
pub fn describe(cluster: &VirtualCluster) -> String {
    (0..cluster.count()).map(|i| describe_node(cluster, i)).collect()
}

pub fn describe_node(cluster: &VirtualCluster, i: usize) -> String {
    let name = cluster.name(i);
    let Some(node) = cluster.node(i) else { return format!("{name}: not running\n") };
    let members: Vec<String> =
        node.records().map(|record| format!("{} {:?}", record.identity.name, record.state)).collect();
    let report = node.report();
    let status = format!("health {} late {:?} sent {:?}", report.health, report.late_calls, report.sent);
    format!("{name} ({status}): {}\n", members.join(", "))
}

/// Starts a cluster and runs it until it has converged and been stable for 12 s.
pub fn started(members: usize, seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::new(members, seed);
    (0..members).for_each(|i| cluster.start(i));
    assert_converges(&mut cluster, 20.0);
    cluster.run_for(seconds(12.0));
    cluster.notices.clear();
    cluster
}

/// Checks the invariants that hold at every moment: the shares in force sum to at most one for every set of adjacent
/// seats (invariant 7), and no two agreed views have the same number (invariant 8).
pub fn assert_lease_invariants(cluster: &VirtualCluster, members: usize) {
    for seat_count in 2..=members {
        for first in 0..members {
            let seats: Vec<usize> = (0..seat_count).map(|i| (first + i) % members).collect();
            let sum = cluster.shares_in_force(&seats);
            assert!(
                sum <= 1.0 + SHARE_TOLERANCE,
                "shares in force sum to {sum} at {} s through {seats:?}",
                cluster.now.secs()
            );
        }
    }
    let mut agreed: BTreeMap<u64, String> = BTreeMap::new();
    for view in cluster.awake().into_iter().filter_map(|i| cluster.node(i)?.report().view) {
        if view.agreement == Agreement::Agreed {
            let digest = agreed.entry(view.number).or_insert_with(|| view.digest.clone());
            assert_eq!(*digest, view.digest, "two agreed views have the number {}", view.number);
        }
    }
}

/// Checks that the shares in force sum to the expected fraction.
pub fn assert_shares_in_force(cluster: &VirtualCluster, members: usize, expected: f64) {
    let seats: Vec<usize> = (0..members).collect();
    let sum = cluster.shares_in_force(&seats);
    assert!((sum - expected).abs() < SHARE_TOLERANCE, "shares in force sum to {sum}, expected {expected}");
}

/// Runs the cluster for a time span and checks the lease invariants ten times a second.
pub fn run_checked(cluster: &mut VirtualCluster, members: usize, span: Micros) {
    let end = cluster.now + span;
    while cluster.now < end {
        let step = Micros(100_000).min(end - cluster.now);
        cluster.run_for(step);
        assert_lease_invariants(cluster, members);
    }
}

/// Starts a cluster with seats, without waiting for convergence.
pub fn started_with_seats(members: usize, seed: u64) -> VirtualCluster {
    let mut cluster = VirtualCluster::new(members, seed);
    cluster.seats = (0..members).map(|i| format!("g{i}")).collect();
    (0..members).for_each(|i| cluster.start(i));
    cluster
}
