//! `deploy/balancer.toml` names the files of the decision module for the platform: a file that is renamed or added and not
//! listed would be left out of what is measured.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISION_MODULE: &str = "src/decision";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// The files listed under `key` of the deploy file.
fn listed(key: &str) -> BTreeSet<PathBuf> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("a deploy file");
    let document: toml::Table = text.parse().expect("valid TOML");
    let paths = document[key].as_array().expect("a list");
    paths.iter().map(|path| PathBuf::from(path.as_str().expect("a path"))).collect()
}

/// All Rust files below a folder, relative to the root.
fn sources_below(folder: &Path) -> BTreeSet<PathBuf> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir(root().join(folder)).expect("a folder") {
        let name = entry.expect("an entry").file_name();
        let path = folder.join(name);
        if root().join(&path).is_dir() {
            found.extend(sources_below(&path));
        } else {
            found.insert(path);
        }
    }
    found
}

#[test]
fn lists_each_file_of_the_decision_module() {
    assert_eq!(listed("policy"), sources_below(Path::new(DECISION_MODULE)));
}

#[test]
fn names_only_paths_of_the_gateway_that_exist() {
    for path in listed("node") {
        assert!(root().join(&path).exists(), "{}", path.display());
    }
}
