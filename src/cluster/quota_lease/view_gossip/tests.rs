//! Tables that no cluster can have made. They need the tables' private fields.

use crate::cluster::quota_lease::view::View;
use crate::cluster::quota_lease::view_gossip::{Table, ViewGossip, STATEMENT_VALIDITY};
use crate::decision::Micros;

#[test]
fn rejects_the_whole_of_a_table_that_no_cluster_can_have() {
    let own = View::empty(3);
    let good = ViewGossip::new(3).table(STATEMENT_VALIDITY, &own);
    let takes = |table: &Table| ViewGossip::new(3).merge(table, STATEMENT_VALIDITY, 0);
    assert!(takes(&good));
    // A number without room for the next one would have the numbers start again from nothing.
    let mut top = own.clone();
    top.number = u64::MAX;
    assert!(!takes(&Table { views: vec![top], ..good.clone() }));
    assert!(!takes(&Table { views: vec![View::empty(4)], ..good.clone() }));
    assert!(!takes(&Table { entries: vec![0; 2], ..good.clone() }));
    // An entry that points at no view, and one older than the clock, say nothing.
    let mut gossip = ViewGossip::new(3);
    assert!(gossip.merge(&Table { entries: vec![0xff, 0x90, 0x0e], ..good }, Micros(1), 0));
    assert_eq!(gossip.seats_reporting(Micros(2)), 0);
}
