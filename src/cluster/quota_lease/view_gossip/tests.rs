//! Rejection of invalid tables. The tests need the private fields of [`Table`].

use crate::cluster::quota_lease::view::View;
use crate::cluster::quota_lease::view_gossip::{Table, ViewGossip, STATEMENT_VALIDITY};
use crate::decision::Micros;

#[test]
fn invalid_table_is_rejected_entirely() {
    let own = View::empty(3);
    let valid = ViewGossip::new(3).table(STATEMENT_VALIDITY, &own);
    let accepts = |table: &Table| ViewGossip::new(3).merge(table, STATEMENT_VALIDITY, 0);
    assert!(accepts(&valid));
    // The highest number leaves no room for the next one: two different views would get the same number.
    let mut highest = own.clone();
    highest.number = u64::MAX;
    assert!(!accepts(&Table { views: vec![highest], ..valid.clone() }));
    assert!(!accepts(&Table { views: vec![View::empty(4)], ..valid.clone() }));
    assert!(!accepts(&Table { entries: vec![0; 2], ..valid.clone() }));
    // An entry that refers to no view, and one whose age exceeds the clock, are ignored.
    let mut gossip = ViewGossip::new(3);
    assert!(gossip.merge(&Table { entries: vec![0xff, 0x90, 0x0e], ..valid }, Micros(1), 0));
    assert_eq!(gossip.seats_reporting(Micros(2)), 0);
}
