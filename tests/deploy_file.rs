//! `deploy/balancer.toml` lists the files of the decision module for the platform. A file that is renamed or
//! added but not listed would be left out of what is measured.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISION_MODULE: &str = "src/decision";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the paths listed under `key` of the deploy file.
fn listed_paths(key: &str) -> BTreeSet<PathBuf> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("a deploy file");
    let document: toml::Table = text.parse().expect("valid TOML");
    let paths = document[key].as_array().expect("a list of paths");
    paths.iter().map(|path| PathBuf::from(path.as_str().expect("a path"))).collect()
}

/// Returns all files below a folder, relative to the root.
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
fn policy_lists_each_file_of_the_decision_module() {
    assert_eq!(listed_paths("policy"), sources_below(Path::new(DECISION_MODULE)));
}

#[test]
fn node_lists_only_paths_that_exist() {
    for path in listed_paths("node") {
        assert!(root().join(&path).exists(), "{}", path.display());
    }
}
