//! The names of the figures in an endpoint's load report.

use crate::decision::LoadReport;

/// Puts a figure of a load report in its place. Figures that mean nothing here, or make no sense, are passed over.
pub(crate) fn set_load_figure(report: &mut LoadReport, name: &str, value: f64) {
    let figure = match name {
        "concurrent" => &mut report.in_flight,
        "depth" => &mut report.queued,
        "load_share" => &mut report.busy_fraction,
        _ => return,
    };
    *figure = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
}
