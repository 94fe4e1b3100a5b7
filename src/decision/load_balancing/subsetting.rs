//! Deterministic subsetting: which endpoints a gateway prefers. See "Load Balancing in the Datacenter" in the Google
//! SRE book.
//!
//! A gateway with few requests learns of each endpoint only if it uses few of them.

use crate::decision::ids::EndpointId;

/// Endpoints in a gateway's subset: at least this many,
const LEAST_SUBSET: f64 = 8.0;
/// and this many for each unit a second that it forwards. More spread its load better, fewer let it learn of each
/// within a second or two.
const SUBSET_PER_UNIT_PER_SECOND: f64 = 1.0;
/// The fractional part of the golden ratio: its multiples spread evenly over a circle.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The number of endpoints in a gateway's subset.
pub(super) fn subset_size(in_service: usize, units_per_second: f64) -> usize {
    (LEAST_SUBSET + SUBSET_PER_UNIT_PER_SECOND * units_per_second).min(in_service as f64) as usize
}

/// All endpoints in service, this gateway's subset first. `in_service` is sorted, so that all gateways share its
/// order. The golden ratio spreads the subsets evenly, also those of neighbouring gateways, through which one
/// customer comes.
pub(super) fn own_subset_first(
    in_service: &[EndpointId],
    gateway_number: u32,
) -> impl Iterator<Item = EndpointId> + '_ {
    let start = (f64::from(gateway_number) * GOLDEN_RATIO).fract() * in_service.len() as f64;
    let (before, first) = in_service.split_at((start as usize).min(in_service.len()));
    first.iter().chain(before).copied()
}
