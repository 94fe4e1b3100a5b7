//! Tests of single fault sequences that are hard for the membership protocol or for quota leases.

use crate::support::{
    assert_converges, assert_shares_in_force, describe, run_checked, started, started_with_seats,
};
use quota_gateway::cluster::{Agreement, ClusterNotice, MemberState, Micros};
use quota_gateway_lab::members::network::NetworkConditions;
use quota_gateway_lab::members::virtual_cluster::{seconds, ObservedNotice, VirtualCluster};

fn agreement(cluster: &VirtualCluster, i: usize) -> Option<Agreement> {
    cluster.node(i)?.report().view.map(|view| view.agreement)
}

/// Three of ten gateways are killed. Their shares must stay unused until the others can be certain that they
/// are down, and must return to them after a restart. Three that are partitioned instead lose their shares as
/// a minority.
#[test]
fn shares_of_killed_gateways_are_used_by_the_others_until_they_return() {
    let mut cluster = started_with_seats(10, 21);
    cluster.run_for(seconds(30.0));
    assert_shares_in_force(&cluster, 10, 1.0);
    (0..3).for_each(|i| cluster.kill(i));
    cluster.run_for(seconds(1.0));
    // No other gateway uses the shares of the killed ones yet.
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

/// Members that were declared down, each with the node that declared it.
fn members_declared_down(cluster: &VirtualCluster) -> Vec<String> {
    let declared_down = |observed: &ObservedNotice| match &observed.notice {
        ClusterNotice::MemberStateChanged { name, state: MemberState::Down, .. } => {
            Some(format!("{name} by g{}", observed.node))
        }
        _ => None,
    };
    cluster.notices.iter().filter_map(declared_down).collect()
}

/// Invariant 4: a path between two members fails in one or both directions. Indirect probes through other
/// members still reach both, so no member may be declared down.
#[test]
fn a_failed_path_between_two_members_gets_no_member_declared_down() {
    let mut cluster = started(8, 3);
    cluster.cut(0, 1);
    cluster.cut(2, 3);
    cluster.cut(3, 2);
    cluster.run_for(seconds(120.0));
    assert_eq!(members_declared_down(&cluster), Vec::<String>::new());
    assert!(cluster.is_converged());
}

/// A member leaves gracefully, as in a restart. All others must record it as having left and not declare it down.
#[test]
fn a_member_that_leaves_on_purpose_is_not_declared_down() {
    let mut cluster = started(6, 4);
    cluster.leave(2);
    cluster.run_for(seconds(1.0));
    cluster.kill(2);
    cluster.run_for(seconds(20.0));
    assert_eq!(members_declared_down(&cluster), Vec::<String>::new());
    let is_recorded_as_left = |i: usize| {
        let record =
            cluster.node(i).and_then(|node| node.records().find(|r| &*r.identity.name == "g2").cloned());
        record.map(|r| r.state) == Some(MemberState::Left)
    };
    assert!(cluster.awake().into_iter().all(is_recorded_as_left), "{}", describe(&cluster));
}

/// A process is paused for 30 s, as in the migration of a virtual machine. When it resumes, all its probes
/// are overdue at once. They must not count against the other members, because its protocol time was paused
/// too.
#[test]
fn a_member_paused_for_30_s_declares_no_member_down_and_converges_again() {
    let mut cluster = started(10, 5);
    cluster.pause(3);
    cluster.run_for(seconds(30.0));
    cluster.notices.clear();
    cluster.resume(3);
    assert_converges(&mut cluster, 10.0);
    cluster.run_for(seconds(10.0));
    assert_eq!(members_declared_down(&cluster), Vec::<String>::new());
}

/// Most of the cluster is killed and restarts before the others have noticed. The new incarnations must replace the
/// former ones.
#[test]
fn fourteen_of_twenty_members_killed_at_once_rejoin_under_their_names() {
    let mut cluster = started(20, 6);
    (0..14).for_each(|i| cluster.kill(i));
    cluster.run_for(seconds(3.0));
    (0..14).for_each(|i| cluster.start(i));
    assert_converges(&mut cluster, 15.0);
    cluster.run_for(seconds(20.0));
    assert!(cluster.is_converged(), "{}", describe(&cluster));
}

/// The cluster is split into three partitions, and a member restarts in each. After the heal all members must
/// learn the incarnations that only one partition had seen.
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

/// All members restart in pairs, one shortly after the other, over a network with delay, loss and
/// duplication. Late datagrams must not make a former incarnation count as present in the end.
#[test]
fn a_rolling_restart_leaves_no_former_incarnation_present() {
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

/// A member restarts with a wall clock that is 400 days behind, so that its incarnation is lower than the
/// former one: it must learn the former one and take a higher one. Another member restarts at an address that
/// only some configurations contain.
#[test]
fn members_rejoin_with_a_wall_clock_set_back_or_a_new_address() {
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
    // Members whose configuration lacks the new address learn the advertised address by gossip.
    cluster.run_for(seconds(20.0));
    let sees_all = |i: usize| cluster.node(i).is_some_and(|node| node.present_count() == 6);
    assert!([0, 1, 2].into_iter().all(sees_all), "{}", describe(&cluster));
}

/// All datagrams from one member are lost, while it receives those of the others. The others must declare it
/// down, and it must rejoin after the heal.
#[test]
fn a_member_that_receives_but_cannot_send_is_declared_down_and_rejoins_after_the_heal() {
    let mut cluster = started(8, 10);
    (1..8).for_each(|i| cluster.cut(0, i));
    cluster.run_for(seconds(20.0));
    let others_see_seven = |cluster: &VirtualCluster| {
        (1..8).all(|i| cluster.node(i).is_some_and(|node| node.present_count() == 7))
    };
    assert!(others_see_seven(&cluster), "{}", describe(&cluster));
    cluster.heal();
    assert_converges(&mut cluster, 10.0);
}

/// An operator starts a second process under a name that is in use. Without a rule the two would declare each
/// other down and take ever higher incarnations. The older process must yield its seat and report that.
#[test]
fn of_two_processes_under_one_name_the_older_yields_its_seat_and_reports_it() {
    let mut cluster = started(5, 11);
    let duplicate = cluster.add_duplicate(2);
    cluster.start(duplicate);
    cluster.run_for(seconds(20.0));
    let older = cluster.node(2).expect("the older process is running");
    let newer = cluster.node(duplicate).expect("the newer process is running").own_identity().incarnation;
    assert!(
        older.yielded_to().is_some_and(|to| to >= newer - 64 && to <= newer + 64),
        "{:?}",
        older.yielded_to()
    );
    assert!(cluster.node(duplicate).is_some_and(|node| node.yielded_to().is_none()));
    let reports_yielded_seat = |observed: &ObservedNotice| {
        observed.node == 2 && matches!(observed.notice, ClusterNotice::SeatYielded { .. })
    };
    assert!(cluster.notices.iter().any(reports_yielded_seat));
}

/// Invariant 2: random bytes of every length from 0 to 1999, beyond the longest datagram, arrive at the port.
/// They must be dropped and counted and change no state.
#[test]
fn random_datagrams_are_dropped_and_counted_and_change_no_state() {
    let mut cluster = started(4, 12);
    let before = cluster.node(0).expect("the node is running").report();
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
    let after = cluster.node(0).expect("the node is running").report();
    assert_eq!(after.dropped.values().sum::<u64>() - before.dropped.values().sum::<u64>(), 2000);
    assert_eq!(after.present, before.present);
    assert_eq!(after.sent, before.sent);
}
