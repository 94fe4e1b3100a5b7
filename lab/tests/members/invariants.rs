//! Property tests of the invariants under random faults.

use crate::faults::{end_faults, inject_fault, plan};
use crate::support::{
    assert_converges, assert_lease_invariants, assert_shares_in_force, run_checked, started_with_seats,
};
use proptest::prelude::{proptest, ProptestConfig};
use quota_gateway::cluster::Micros;
use quota_gateway_lab::members::virtual_cluster::{seconds, VirtualCluster};

/// Limit on the time from the last fault to convergence, in seconds.
const MAX_CONVERGENCE_S: f64 = 40.0;

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, failure_persistence: Some(Box::new(
        proptest::test_runner::FileFailurePersistence::WithSource("regressions"),
    )), ..ProptestConfig::default() })]

    /// Invariant 1: after the last fault all running members converge: each counts exactly the running
    /// members as present, whatever faults came before.
    #[test]
    fn all_members_converge_after_the_last_fault((members, seed, faults) in plan()) {
        let mut cluster = VirtualCluster::new(members, seed);
        (0..members).for_each(|i| cluster.start(i));
        for (tenths, fault) in &faults {
            cluster.run_for(Micros(u64::from(*tenths) * 100_000));
            inject_fault(&mut cluster, members, fault);
        }
        end_faults(&mut cluster, members);
        if cluster.awake().is_empty() {
            cluster.start(0);
        }
        assert_converges(&mut cluster, MAX_CONVERGENCE_S);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, max_shrink_iters: 100, failure_persistence: Some(Box::new(
        proptest::test_runner::FileFailurePersistence::WithSource("regressions"),
    )), ..ProptestConfig::default() })]

    /// Invariants 7 to 9: under any faults the shares in force never sum to more than one; after the faults
    /// they sum to one again.
    #[test]
    fn shares_in_force_never_sum_to_more_than_one((members, seed, faults) in plan()) {
        let mut cluster = started_with_seats(members, seed);
        run_checked(&mut cluster, members, seconds(16.0));
        for (tenths, fault) in &faults {
            run_checked(&mut cluster, members, Micros(u64::from(*tenths) * 200_000));
            inject_fault(&mut cluster, members, fault);
            assert_lease_invariants(&cluster, members);
        }
        end_faults(&mut cluster, members);
        for i in 0..members {
            if cluster.node(i).is_none() {
                cluster.start(i);
            }
        }
        run_checked(&mut cluster, members, seconds(45.0));
        assert_shares_in_force(&cluster, members, 1.0);
    }
}
