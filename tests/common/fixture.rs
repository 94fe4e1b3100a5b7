//! Files of `tests/fixtures` that an earlier build wrote.

use std::path::{Path, PathBuf};

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The text of a file.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Compares with a file. Makes it where it is missing and `WRITE_FIXTURES` is set; one that is there stays.
pub fn assert_same(name: &str, found: &str) {
    if std::env::var_os("WRITE_FIXTURES").is_some() && !path(name).exists() {
        std::fs::write(path(name), found).expect("a folder to write to");
    }
    assert_eq!(found, text(name), "{name}");
}
