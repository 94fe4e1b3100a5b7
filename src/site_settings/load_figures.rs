//! Names of the figures in an endpoint's load report.

use crate::decision::LoadReport;

/// Sets the field of a load report that a figure belongs to. An unknown name is ignored, and a value that is
/// negative or not finite clears the field.
pub(crate) fn set_load_figure(report: &mut LoadReport, name: &str, value: f64) {
    let figure = match name {
        "concurrent" => &mut report.in_flight,
        "depth" => &mut report.queued,
        "load_share" => &mut report.busy_fraction,
        _ => return,
    };
    *figure = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
}
