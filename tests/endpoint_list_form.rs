//! Discovery's list of backends in all the forms that it comes in. The files are in `tests/fixtures/control`; they
//! name values by their keys in the list, so that they hold whatever the fields are called.

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

fn described(list: &EndpointList) -> String {
    let mut out = format!("revision = {}\ncomplete = {}\n", list.revision, list.complete);
    for member in &list.endpoints {
        writeln!(
            out,
            "id = {:?}, host_port = {}, locality = {:?}, flavor = {:?}, cell = {}, phase = {}, size = {:?}, up_since_ms = {}",
            member.name,
            member.address,
            member.zone,
            member.release_label,
            member.cell,
            phase(member.status),
            member.weight,
            member.started_at_unix_ms,
        )
        .expect("a text grows");
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

/// A part of the complete list, and what stands there in its place.
const WRONG: [(&str, &str); 14] = [
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
fn every_field_of_a_list_is_read() {
    let mut out = String::new();
    for name in LISTS {
        let list: EndpointList = serde_json::from_str(&list_text(name)).expect(name);
        writeln!(out, "{name}\n{}", described(&list)).expect("a text grows");
    }
    fixture::assert_same("control/lists.read.txt", &out);
}

#[test]
fn a_list_is_written_to_the_bytes_that_it_was_read_from() {
    for name in ["list_complete.json", "list_incremental.json", "list_no_news.json"] {
        let text = list_text(name);
        let list: EndpointList = serde_json::from_str(&text).expect(name);
        assert_eq!(serde_json::to_string(&list).expect("a text") + "\n", text);
    }
}

#[test]
fn a_wrong_value_of_a_list_is_an_error_with_its_place() {
    let text = list_text("list_complete.json");
    let mut out = String::new();
    for (part, wrong) in WRONG {
        assert_eq!(text.matches(part).count(), 1, "{part}");
        let read = serde_json::from_str::<EndpointList>(&text.replacen(part, wrong, 1));
        let error = read.err().map_or_else(|| "accepted".to_string(), |e| e.to_string());
        writeln!(out, "{part}  ->  {wrong}\n    {error}").expect("a text grows");
    }
    fixture::assert_same("control/lists.errors.txt", &out);
}
