//! Every test that `docs/PROOFS.md` names exists.

use std::path::{Path, PathBuf};

/// Shorter words in code marks are not names of tests.
const SHORTEST_NAME: usize = 18;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn every_named_test_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join("crates")).unwrap() {
        let tests = entry.unwrap().path().join("tests");
        if tests.is_dir() {
            sources(&tests, &mut files);
        }
    }
    sources(&root.join("platform/tests"), &mut files);
    let code: String = files.iter().map(|f| std::fs::read_to_string(f).unwrap()).collect();
    let is_name = |word: &&str| {
        word.len() >= SHORTEST_NAME && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
    };
    let names: Vec<&str> = page.split('`').filter(is_name).collect();
    assert!(names.len() > 40, "only {} names were found", names.len());
    for name in names {
        assert!(code.contains(&format!("fn {name}(")), "no test {name}");
    }
}
