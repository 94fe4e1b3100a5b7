//! Parsing of the load reports of backends.

use hyper::header::{HeaderMap, HeaderValue};
use quota_gateway::decision::LoadReport;
use quota_gateway::proxy::upstream::load_report::{parse, ParsedLoadReport};

fn parse_text(text: &str) -> (LoadReport, bool) {
    let mut headers = HeaderMap::new();
    headers.insert("x-load-report", HeaderValue::from_str(text).expect("a header"));
    let ParsedLoadReport { report, malformed } = parse(&headers);
    (report, !malformed)
}

#[test]
fn valid_fields_of_a_load_report_are_read_and_invalid_ones_skipped() {
    let complete = LoadReport { in_flight: Some(7.0), queued: Some(2.0), busy_fraction: Some(0.61) };
    assert_eq!(parse_text("TEXT concurrent=7, depth=2, load_share=0.61, tps=3"), (complete, true));
    let busy_only = LoadReport { busy_fraction: Some(0.5), ..LoadReport::default() };
    assert_eq!(parse_text("TEXT concurrent=NaN,depth=-1, load_share=0.5"), (busy_only, false));
    assert_eq!(parse_text("TEXT concurrent=, =, ,load_share=0.5=,"), (LoadReport::default(), false));
    assert_eq!(parse_text("BINARY concurrent=7"), (LoadReport::default(), false));
    assert_eq!(parse(&HeaderMap::new()), ParsedLoadReport::default(), "no header gives an empty report");
}
