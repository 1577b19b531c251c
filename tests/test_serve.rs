//! `serve`, `table`, `status`, `voter`, `drain` and `completion`: operator commands against one
//! daemon in a process of its own.

use crate::fixtures::small_table;
use crate::workdir::{ServedDaemon, WorkDir, free_address, stderr, stdout};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// One daemon with an embedded voter.
struct SingleDaemon {
    work: WorkDir,
    control: SocketAddr,
    daemon: ServedDaemon,
}

fn single_daemon() -> SingleDaemon {
    let work = WorkDir::new();
    let control = free_address();
    let settings = json!({
        "daemon": "entry-1", "data_centre": "hall-a", "callers": free_address().to_string(), "control": control.to_string(),
        "data_folder": "data", "fleet_key_file": "fleet.key", "found_fleet": true, "balancer_wait_ms": 10,
    });
    let path = work.write("entry-1.json", &settings.to_string());
    let daemon = work.serve(&path);
    SingleDaemon { work, control, daemon }
}

impl SingleDaemon {
    fn operate(&self, args: &[&str]) -> std::process::Output {
        self.work.operate(self.control, args)
    }

    fn show_table(&self) -> Value {
        let output = self.operate(&["table", "show", "--json"]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        serde_json::from_str(&stdout(&output)).expect("the output is JSON")
    }

    /// Writes `table` to a file as an edit of the table in force; returns its path.
    fn edit(&self, name: &str, table: Value) -> String {
        let mut versioned = self.show_table();
        versioned["table"] = table;
        self.work.write(name, &versioned.to_string()).to_string_lossy().into_owned()
    }
}

#[test]
fn an_edit_is_shown_recorded_and_compared() {
    let single = single_daemon();
    let table = serde_json::to_value(small_table()).unwrap();
    let first = single.edit("first.json", table.clone());

    let applied = single.operate(&["table", "apply", &first, "--operator", "ann"]);
    let mut changed = table;
    changed["tiers"][1]["weight"] = json!(2);
    let second = single.edit("second.json", changed);
    let difference = single.operate(&["table", "diff", &second]);
    let applied_again = single.operate(&["table", "apply", &second, "--operator", "bob"]);
    let history: Value =
        serde_json::from_str(&stdout(&single.operate(&["table", "history", "--json"]))).unwrap();
    let versions = single.operate(&["table", "diff", "1", "2"]);

    assert!(
        stdout(&applied).starts_with("version 1: in force on every live daemon"),
        "{}",
        stdout(&applied)
    );
    assert!(
        stdout(&applied_again).starts_with("version 2: in force"),
        "{}{}",
        stdout(&applied_again),
        stderr(&applied_again)
    );
    assert_eq!(stdout(&difference), "~ tiers/idle/weight: 1 -> 2\n");
    assert_eq!(stdout(&versions), "~ tiers/idle/weight: 1 -> 2\n");
    let operators: Vec<&str> =
        history.as_array().unwrap().iter().map(|row| row["operator"].as_str().unwrap()).collect();
    assert_eq!(operators, ["bob", "ann"]);
    assert!(stdout(&single.operate(&["table", "show"])).contains("tiers"));
}

/// Guards against one operator silently overwriting another's edit. Both read the same version and
/// apply their edits; the last write must not win. The second edit is refused with the winner and
/// the difference, and a resend of either gets its first outcome.
#[test]
fn racing_operators_get_one_winner_and_resends_get_the_first_outcome() {
    let single = single_daemon();
    let table = serde_json::to_value(small_table()).unwrap();
    let mut other = table.clone();
    other["tiers"][0]["weight"] = json!(9);
    let ours = single.edit("ours.json", table);
    let theirs = single.edit("theirs.json", other);

    let won =
        single.operate(&["table", "apply", &ours, "--edit-id", "edit-a", "--operator", "ann"]);
    let lost = single.operate(&["table", "apply", &theirs, "--edit-id", "edit-b"]);
    let won_again = single.operate(&["table", "apply", &ours, "--edit-id", "edit-a"]);
    let lost_again = single.operate(&["table", "apply", &theirs, "--edit-id", "edit-b"]);

    assert_eq!(won.status.code(), Some(0), "{}", stderr(&won));
    assert_eq!(lost.status.code(), Some(3));
    assert!(
        stderr(&lost).contains("version 1 by ann (edit edit-a) came first"),
        "{}",
        stderr(&lost)
    );
    assert!(stderr(&lost).contains("tiers/urgent/weight: 3 -> 9"), "{}", stderr(&lost));
    assert_eq!(stdout(&won_again), stdout(&won));
    assert_eq!(stderr(&lost_again), stderr(&lost));
    assert_eq!(single.show_table()["version"], 1);
}

#[test]
fn status_and_voters_are_shown() {
    let single = single_daemon();
    single.show_table();

    let status: Value =
        serde_json::from_str(&stdout(&single.operate(&["status", "--json"]))).unwrap();
    let voters: Value =
        serde_json::from_str(&stdout(&single.operate(&["voter", "list", "--json"]))).unwrap();

    assert_eq!(status[0]["status"]["daemon"], "entry-1");
    assert_eq!(status[0]["status"]["role"], "leader");
    assert_eq!(voters[0]["votes"], true);
    assert!(stdout(&single.operate(&["status"])).contains("leader"));
}

#[test]
fn a_wrong_key_is_refused_and_never_logged() {
    let single = single_daemon();
    single.show_table();
    let wrong = single.work.write("wrong.key", "a-guess");

    let output = single.work.run(&[
        "table",
        "show",
        "--control",
        &single.control.to_string(),
        "--fleet-key-file",
        wrong.to_str().unwrap(),
    ]);

    assert_eq!(output.status.code(), Some(4));
    assert!(stderr(&output).contains("the fleet key is not accepted"), "{}", stderr(&output));
    let log = single.work.read("entry-1.log");
    assert!(!log.contains("a-fleet-key") && !log.contains("a-guess"));
}

#[test]
fn a_bad_table_is_not_sent() {
    let single = single_daemon();
    let bad = single.edit(
        "bad.json",
        json!({"tiers": [], "organisations": [], "services": [], "upstreems": []}),
    );

    let output = single.operate(&["table", "apply", &bad]);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("expected no member named upstreems"), "{}", stderr(&output));
    assert_eq!(single.show_table()["version"], 0);
}

#[test]
fn a_drain_by_an_operator_ends_the_daemon() {
    let single = single_daemon();
    single.show_table();

    let output = single.operate(&["drain"]);
    let SingleDaemon { daemon, work, .. } = single;

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(daemon.wait());
    assert!(
        work.read("entry-1.log").lines().all(|line| serde_json::from_str::<Value>(line).is_ok())
    );
}

#[test]
fn a_second_process_over_one_folder_is_refused() {
    let single = single_daemon();
    single.show_table();
    let mut settings: Value = serde_json::from_str(&single.work.read("entry-1.json")).unwrap();
    settings["callers"] = json!(free_address().to_string());
    settings["control"] = json!(free_address().to_string());
    single.work.write("twin.json", &settings.to_string());

    let output = single.work.run(&["serve", "--settings", "twin.json"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("in use by another process"), "{}", stderr(&output));
}

#[test]
fn completion_scripts_name_the_subcommands() {
    let work = WorkDir::new();

    let output = work.run(&["completion", "bash"]);

    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("tarragonknot"));
}
