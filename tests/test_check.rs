//! The `check` command: reports all faults at once, each with its location.

use crate::workdir::{WorkDir, stderr, stdout};
use std::path::Path;

#[test]
fn every_example_is_good() {
    let work = WorkDir::new();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let mut files: Vec<String> = std::fs::read_dir(folder)
        .expect("the examples")
        .map(|entry| entry.expect("a file").path().to_string_lossy().into_owned())
        .filter(|path| path.ends_with(".json"))
        .collect();
    files.sort();
    let args: Vec<&str> =
        std::iter::once("check").chain(files.iter().map(String::as_str)).collect();

    let output = work.run(&args);

    assert!(files.len() >= 4, "{files:?}");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output).lines().count(), files.len());
}

#[test]
fn every_fault_of_a_table_is_named_at_once() {
    let work = WorkDir::new();
    let path = work.write(
        "table.json",
        r#"{
        "tiers": [{"tier": "gold", "rank": 0, "weight": 0}, {"tier": "gold", "rank": 99, "weight": 1, "wieght": 2}],
        "organisations": [{"organisation": "Bad Name", "key_digests": ["xyz"], "weight": 1}],
        "services": [{"service": "llm", "kind": "modle", "default_tier": "silver", "deadline_ms": "soon"}]
    }"#,
    );

    let output = work.run(&["check", path.to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output).replace(path.to_str().unwrap(), "table.json"));
}

#[test]
fn faults_of_meaning_are_named_at_once() {
    let work = WorkDir::new();
    let path = work.write(
        "table.json",
        r#"{
        "tiers": [{"tier": "gold", "rank": 0, "weight": 1}, {"tier": "gold", "rank": 0, "weight": 1}],
        "organisations": [],
        "services": [{"service": "llm", "kind": "model", "default_tier": "silver", "deadline_ms": 10,
            "organisations": ["nobody"], "idempotent_methods": ["get"]}],
        "assignments": [{"service": "other", "tier": "bronze", "organisation": "nobody"}],
        "upstreams": [{"upstream": "e", "service": "other", "address": "127.0.0.1:1", "data_centre": "hall-a"}]
    }"#,
    );

    let output = work.run(&["check", path.to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output).replace(path.to_str().unwrap(), "table.json"));
}

#[test]
fn every_fault_of_settings_is_named_at_once() {
    let work = WorkDir::new();
    let path = work.write(
        "settings.json",
        r#"{"daemon": "entry-1", "data_centre": "hall-a", "callers": "127.0.0.1:80", "control": "127.0.0.1:80",
        "fleet_key_file": "k", "found_fleet": true, "peers": [{"daemon": "entry-1", "control": "127.0.0.1:1"}]}"#,
    );

    let output = work.run(&["check", path.to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output).replace(path.to_str().unwrap(), "settings.json"));
}

#[rstest::rstest]
#[case::not_json("{\"tiers\": [}", "line 1, column 12")]
#[case::empty("", "line 1, column 0")]
fn unreadable_files_name_the_place(#[case] text: &str, #[case] place: &str) {
    let work = WorkDir::new();
    let path = work.write("table.json", text);

    let output = work.run(&["check", path.to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains(place), "{}", stderr(&output));
}
