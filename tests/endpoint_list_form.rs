//! The JSON forms of discovery's list of backends. The files in `tests/fixtures/control` name values by their
//! keys in the list, so they don't depend on the names of the fields.

#[path = "common/fixture.rs"]
mod fixture;

use quota_gateway::decision::EndpointStatus;
use quota_gateway::proxy::control_plane::discovery::EndpointList;
use std::fmt::Write;

fn list_text(name: &str) -> String {
    fixture::text(&format!("control/{name}"))
}

fn phase(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::InService => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    }
}

fn describe(list: &EndpointList) -> String {
    let mut out = format!("revision = {}\ncomplete = {}\n", list.revision, list.complete);
    for endpoint in &list.endpoints {
        writeln!(
            out,
            "id = {:?}, host_port = {}, locality = {:?}, flavor = {:?}, cell = {}, phase = {}, size = {:?}, up_since_ms = {}",
            endpoint.name,
            endpoint.address,
            endpoint.zone,
            endpoint.release_label,
            endpoint.cell,
            phase(endpoint.status),
            endpoint.weight,
            endpoint.started_at_unix_ms,
        )
        .expect("writing to a string succeeds");
    }
    out
}

const LISTS: [&str; 6] = [
    "list_complete.json",
    "list_incremental.json",
    "list_no_news.json",
    "list_indented.json",
    "list_fewest_fields.json",
    "list_unknown_fields.json",
];

/// Parts of the complete list, each with an invalid replacement.
const INVALID_REPLACEMENTS: [(&str, &str); 14] = [
    ("\"revision\":7,", ""),
    ("\"revision\":7", "\"revision\":-7"),
    ("\"complete\":true", "\"complete\":\"yes\""),
    ("\"members\":[", "\"others\":["),
    ("\"id\":\"s-1\",", ""),
    ("\"id\":\"s-1\"", "\"id\":1"),
    ("\"host_port\":\"10.0.0.1:8001\"", "\"host_port\":\"s-1.example:8001\""),
    ("\"locality\":\"north\"", "\"locality\":null"),
    ("\"flavor\":\"v1\"", "\"flavor\":1"),
    ("\"cell\":3", "\"cell\":3.5"),
    ("\"phase\":\"ready\",", ""),
    ("\"phase\":\"ready\"", "\"phase\":\"Ready\""),
    ("\"size\":1.0", "\"size\":\"1\""),
    ("\"up_since_ms\":1700000000000", "\"up_since_ms\":-1"),
];

#[test]
fn every_field_of_a_list_is_parsed() {
    let mut out = String::new();
    for name in LISTS {
        let list: EndpointList = serde_json::from_str(&list_text(name)).expect(name);
        writeln!(out, "{name}\n{}", describe(&list)).expect("writing to a string succeeds");
    }
    fixture::assert_same("control/lists.read.txt", &out);
}

#[test]
fn list_is_serialized_to_the_bytes_that_it_was_parsed_from() {
    for name in ["list_complete.json", "list_incremental.json", "list_no_news.json"] {
        let text = list_text(name);
        let list: EndpointList = serde_json::from_str(&text).expect(name);
        assert_eq!(serde_json::to_string(&list).expect("a list in JSON") + "\n", text);
    }
}

#[test]
fn invalid_value_in_a_list_is_an_error_with_its_position() {
    let text = list_text("list_complete.json");
    let mut out = String::new();
    for (part, replacement) in INVALID_REPLACEMENTS {
        assert_eq!(text.matches(part).count(), 1, "{part}");
        let parsed = serde_json::from_str::<EndpointList>(&text.replacen(part, replacement, 1));
        let error = parsed.err().map_or_else(|| "accepted".to_string(), |error| error.to_string());
        writeln!(out, "{part}  ->  {replacement}\n    {error}").expect("writing to a string succeeds");
    }
    fixture::assert_same("control/lists.errors.txt", &out);
}
