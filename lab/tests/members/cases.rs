//! The hard cases, each with its story.

use crate::support::{
    assert_converges, assert_shares_in_force, describe, run_checked, started, started_with_seats,
};
use quota_gateway::cluster::{Agreement, ClusterNotice, MemberState, Micros};
use quota_gateway_lab::members::network::NetworkConditions;
use quota_gateway_lab::members::virtual_cluster::{seconds, ObservedNotice, VirtualCluster};

fn agreement(cluster: &VirtualCluster, i: usize) -> Option<Agreement> {
    cluster.node(i)?.report().view.map(|view| view.agreement)
}

/// Three of ten gateways die. Their shares are unused until the others can be certain that they are gone; then the
/// others use them, until the three return. When three are cut off instead, they lose what is lent, as a minority.
#[test]
fn shares_of_dead_gateways_are_used_by_the_others_until_they_return() {
    let mut cluster = started_with_seats(10, 21);
    cluster.run_for(seconds(30.0));
    assert_shares_in_force(&cluster, 10, 1.0);
    (0..3).for_each(|i| cluster.kill(i));
    cluster.run_for(seconds(1.0));
    // Nobody has the shares of the dead yet.
    assert_shares_in_force(&cluster, 10, 0.7);
    run_checked(&mut cluster, 10, seconds(24.0));
    assert_shares_in_force(&cluster, 10, 1.0);
    (0..3).for_each(|i| cluster.start(i));
    run_checked(&mut cluster, 10, seconds(30.0));
    assert_shares_in_force(&cluster, 10, 1.0);
    cluster.partition(&[vec![0, 1, 2], (3..10).collect()]);
    run_checked(&mut cluster, 10, seconds(30.0));
    assert_eq!(agreement(&cluster, 0), Some(Agreement::Minority));
    assert_eq!(agreement(&cluster, 5), Some(Agreement::Majority));
    assert_shares_in_force(&cluster, 10, 1.0);
    cluster.heal();
    run_checked(&mut cluster, 10, seconds(30.0));
    assert!((0..10).all(|i| agreement(&cluster, i) == Some(Agreement::Agreed)));
}

/// Which members were declared down, and by whom.
fn downs(cluster: &VirtualCluster) -> Vec<String> {
    let down = |observed: &ObservedNotice| match &observed.notice {
        ClusterNotice::MemberStateChanged { name, state: MemberState::Down, .. } => {
            Some(format!("{name} by g{}", observed.node))
        }
        _ => None,
    };
    cluster.notices.iter().filter_map(down).collect()
}

/// Invariant 4. A path between two members is cut, in one direction or in both. Indirect probes by other members show that
/// both live, so nobody is declared down.
#[test]
fn a_path_cut_between_two_members_or_in_one_direction_removes_nobody() {
    let mut cluster = started(8, 3);
    cluster.cut(0, 1);
    cluster.cut(2, 3);
    cluster.cut(3, 2);
    cluster.run_for(seconds(120.0));
    assert_eq!(downs(&cluster), Vec::<String>::new());
    assert!(cluster.is_converged());
}

/// A member leaves on purpose, as in a restart. All know it for one that left, and no death is reported.
#[test]
fn a_member_that_leaves_on_purpose_is_not_declared_down() {
    let mut cluster = started(6, 4);
    cluster.leave(2);
    cluster.run_for(seconds(1.0));
    cluster.kill(2);
    cluster.run_for(seconds(20.0));
    assert_eq!(downs(&cluster), Vec::<String>::new());
    let left = |i: usize| {
        let record =
            cluster.node(i).and_then(|node| node.records().find(|r| &*r.identity.name == "g2").cloned());
        record.map(|r| r.state) == Some(MemberState::Left)
    };
    assert!(cluster.awake().into_iter().all(left), "{}", describe(&cluster));
}

/// A process stands still for 30 s, as a virtual machine that is moved. When it wakes, all its probes are overdue at once.
/// They must not count against the others: its protocol time stood still too.
#[test]
fn a_member_paused_for_half_a_minute_accuses_nobody_and_converges_again() {
    let mut cluster = started(10, 5);
    cluster.pause(3);
    cluster.run_for(seconds(30.0));
    cluster.notices.clear();
    cluster.resume(3);
    assert_converges(&mut cluster, 10.0);
    cluster.run_for(seconds(10.0));
    assert_eq!(downs(&cluster), Vec::<String>::new());
}

/// Most of the cluster dies and starts again before the others have noticed. The new incarnations replace the old ones.
#[test]
fn seven_in_ten_killed_at_once_rejoin_under_their_names() {
    let mut cluster = started(20, 6);
    (0..14).for_each(|i| cluster.kill(i));
    cluster.run_for(seconds(3.0));
    (0..14).for_each(|i| cluster.start(i));
    assert_converges(&mut cluster, 15.0);
    cluster.run_for(seconds(20.0));
    assert!(cluster.is_converged(), "{}", describe(&cluster));
}

/// The cluster is cut in three, and on each side a member restarts. After the heal all learn of incarnations that only one
/// side had seen.
#[test]
fn partitions_with_restarts_on_all_sides_converge_after_the_heal() {
    let mut cluster = started(12, 7);
    cluster.partition(&[vec![0, 1, 2], vec![3, 4, 5, 6], vec![7, 8, 9, 10, 11]]);
    cluster.run_for(seconds(30.0));
    [0, 4, 8].into_iter().for_each(|i| cluster.kill(i));
    cluster.run_for(seconds(5.0));
    [0, 4, 8].into_iter().for_each(|i| cluster.start(i));
    cluster.run_for(seconds(25.0));
    cluster.heal();
    assert_converges(&mut cluster, 10.0);
}

/// All members restart, two at a time, over a network with delay, loss and duplicates. No former incarnation is taken for
/// present in the end.
#[test]
fn a_rolling_restart_leaves_no_former_incarnation_behind() {
    let mut cluster = started(20, 8);
    cluster.conditions =
        NetworkConditions { delay: (Micros(200), Micros(400_000)), loss: 0.05, duplication: 0.1 };
    for pair in 0..10 {
        for i in [pair * 2, pair * 2 + 1] {
            cluster.leave(i);
            cluster.run_for(seconds(0.6));
            cluster.kill(i);
            cluster.start(i);
        }
        cluster.run_for(seconds(2.0));
    }
    assert_converges(&mut cluster, 15.0);
    cluster.conditions = NetworkConditions::default();
    cluster.run_for(seconds(20.0));
    assert!(cluster.is_converged(), "{}", describe(&cluster));
}

/// A member restarts with a wall clock that is 400 days behind, so its incarnation is lower than the former one: it learns
/// that and takes a higher one. Another restarts at an address that only some configurations have.
#[test]
fn a_wall_clock_set_back_and_a_new_address_keep_nobody_out() {
    let mut cluster = started(6, 9);
    cluster.kill(1);
    cluster.set_wall_clock_back(1, seconds(400.0 * 86_400.0));
    cluster.run_for(seconds(1.0));
    cluster.start(1);
    assert_converges(&mut cluster, 15.0);
    cluster.kill(2);
    cluster.run_for(seconds(8.0));
    cluster.move_address(2, &[0, 1, 3]);
    cluster.start(2);
    // Those that were not told find it by what it advertises, once word of it comes round.
    cluster.run_for(seconds(20.0));
    let knows = |i: usize| cluster.node(i).is_some_and(|node| node.present_count() == 6);
    assert!([0, 1, 2].into_iter().all(knows), "{}", describe(&cluster));
}

/// A member's datagrams are lost, while it receives all others'. The others declare it down; after the heal it returns.
#[test]
fn a_member_that_receives_but_cannot_send_is_down_for_the_others_and_comes_back() {
    let mut cluster = started(8, 10);
    (1..8).for_each(|i| cluster.cut(0, i));
    cluster.run_for(seconds(20.0));
    let others_agree = |cluster: &VirtualCluster| {
        (1..8).all(|i| cluster.node(i).is_some_and(|node| node.present_count() == 7))
    };
    assert!(others_agree(&cluster), "{}", describe(&cluster));
    cluster.heal();
    assert_converges(&mut cluster, 10.0);
}

/// Somebody starts a second process under a name that is in use. Without a rule each would declare the other down and take
/// a higher incarnation, for ever. The older yields its seat, and says so.
#[test]
fn of_two_processes_under_one_name_the_older_yields_and_people_are_told() {
    let mut cluster = started(5, 11);
    let double = cluster.add_duplicate(2);
    cluster.start(double);
    cluster.run_for(seconds(20.0));
    let older = cluster.node(2).expect("it runs on");
    let newer = cluster.node(double).expect("it runs").own_identity().incarnation;
    assert!(
        older.yielded_to().is_some_and(|to| to >= newer - 64 && to <= newer + 64),
        "{:?}",
        older.yielded_to()
    );
    assert!(cluster.node(double).is_some_and(|node| node.yielded_to().is_none()));
    let is_told = |observed: &ObservedNotice| {
        observed.node == 2 && matches!(observed.notice, ClusterNotice::SeatYielded { .. })
    };
    assert!(cluster.notices.iter().any(is_told));
}

/// Invariant 2. Anything may arrive at the port: random bytes of every length up to above the longest datagram.
#[test]
fn random_datagrams_are_dropped_and_counted_and_change_nothing() {
    let mut cluster = started(4, 12);
    let before = cluster.node(0).expect("it runs").report();
    let mut seed = 1u64;
    for length in 0..2000usize {
        let bytes: Vec<u8> = (0..length)
            .map(|_| {
                seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                (seed >> 33) as u8
            })
            .collect();
        cluster.inject(0, &bytes);
    }
    let after = cluster.node(0).expect("it runs").report();
    assert_eq!(after.dropped.values().sum::<u64>() - before.dropped.values().sum::<u64>(), 2000);
    assert_eq!(after.present, before.present);
    assert_eq!(after.sent, before.sent);
}
