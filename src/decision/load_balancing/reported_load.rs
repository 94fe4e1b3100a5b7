//! How many requests an endpoint is expected to hold, by what it reported.

use super::smoothing::{move_towards, SAMPLE_WEIGHT};
use crate::decision::time::Micros;

/// A report is trusted less by the factor e with each of these spans, in seconds.
const TRUST_SPAN_SECONDS: f64 = 1.0;

/// The requests that an endpoint reported in flight, from all gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) in_flight: f64,
    pub(crate) at: Micros,
}

/// The smoothed number of requests that an endpoint reports in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AverageLoad(f64);

impl AverageLoad {
    /// An endpoint reported its load.
    pub(crate) fn reported(&mut self, in_flight: f64) {
        move_towards(&mut self.0, in_flight, SAMPLE_WEIGHT);
    }

    /// The requests that an endpoint is expected to hold: as it last reported, and the closer to the average the
    /// longer ago that was.
    pub(crate) fn expected_at(self, report: Option<ReportedLoad>, now: Micros) -> f64 {
        let Some(report) = report else { return self.0 };
        let trust = (-(now - report.at).secs() / TRUST_SPAN_SECONDS).exp();
        self.0 + trust * (report.in_flight - self.0)
    }
}
