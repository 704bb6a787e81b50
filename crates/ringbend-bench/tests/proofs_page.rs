//! Checks that every test named in `docs/PROOFS.md` exists.

use std::path::{Path, PathBuf};

/// Shorter words in backticks are not taken for test names.
const SHORTEST_NAME: usize = 18;

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
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
            collect_sources(&tests, &mut files);
        }
    }
    collect_sources(&root.join("platform/tests"), &mut files);
    let code: String = files.iter().map(|f| std::fs::read_to_string(f).unwrap()).collect();
    let is_name = |word: &&str| {
        word.len() >= SHORTEST_NAME && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
    };
    let names: Vec<&str> = page.split('`').filter(is_name).collect();
    assert!(names.len() > 40, "docs/PROOFS.md names only {} tests", names.len());
    for name in names {
        assert!(
            code.contains(&format!("fn {name}(")),
            "docs/PROOFS.md names {name}, which is not a test"
        );
    }
}
