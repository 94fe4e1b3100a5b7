//! The load reports of backends.

use hyper::header::{HeaderMap, HeaderValue};
use quota_gateway::decision::LoadReport;
use quota_gateway::proxy::upstream::load_report::{parse, ParsedLoadReport};

fn read(text: &str) -> (LoadReport, bool) {
    let mut headers = HeaderMap::new();
    headers.insert("x-load-report", HeaderValue::from_str(text).expect("a header"));
    let ParsedLoadReport { report, malformed } = parse(&headers);
    (report, !malformed)
}

#[test]
fn a_load_report_is_read_as_far_as_it_makes_sense() {
    let whole = LoadReport { in_flight: Some(7.0), queued: Some(2.0), busy_fraction: Some(0.61) };
    assert_eq!(read("TEXT concurrent=7, depth=2, load_share=0.61, tps=3"), (whole, true));
    let busy = LoadReport { busy_fraction: Some(0.5), ..LoadReport::default() };
    assert_eq!(read("TEXT concurrent=NaN,depth=-1, load_share=0.5"), (busy, false));
    assert_eq!(read("TEXT concurrent=, =, ,load_share=0.5=,"), (LoadReport::default(), false));
    assert_eq!(read("BINARY concurrent=7"), (LoadReport::default(), false));
    assert_eq!(parse(&HeaderMap::new()), ParsedLoadReport::default(), "none is none");
}
