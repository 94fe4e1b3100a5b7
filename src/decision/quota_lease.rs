//! Quota leases among the gateways.

use super::time::Micros;

/// Shares of customers' quotas that are leased to other gateways: a gateway's own, while it can't show that the
/// others still count it as present, and those of absent gateways. All shares together never exceed the quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaLease {
    /// The fraction of each share that may be leased, 0 to 1.
    pub fraction: f64,
    /// Until then the own share is complete, and those of `absent_gateways` are distributed.
    pub valid_until: Micros,
    /// Numbers of the gateways whose shares are distributed.
    pub absent_gateways: Vec<u32>,
}
