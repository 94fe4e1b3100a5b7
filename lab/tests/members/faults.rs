//! Strategies for random faults, and their injection into a virtual cluster.

use proptest::prelude::{any, prop, prop_oneof, Just, Strategy};
use quota_gateway::cluster::Micros;
use quota_gateway_lab::members::network::NetworkConditions;
use quota_gateway_lab::members::virtual_cluster::{seconds, VirtualCluster};

/// A fault of a member or of the network; members are given by index.
#[derive(Debug, Clone)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize, bool),
    /// All datagrams from the first member to the second are lost.
    CutPath(usize, usize),
    /// All datagrams between the two sides are lost.
    Partition(Vec<bool>),
    Heal,
    /// Loss and duplication in percent, and the longest delay in milliseconds.
    Conditions {
        loss: u8,
        duplication: u8,
        delay_ms: u8,
    },
    SetWallClockBack(usize),
    MoveAddress(usize),
}

pub fn fault(members: usize) -> impl Strategy<Value = Fault> {
    let member = 0..members;
    prop_oneof![
        4 => member.clone().prop_map(Fault::Kill),
        4 => member.clone().prop_map(Fault::Start),
        1 => member.clone().prop_map(Fault::Leave),
        3 => (member.clone(), any::<bool>()).prop_map(|(i, paused)| Fault::Pause(i, paused)),
        2 => (member.clone(), member.clone()).prop_map(|(i, j)| Fault::CutPath(i, j)),
        2 => prop::collection::vec(any::<bool>(), members).prop_map(Fault::Partition),
        2 => Just(Fault::Heal),
        2 => (0..30u8, 0..20u8, 0..200u8).prop_map(|(loss, duplication, delay_ms)| Fault::Conditions { loss, duplication, delay_ms }),
        1 => member.clone().prop_map(Fault::SetWallClockBack),
        1 => member.prop_map(Fault::MoveAddress),
    ]
}

/// Number of members, a seed, and faults, each with the time before it in tenths of a second.
pub fn plan() -> impl Strategy<Value = (usize, u64, Vec<(u8, Fault)>)> {
    (3..9usize).prop_flat_map(|members| {
        let faults = prop::collection::vec((0..80u8, fault(members)), 1..14);
        (Just(members), any::<u64>(), faults)
    })
}

pub fn inject_fault(cluster: &mut VirtualCluster, members: usize, fault: &Fault) {
    match *fault {
        Fault::Kill(i) => cluster.kill(i),
        Fault::Start(i) if cluster.node(i).is_none() => cluster.start(i),
        Fault::Start(_) => {}
        Fault::Leave(i) if !cluster.is_paused(i) => {
            cluster.leave(i);
            cluster.run_for(seconds(1.0));
            cluster.kill(i);
        }
        Fault::Leave(_) => {}
        Fault::Pause(i, true) => cluster.pause(i),
        Fault::Pause(i, false) => cluster.resume(i),
        Fault::CutPath(i, j) => cluster.cut(i, j),
        Fault::Partition(ref side) => {
            let (left, right) = (0..members).partition(|i| side[*i]);
            cluster.partition(&[left, right]);
        }
        Fault::Heal => cluster.heal(),
        Fault::Conditions { loss, duplication, delay_ms } => {
            cluster.conditions = NetworkConditions {
                delay: (Micros(200), Micros(2_000 + u64::from(delay_ms) * 1000)),
                loss: f64::from(loss) / 100.0,
                duplication: f64::from(duplication) / 100.0,
            };
        }
        Fault::SetWallClockBack(i) => cluster.set_wall_clock_back(i, seconds(86_400.0)),
        Fault::MoveAddress(i) => {
            let others: Vec<usize> = (0..members).filter(|j| *j != i).collect();
            cluster.move_address(i, &others);
        }
    }
}

/// Ends all faults, but starts no killed processes.
pub fn end_faults(cluster: &mut VirtualCluster, members: usize) {
    cluster.heal();
    cluster.conditions = NetworkConditions::default();
    (0..members).for_each(|i| cluster.resume(i));
}
