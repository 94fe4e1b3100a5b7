//! Estimate of the requests in flight at an endpoint, from its load reports.

use super::smoothing::{update_average, SAMPLE_WEIGHT};
use crate::decision::time::Micros;

/// Time constant with which the weight of a report decays, in seconds.
const REPORT_DECAY_SECONDS: f64 = 1.0;

/// Number of requests that an endpoint reported in flight, from all gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) in_flight: f64,
    pub(crate) at: Micros,
}

/// Smoothed number of requests that endpoints report in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AverageLoad(f64);

impl AverageLoad {
    /// Adds the load that an endpoint reported.
    pub(crate) fn record(&mut self, in_flight: f64) {
        update_average(&mut self.0, in_flight, SAMPLE_WEIGHT);
    }

    /// Returns the expected number of requests in flight at an endpoint: its last report, which approaches
    /// the average with age.
    pub(crate) fn expected_at(self, report: Option<ReportedLoad>, now: Micros) -> f64 {
        let Some(report) = report else { return self.0 };
        let report_weight = (-(now - report.at).secs() / REPORT_DECAY_SECONDS).exp();
        self.0 + report_weight * (report.in_flight - self.0)
    }
}
