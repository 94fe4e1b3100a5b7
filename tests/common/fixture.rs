//! Access to the recorded files in `tests/fixtures`, which an earlier build wrote.

use std::path::{Path, PathBuf};

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Returns the text of a fixture.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Compares a text with a fixture. A missing fixture is written if `WRITE_FIXTURES` is set; an existing one is never
/// overwritten.
pub fn assert_same(name: &str, found: &str) {
    if std::env::var_os("WRITE_FIXTURES").is_some() && !path(name).exists() {
        std::fs::write(path(name), found).expect("a folder to write to");
    }
    assert_eq!(found, text(name), "{name}");
}
