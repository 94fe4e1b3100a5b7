//! Quota leases among the gateways.

use super::time::Micros;

/// The quota lease in force. A fraction of a gateway's quota share is leased to the other gateways while it is
/// absent, or cannot show that the others still count it as present. All shares together never exceed the quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaLease {
    /// Fraction of each quota share that may be leased, 0 to 1.
    pub fraction: f64,
    /// Until this time this gateway uses its complete share and a part of the shares of `absent_gateways`.
    pub valid_until: Micros,
    /// Numbers of the gateways whose shares are distributed among the others.
    pub absent_gateways: Vec<u32>,
}
