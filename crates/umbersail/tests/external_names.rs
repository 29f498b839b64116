//! Guards against renamed external names: names that users, workers, peers, stored data and the
//! files of operators depend on must stay, whatever the identifiers in the code are.
//!
//! `external_names.txt` lists these names by source folder: fields and values of messages, keys
//! and fields of records, settings, properties, flags, environment variables, and fields of
//! scenario and report files. Removing a name from the list requires a migration plan for
//! clusters that run two builds at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const NAMES: &str = include_str!("external_names.txt");

/// Parses `external_names.txt`: a line `[folder]`, relative to `crates/`, then one name per line.
fn names_by_folder() -> BTreeMap<&'static str, Vec<&'static str>> {
    let mut folders: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut folder = None;
    for line in NAMES.lines().filter(|line| !line.is_empty()) {
        match line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            Some(name) => folder = Some(name),
            None => {
                let folder = folder.expect("a folder line precedes the first name");
                folders.entry(folder).or_default().push(line);
            }
        }
    }
    folders
}

/// Collects the Rust files below `folder`, except tests: a name that occurs only in a test is
/// no longer in use.
fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            if !path.ends_with("tests") {
                rust_files(&path, found);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.ends_with("tests.rs")
        {
            found.push(path);
        }
    }
}

/// Returns the lines of a file, except lines that are only a comment.
fn code_lines(text: &str) -> impl Iterator<Item = &str> {
    text.lines()
        .filter(|line| !line.trim_start().starts_with("//"))
}

/// Converts a name to the enum variant that `rename_all` serializes under this name.
fn variant(name: &str) -> String {
    name.split(['-', '_'])
        .map(|word| {
            let mut letters = word.chars();
            let first = letters.next().map(|c| c.to_ascii_uppercase());
            first.into_iter().chain(letters).collect::<String>()
        })
        .collect()
}

/// Whether the character may occur in an external name.
fn is_part_of_name(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.' | '/')
}

/// Returns every identifier and every text in the code of `folder` that may be a name.
fn words_of(folder: &str) -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    rust_files(&root.join(folder), &mut files);
    let mut words = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        for line in code_lines(&text) {
            words.extend(line.split(|c| !is_part_of_name(c)).map(str::to_owned));
            let identifiers = line.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
            words.extend(identifiers.map(str::to_owned));
        }
    }
    words
}

#[test]
fn every_external_name_is_in_the_code() {
    let mut missing = Vec::new();
    for (folder, names) in names_by_folder() {
        let words = words_of(folder);
        let absent = names
            .into_iter()
            .filter(|name| !words.contains(*name) && !words.contains(&variant(name)));
        missing.extend(absent.map(|name| format!("{folder}: {name}")));
    }
    assert!(missing.is_empty(), "missing from the code: {missing:#?}");
}
