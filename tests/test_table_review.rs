//! The review of a table before it is sent: entries that can never apply, contradictions, changes.

use crate::workdir::{WorkDir, stderr, stdout};
use rstest::rstest;
use serde_json::{Value, json};
use tarragonknot::table::{OperatorTable, WarningKind, read_table, review_table};

/// A table about which there is nothing to say.
fn sound_table() -> Value {
    json!({
        "tiers": [{"tier": "gold", "rank": 0, "weight": 4}, {"tier": "free", "rank": 1, "weight": 1}],
        "organisations": [{"organisation": "acme", "key_digests": ["0".repeat(64)], "weight": 1,
            "tokens_per_second": 1_000, "burst_tokens": 5_000, "regions": ["north"]}],
        "services": [{"service": "llm", "kind": "model", "default_tier": "gold", "deadline_ms": 60_000}],
        "assignments": [{"organisation": "acme", "service": "llm", "tier": "free"}],
        "routes": [{"route": "r", "host": "h", "path_prefix": "/a/", "kind": "stream", "timeout_ms": 9_000,
            "objective_ms": 800, "gap_ms": 400, "patience_ms": 3_200, "tier": "gold", "attempts": 1,
            "regions": ["north"], "targets": [{"service": "llm", "weight": 1}]}]
    })
}

fn parsed(value: &Value) -> OperatorTable {
    read_table(&value.to_string()).expect("a table without faults")
}

/// Places and kinds of the warnings about a table.
fn warnings(value: &Value) -> Vec<(String, WarningKind)> {
    review_table(&parsed(value)).into_iter().map(|it| (it.path, it.kind)).collect()
}

/// Guards against warnings about tables that are fine, which operators would learn to ignore.
#[test]
fn a_sound_table_has_no_warnings() {
    assert_eq!(warnings(&sound_table()), []);
}

/// Guards against entries without effect, or against each other, that are sent unnoticed.
#[rstest]
#[case::shadowed_assignment("/assignments", json!([{"tier": "free"}, {"organisation": "acme", "tier": "gold"}]),
    "/assignments/1", WarningKind::Unused)]
#[case::unused_tier("/assignments", json!([]), "/tiers/1", WarningKind::Unused)]
#[case::no_key("/organisations/0/key_digests", json!([]), "/organisations/0/key_digests", WarningKind::Unused)]
#[case::burst_without_rate(
    "/organisations/0/tokens_per_second",
    Value::Null,
    "/organisations/0/burst_tokens",
    WarningKind::Unused
)]
#[case::costly_unstated_size("/organisations/0/uncounted_tokens", json!(6_000), "/organisations/0/uncounted_tokens",
    WarningKind::Contradiction)]
#[case::objective_after_timeout("/routes/0/timeout_ms", json!(700), "/routes/0/objective_ms",
    WarningKind::Contradiction)]
#[case::impatient_callers("/routes/0/patience_ms", json!(500), "/routes/0/patience_ms", WarningKind::Contradiction)]
#[case::pause_of_a_plain_answer("/routes/0/kind", json!("safe"), "/routes/0/gap_ms", WarningKind::Unused)]
#[case::prefix_without_slash("/routes/0/path_prefix", json!("/a"), "/routes/0", WarningKind::Unused)]
#[case::other_regions("/routes/0/regions", json!(["south"]), "/routes/0/regions", WarningKind::Contradiction)]
#[case::slow_first_token("/services/0/first_token_ms", json!(70_000), "/services/0/first_token_ms",
    WarningKind::Contradiction)]
#[case::cold_start_without_rate("/services/0/cold_start_ms", json!(5_000), "/services/0/cold_start_ms",
    WarningKind::Unused)]
fn one_changed_entry_gives_one_warning(
    #[case] place: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] kind: WarningKind,
) {
    let mut table = sound_table();
    let (parent, member) = place.rsplit_once('/').expect("a place has a parent");
    let parent = match parent {
        "" => &mut table,
        parent => table.pointer_mut(parent).expect("the parent exists"),
    };
    parent[member] = value;

    assert_eq!(warnings(&table), [(path.to_owned(), kind)]);
}

/// Guards against a service or a target that gets no requests, for example after a move of routes.
#[test]
fn a_service_without_a_route_is_named() {
    let mut table = sound_table();
    let mut second = table["services"][0].clone();
    second["service"] = json!("old");
    table["services"].as_array_mut().expect("rows").push(second);
    let targets = table["routes"][0]["targets"].as_array_mut().expect("rows");
    targets.push(json!({"service": "old", "weight": 0}));

    let places: Vec<String> = warnings(&table).into_iter().map(|(path, _)| path).collect();

    assert_eq!(places, ["/services/1", "/routes/0/targets/1"]);
}

/// Guards against a review that hides what an edit changes.
#[test]
fn the_command_prints_warnings_and_changes() {
    let work = WorkDir::new();
    let before = json!({"version": 7, "hash": "x", "table": sound_table()});
    let mut after = sound_table();
    after["routes"][0]["timeout_ms"] = json!(700);
    let in_force = work.write("in-force.json", &before.to_string());
    let edited = work.write("edited.json", &after.to_string());

    let output = work.run(&[
        "check",
        edited.to_str().expect("a path"),
        "--against",
        in_force.to_str().expect("a path"),
    ]);

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let text = stdout(&output);
    let lines: Vec<&str> = text.lines().skip(1).collect();
    assert_eq!(
        lines,
        [
            "/routes/0/objective_ms: contradicts itself: the objective is later than the timeout of the route",
            "~ routes/0/timeout_ms: 9000 -> 700",
        ]
    );
}

/// Guards against a configuration of the platform that can only be reviewed once it is in force.
#[test]
fn a_platform_configuration_is_reviewed_too() {
    let work = WorkDir::new();
    let document = json!({
        "version": 3,
        "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "kind": "safe", "timeout_ms": 100,
            "latency_slo_ms": 120, "service": "app"}],
        "services": [{"name": "app", "health_path": "/healthz"}, {"name": "idle"}],
        "tenants": [{"name": "acme", "api_keys": ["k"]}]
    });
    let path = work.write("configuration.json", &document.to_string());

    let output = work.run(&["check", "--platform", "--review", path.to_str().expect("a path")]);

    let text = stdout(&output);
    assert!(text.contains("/services/1: has no effect"), "{text}");
    assert!(text.contains("/routes/0/objective_ms: contradicts itself"), "{text}");
}
