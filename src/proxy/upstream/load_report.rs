//! Parses the load report that a backend sends in a response header: `X-Load-Report: TEXT name=number, name=number`.

use crate::decision::LoadReport;
use crate::site_settings::set_load_figure;
use hyper::header::{HeaderMap, HeaderName};

const LOAD_REPORT: HeaderName = HeaderName::from_static("x-load-report");

/// A load report, as far as it could be parsed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ParsedLoadReport {
    /// Figures that could be parsed.
    pub report: LoadReport,
    /// Whether part of the report was invalid and was ignored.
    pub malformed: bool,
}

/// Parses the load report in a response's headers and ignores its invalid parts. Returns an empty report if there is no
/// such header.
pub fn parse(headers: &HeaderMap) -> ParsedLoadReport {
    let mut parsed = ParsedLoadReport::default();
    let Some(header) = headers.get(LOAD_REPORT) else { return parsed };
    let Some(text) = header.to_str().ok().and_then(|text| text.strip_prefix("TEXT ")) else {
        parsed.malformed = true;
        return parsed;
    };
    for pair in text.split(',') {
        match pair.trim().split_once('=').map(|(name, value)| (name, value.parse::<f64>())) {
            Some((name, Ok(value))) if value.is_finite() && value >= 0.0 => {
                set_load_figure(&mut parsed.report, name, value);
            }
            _ => parsed.malformed = true,
        }
    }
    parsed
}
