//! Deterministic subsetting: which endpoints a gateway prefers. See "Load Balancing in the Datacenter" in the
//! Google SRE book.
//!
//! A gateway with few requests gets enough samples of each endpoint only if it uses few endpoints.

use crate::decision::ids::EndpointId;

/// Minimum number of endpoints in a gateway's subset.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Endpoints added to the subset for each unit a second that the gateway forwards. More would spread the load
/// better; fewer would give enough samples of each endpoint within one or two seconds.
const SUBSET_PER_UNIT_PER_SECOND: f64 = 1.0;
/// Fractional part of the golden ratio, whose multiples spread evenly over a circle.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Returns the number of endpoints in a gateway's subset.
pub(super) fn subset_size(in_service: usize, units_per_second: f64) -> usize {
    (MIN_SUBSET_SIZE + SUBSET_PER_UNIT_PER_SECOND * units_per_second).min(in_service as f64) as usize
}

/// Returns all endpoints in service, this gateway's subset first. `in_service` is sorted, so that all
/// gateways use the same order. The golden ratio spreads the subsets evenly, including those of neighbouring
/// gateways, through which the requests of one customer come.
pub(super) fn own_subset_first(
    in_service: &[EndpointId],
    gateway_number: u32,
) -> impl Iterator<Item = EndpointId> + '_ {
    let start = (f64::from(gateway_number) * GOLDEN_RATIO).fract() * in_service.len() as f64;
    let (before, first) = in_service.split_at((start as usize).min(in_service.len()));
    first.iter().chain(before).copied()
}
