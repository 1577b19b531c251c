//! Voters in separate processes, founded from seeds: table versions, lost and wiped voters, SIGHUP.

use crate::workdir::{ServedDaemon, WorkDir, free_address, stdout};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Attempts, 20 ms apart, before a wait fails.
const MAX_POLLS: usize = 1_500;

/// Voters on separate loopback addresses, all on the same ports.
struct SeededFleet {
    work: WorkDir,
    network: u8,
    control: u16,
    operators: u16,
    running: Vec<(u8, ServedDaemon)>,
}

impl SeededFleet {
    /// Founds a fleet of three in the network 127.0.`network`.
    fn found(network: u8) -> Self {
        let (control, operators) = (free_address().port(), free_address().port());
        let work = WorkDir::new();
        // Fleets without a key file accept any caller that presents the word `open`.
        work.write("fleet.key", "open");
        let mut fleet = SeededFleet { work, network, control, operators, running: Vec::new() };
        (1..=3).for_each(|host| fleet.start(host, true));
        fleet
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, self.network, host], port))
    }

    fn start(&mut self, host: u8, founds: bool) {
        let control = self.address(host, self.control);
        let seeds: Vec<String> =
            (1..=3).map(|seed| self.address(seed, self.operators).to_string()).collect();
        let settings = json!({
            "daemon": control.ip().to_string(), "data_centre": "hall-a", "control": control.to_string(),
            "data_folder": format!("data-{host}"), "found_fleet": founds, "seeds": seeds,
            "when_cut_off": "serve", "traffic_threads": 1,
            "platform": {"operators": self.address(host, self.operators).to_string()},
        });
        self.work.write(&format!("voter-{host}.json"), &settings.to_string());
        let process = self.work.serve(&self.work.path(&format!("voter-{host}.json")));
        self.running.push((host, process));
    }

    fn kill(&mut self, host: u8) {
        self.running.retain(|(known, _)| *known != host);
    }

    fn signal(&self, host: u8, signal: &str) {
        let process = self.running.iter().find(|(known, _)| *known == host);
        process.expect("the voter is running").1.signal(signal);
    }

    fn is_running(&self, host: u8) -> bool {
        self.call(host, "GET", "/-/config/read", "").is_some()
    }

    /// Sends an operator's request; `None` if there is no answer.
    fn call(&self, host: u8, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.address(host, self.operators)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        Some((status, body.to_owned()))
    }

    /// Sends a table until a voter accepts or rejects it; returns the status.
    fn replace(&self, version: u64) -> u16 {
        let document = document(version);
        self.wait_for("an acknowledgement", || {
            let hosts: Vec<u8> = self.running.iter().map(|(host, _)| *host).collect();
            let calls = hosts
                .iter()
                .filter_map(|host| self.call(*host, "POST", "/-/config/replace", &document));
            calls.map(|(status, _)| status).find(|status| matches!(status, 200 | 400))
        })
    }

    /// Reads the table version from a voter that can confirm it.
    fn read(&self) -> u64 {
        self.wait_for("a voter that can confirm its state", || {
            let hosts: Vec<u8> = self.running.iter().map(|(host, _)| *host).collect();
            let mut calls =
                hosts.iter().filter_map(|host| self.call(*host, "GET", "/-/config/read", ""));
            let (_, body) = calls.find(|(status, _)| *status == 200)?;
            serde_json::from_str::<Value>(&body).ok()?["version"].as_u64()
        })
    }

    fn voters(&self) -> Vec<String> {
        let host = self.running[0].0;
        let control = self.address(host, self.control);
        let output = self.work.operate(control, &["voter", "list", "--json"]);
        let rows: Value = serde_json::from_str(&stdout(&output)).unwrap_or_default();
        let rows = rows.as_array().cloned().unwrap_or_default();
        let voting = rows.iter().filter(|row| row["votes"] == true);
        voting.filter_map(|row| row["voter"].as_str().map(str::to_owned)).collect()
    }

    fn wait_for<T>(&self, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        for _ in 0..MAX_POLLS {
            if let Some(found) = poll() {
                return found;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("timed out waiting for {what}; logs in {}", self.work.path("").display());
    }

    /// Waits until the voters are exactly those on `hosts`.
    fn wait_for_voters(&self, hosts: &[u8]) {
        let expected: Vec<String> =
            hosts.iter().map(|host| format!("127.0.{}.{host}~", self.network)).collect();
        self.wait_for("the voters", || {
            let voters = self.voters();
            let is_voter = |prefix: &String| voters.iter().any(|voter| voter.starts_with(prefix));
            (voters.len() == hosts.len() && expected.iter().all(is_voter)).then_some(())
        });
    }
}

fn document(version: u64) -> String {
    let route = json!({"name": "r", "host": "h", "path_prefix": "/r/", "kind": "safe", "timeout_ms": 1000,
                       "latency_slo_ms": 100, "priority": 0, "service": "s", "max_attempts": 1});
    json!({"version": version, "routes": [route], "services": [{"name": "s"}]}).to_string()
}

/// Guards against a fleet that cannot be founded and against losing an accepted table with a voter.
/// Three voters start with the same seeds and accept a table; one is lost for good and an empty one
/// joins at another address; then a second of the first three is lost. This happens if one chosen
/// voter has to found the fleet, or if lost voters stay in the quorum until an operator acts.
#[test]
fn a_lost_voter_is_replaced_without_an_operator() {
    let mut fleet = SeededFleet::found(11);
    assert_eq!(fleet.replace(3), 200);

    fleet.kill(3);
    fleet.start(4, false);
    fleet.wait_for_voters(&[1, 2, 4]);
    fleet.kill(1);
    let retained = fleet.read();
    let acknowledged = fleet.replace(8);

    assert_eq!((retained, acknowledged, fleet.read()), (3, 200, 8));
}

/// Guards against a set of four that keeps a voter which was stopped for good, so that the next lost
/// disk leaves no quorum.
#[test]
fn a_voter_that_stops_leaves_a_set_of_four_before_it_ends() {
    let mut fleet = SeededFleet::found(17);
    assert_eq!(fleet.replace(3), 200);
    fleet.start(4, false);
    fleet.wait_for_voters(&[1, 2, 3, 4]);

    fleet.signal(3, "-TERM");
    fleet.wait_for("the end of the process", || (!fleet.is_running(3)).then_some(()));
    fleet.kill(3);
    fleet.kill(1);
    std::fs::remove_dir_all(fleet.work.path("data-1")).expect("the data folder is removed");
    fleet.start(1, false);

    assert_eq!(fleet.read(), 3);
    fleet.wait_for_voters(&[1, 2, 4]);
    assert_eq!(fleet.replace(5), 200);
}

/// Guards against losing an accepted table and against a second fleet. A voter loses its disk and
/// restarts at its address; then another one is killed. This happens if the empty voter votes under
/// its old identity or founds a new fleet.
#[test]
fn a_wiped_voter_comes_back_under_a_new_identity() {
    let mut fleet = SeededFleet::found(12);
    assert_eq!(fleet.replace(5), 200);

    fleet.kill(2);
    std::fs::remove_dir_all(fleet.work.path("data-2")).expect("the data folder is removed");
    fleet.start(2, false);
    fleet.wait_for("a new identity", || {
        let voters = fleet.voters();
        let is_new =
            |voter: &&String| voter.starts_with("127.0.12.2~") && !voter.ends_with("~00000000");
        (voters.len() == 3 && voters.iter().any(|voter| is_new(&voter))).then_some(())
    });
    fleet.kill(3);

    assert_eq!(fleet.read(), 5);
    assert_eq!(fleet.replace(6), 200);
}

/// Guards against an acknowledged table reverting to an older one when every process is killed at
/// once and restarted. This happens if it is acknowledged before a quorum has stored it.
#[test]
fn a_table_outlives_the_death_of_all_voters() {
    let mut fleet = SeededFleet::found(13);
    assert_eq!(fleet.replace(2), 200);
    assert_eq!(fleet.replace(9), 200);

    (1..=3).for_each(|host| fleet.kill(host));
    (1..=3).for_each(|host| fleet.start(host, false));

    assert_eq!(fleet.read(), 9);
    assert_eq!(fleet.replace(4), 200, "an older version is acknowledged and changes nothing");
    assert_eq!(fleet.read(), 9);
}

/// Guards against a daemon exiting when its settings change: SIGHUP, invalid settings, SIGHUP. This
/// happens if the signal keeps its default action, or if invalid settings are treated as fatal.
#[test]
fn settings_are_read_again_and_faults_leave_the_last_ones() {
    let fleet = SeededFleet::found(14);
    assert_eq!(fleet.replace(2), 200);

    fleet.signal(1, "-HUP");
    fleet.wait_for("the reloaded settings", || log_has(&fleet, "settings read again"));
    fleet.work.write("voter-1.json", "{\"daemon\": 7}");
    fleet.signal(1, "-HUP");
    fleet.wait_for("the settings faults in the log", || log_has(&fleet, "settings have faults"));

    assert!(fleet.is_running(1));
    assert_eq!(fleet.read(), 2);
}

fn log_has(fleet: &SeededFleet, text: &str) -> Option<()> {
    let log = std::fs::read_to_string(fleet.work.path("voter-1.log")).ok()?;
    log.contains(text).then_some(())
}

#[test]
fn a_bad_table_is_refused_with_its_place_and_changes_nothing() {
    let fleet = SeededFleet::found(15);
    assert_eq!(fleet.replace(2), 200);
    let bad = document(7).replace("\"service\":\"s\"", "\"service\":\"nobody\"");

    let (status, body) =
        fleet.wait_for("an answer", || fleet.call(1, "POST", "/-/config/replace", &bad));

    assert_eq!(status, 400);
    assert!(body.contains("/routes/0/targets"), "{body}");
    assert_eq!(fleet.read(), 2);
}

/// Guards against accepting an invalid roll-out order, or refusing it without naming the reason.
#[test]
fn roll_outs_are_ordered_and_read_back_and_bad_orders_name_their_field() {
    let mut fleet = SeededFleet::found(16);
    assert_eq!(fleet.replace(2), 200);
    let order = |text: &str| {
        fleet.wait_for("an answer", || {
            let hosts = fleet.running.iter().map(|(host, _)| *host);
            let calls =
                hosts.filter_map(|host| fleet.call(host, "POST", "/-/rollouts/begin", text));
            calls.into_iter().find(|(status, _)| !matches!(status, 307 | 503))
        })
    };
    let bad = [
        (r#"{"to":"v2","duration_s":12}"#, "/service"),
        (r#"{"service":"nobody","to":"v2","duration_s":12}"#, "/service"),
        (r#"{"service":"s","to":7,"duration_s":12}"#, "/to"),
        (r#"{"service":"s","to":"v2"}"#, "/duration_s"),
        (r#"{"service":"s","to":"v2","duration_s":0}"#, "/duration_s"),
        (r#"{"service":"s","to":"v2","duration_s":-3}"#, "/duration_s"),
        (r#"{"service":"s","to":"v2","duration_s":1e300}"#, "/duration_s"),
        (r#"{"service":"s","to":"v2","dur"#, "a JSON object"),
    ];

    let refused: Vec<(u16, String)> = bad.iter().map(|(text, _)| order(text)).collect();
    let good = r#"{"service":"s","to":"v2","duration_s":600}"#;
    let (accepted, resent) = (order(good).0, order(good).0);
    let (busy, _) = order(r#"{"service":"s","to":"v3","duration_s":600}"#);
    fleet.kill(1);
    fleet.start(1, true);
    let read = |service: &str| {
        let path = format!("/-/rollouts/{service}/read");
        fleet.wait_for("a voter that can confirm its state", || {
            let hosts = fleet.running.iter().map(|(host, _)| *host);
            let calls = hosts.filter_map(|host| fleet.call(host, "GET", &path, ""));
            calls.into_iter().find(|(status, _)| !matches!(status, 307 | 503))
        })
    };

    for ((status, body), (text, field)) in refused.iter().zip(bad) {
        assert_eq!(*status, 400, "{text}: {body}");
        assert!(body.contains(field), "{text}: {body}");
    }
    assert_eq!((accepted, resent, busy), (200, 200, 409));
    let (status, body) = read("s");
    let state: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!((status, state), (200, json!({"state": "running", "to": "v2"})));
    assert_eq!(read("other").0, 404);
}
