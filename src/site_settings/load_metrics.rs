//! Names of the metrics in an endpoint's load report.

use crate::decision::LoadReport;

/// Sets the field of a load report that a metric belongs to. An unknown name is ignored, and a value that is
/// negative or not finite clears the field.
pub(crate) fn set_load_metric(report: &mut LoadReport, name: &str, value: f64) {
    let metric = match name {
        "concurrent" => &mut report.in_flight,
        "depth" => &mut report.queued,
        "load_share" => &mut report.busy_fraction,
        _ => return,
    };
    *metric = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
}
