//! Measures a fleet of processes of this crate's binary: `cargo bench --bench fleet`. Prints one
//! line per figure, and the disk's sync time for comparison.

#[path = "../tests/workdir.rs"]
#[allow(dead_code, reason = "the bench uses only a part of the helper")]
mod workdir;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarragonknot::claim::{ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply};
use tarragonknot::control::{
    ClaimClient, ClaimClientSettings, ControlApiClient, EditOutcome, FleetKey, KnownVoters,
    LeaderAnswer, LeaderHint, TableEdit, connect,
};
use tarragonknot::standin::{EngineShape, start_engine};
use tarragonknot::table::{KeyDigest, OperatorTable, VersionedTable, read_table};
use workdir::{FleetDaemon, ServedDaemon, WorkDir};

const VOTERS: usize = 3;
const DAEMONS: usize = 7;
const IDLE_SECONDS: u64 = 10;
const EDIT_COUNT: u64 = 500;
const CLAIM_SECONDS: u64 = 4;
const CLAIMERS: usize = 256;
const WAITING_REQUESTS: usize = 4_000;
const FLEET_KEY: &str = "a-fleet-key";
const CALLER_KEY: &str = "a-caller-key";

struct BenchFleet {
    work: WorkDir,
    daemons: Vec<FleetDaemon>,
}

impl BenchFleet {
    fn start(voters: usize, count: usize) -> Self {
        let daemons = (1..=count).map(FleetDaemon::new).collect();
        let mut fleet = BenchFleet { work: WorkDir::new(), daemons };
        for number in 0..count {
            let daemon = &fleet.daemons[number];
            let mut settings = daemon.settings(&fleet.daemons[..voters]);
            if number < voters {
                daemon.add_data_folder(&mut settings, number == 0);
            }
            fleet.work.write(&format!("{}.json", daemon.name), &settings.to_string());
            fleet.restart(number);
        }
        fleet
    }

    fn restart(&mut self, number: usize) {
        self.daemons[number].start(&self.work);
    }

    fn kill(&mut self, number: usize) {
        self.daemons[number].process = None;
    }

    fn pid(&self, number: usize) -> u32 {
        self.daemons[number].process.as_ref().map_or(0, ServedDaemon::id)
    }

    async fn is_ready(&self, number: usize) -> bool {
        let url = format!("http://{}/readyz", self.daemons[number].callers);
        let request = http::Request::get(url)
            .body(http_body_util::Full::<bytes::Bytes>::default())
            .expect("a good request");
        client().request(request).await.is_ok_and(|response| response.status().is_success())
    }

    async fn leader(&self) -> usize {
        loop {
            for (number, daemon) in
                self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.process.is_some())
            {
                if let Ok(control) = connect(daemon.control, &FleetKey::from_text(FLEET_KEY)).await
                    && control.status().await.is_ok_and(|status| status.role == "leader")
                {
                    return number;
                }
            }
            poll_pause().await;
        }
    }

    /// Applies a table through any daemon that accepts it; returns the table with its new version.
    async fn apply(
        &self,
        base: &VersionedTable,
        table: OperatorTable,
        edit_id: &str,
        wait: bool,
    ) -> VersionedTable {
        let edit = TableEdit {
            edit_id: edit_id.to_owned(),
            operator: "bench".to_owned(),
            at: 0,
            base_version: base.version,
            base_hash: base.hash.clone(),
            table: table.clone(),
        };
        loop {
            for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
                let Ok(control) = connect(daemon.control, &FleetKey::from_text(FLEET_KEY)).await
                else {
                    continue;
                };
                if let Ok(LeaderAnswer::Done(answer)) = control.apply(edit.clone(), wait).await
                    && let EditOutcome::Accepted(record) = answer.outcome
                {
                    return VersionedTable::new(record.version, table);
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn client() -> hyper_util::client::legacy::Client<
    hyper_util::client::legacy::connect::HttpConnector,
    http_body_util::Full<bytes::Bytes>,
> {
    hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new()).build_http()
}

async fn poll_pause() {
    tokio::time::sleep(Duration::from_millis(10)).await;
}

fn table(weight: u32, engine: SocketAddr) -> OperatorTable {
    let text = format!(
        r#"{{"tiers": [{{"tier": "only", "rank": 0, "weight": {weight}}}],
        "organisations": [{{"organisation": "org", "key_digests": ["{}"], "weight": 1}}],
        "services": [{{"service": "slow", "kind": "model", "default_tier": "only", "deadline_ms": 3600000, "first_guess": 1,
            "limit": "fixed", "silence_ms": 3600000, "waiting_limit": 1000000}}],
        "upstreams": [{{"upstream": "engine", "service": "slow", "address": "{engine}", "data_centre": "hall-a"}}]}}"#,
        KeyDigest::of(CALLER_KEY).0
    );
    read_table(&text).expect("the table is valid")
}

fn quantile(times: &mut [Duration], fraction: f64) -> Duration {
    times.sort_unstable();
    let position = ((times.len() as f64 * fraction) as usize).min(times.len().saturating_sub(1));
    times.get(position).copied().unwrap_or_default()
}

fn print_figure(label: &str, value: impl std::fmt::Display) {
    println!("{label:<62} {value}");
}

/// Times of small writes with a sync on this machine's disk.
fn sync_times() -> Vec<Duration> {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut file =
        std::fs::File::create(folder.path().join("file")).expect("the file can be created");
    let mut times = Vec::new();
    for _ in 0..200 {
        let started = Instant::now();
        file.write_all(&[7; 400]).expect("the write succeeds");
        file.sync_data().expect("the sync succeeds");
        times.push(started.elapsed());
    }
    times
}

fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |position: usize| {
        fields.get(position).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}

fn resident_kib(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default().to_owned();
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

/// Bytes received on loopback so far by all processes of the machine.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default()
        .to_owned();
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

#[tokio::main]
async fn main() {
    let mut syncs = sync_times();
    let sync_p50 = quantile(&mut syncs, 0.5);
    print_figure("one write and sync on this disk, p50", format!("{sync_p50:.2?}"));
    let engine = start_engine(EngineShape::with_step(20_000), Default::default(), Duration::ZERO)
        .await
        .expect("the simulated engine starts");
    let mut fleet = BenchFleet::start(VOTERS, DAEMONS);
    let empty = VersionedTable::new(0, OperatorTable::default());
    let mut current_table = fleet.apply(&empty, table(1, engine.address), "first", true).await;
    for number in 0..DAEMONS {
        while !fleet.is_ready(number).await {
            poll_pause().await;
        }
    }
    measure_idle(&fleet).await;
    current_table = measure_edits(&fleet, current_table, engine.address).await;
    measure_claims(&fleet, sync_p50).await;
    current_table = measure_failover(&mut fleet, current_table, engine.address).await;
    measure_restart(&mut fleet).await;
    drop(current_table);
    drop(fleet);
    measure_waiting(engine.address).await;
}

async fn measure_idle(fleet: &BenchFleet) {
    let leader = fleet.leader().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before: Vec<f64> = (0..DAEMONS).map(|number| cpu_seconds(fleet.pid(number))).collect();
    let bytes = loopback_bytes();
    tokio::time::sleep(Duration::from_secs(IDLE_SECONDS)).await;
    let bytes = loopback_bytes() - bytes;
    let cpu_percent = |number: usize| {
        (cpu_seconds(fleet.pid(number)) - before[number]) / IDLE_SECONDS as f64 * 100.0
    };
    print_figure("idle leader, share of a core", format!("{:.2} %", cpu_percent(leader)));
    let others: Vec<usize> = (0..DAEMONS).filter(|number| *number != leader).collect();
    let max = others.iter().map(|number| cpu_percent(*number)).fold(0.0, f64::max);
    print_figure("idle daemon that does not lead, largest share of a core", format!("{max:.2} %"));
    let per_daemon = bytes / IDLE_SECONDS as f64 / DAEMONS as f64;
    print_figure(
        "idle traffic on loopback of the fleet, by daemon, both ways",
        format!("{:.1} KB/s", per_daemon / 1_000.0),
    );
    let max = (0..DAEMONS).map(|number| resident_kib(fleet.pid(number))).fold(0.0, f64::max);
    print_figure("idle daemon, largest resident memory", format!("{:.1} MB", max * 1_024.0 / 1e6));
}

async fn measure_edits(
    fleet: &BenchFleet,
    initial_table: VersionedTable,
    engine: SocketAddr,
) -> VersionedTable {
    let leader = fleet.leader().await;
    let control = connect(fleet.daemons[leader].control, &FleetKey::from_text(FLEET_KEY))
        .await
        .expect("the leader accepts a control connection");
    let mut current_table = initial_table;
    let mut times = Vec::new();
    for number in 0..EDIT_COUNT {
        let edit = TableEdit {
            edit_id: format!("edit-{number}"),
            operator: "bench".to_owned(),
            at: 0,
            base_version: current_table.version,
            base_hash: current_table.hash.clone(),
            table: table(number as u32 % 9 + 1, engine),
        };
        let started = Instant::now();
        let answer = control.apply(edit.clone(), true).await;
        let Ok(LeaderAnswer::Done(answer)) = answer else { panic!("edit {number}: {answer:?}") };
        assert!(answer.progress.is_in_force, "{:?}", answer.progress);
        times.push(started.elapsed());
        current_table = VersionedTable::new(current_table.version + 1, edit.table);
    }
    let (p50, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
    print_figure("edit sent to in force on 7 daemons, p50 and p99", format!("{p50:.2?} {p99:.2?}"));
    current_table
}

async fn measure_claims(fleet: &BenchFleet, sync_p50: Duration) {
    let voters: Vec<SocketAddr> =
        fleet.daemons[..VOTERS].iter().map(|daemon| daemon.control).collect();
    let hint = LeaderHint::default();
    hint.set(Some(fleet.daemons[fleet.leader().await].control));
    let client = ClaimClient::start(ClaimClientSettings {
        voters: KnownVoters::new(voters),
        key: FleetKey::from_text(FLEET_KEY),
        hint,
    });
    let owner =
        |number: usize| ClaimOwner { daemon: "bench".into(), boot: 1, request: number.to_string() };
    let mut times = Vec::new();
    for number in 0..200 {
        let key = ClaimKey { organisation: "org".into(), key: format!("single-{number}") };
        let started = Instant::now();
        let reply = client
            .acquire(&key, "digest".to_owned(), &owner(number), Duration::from_secs(60))
            .await;
        assert_eq!(reply, Some(ClaimReply::Granted));
        times.push(started.elapsed());
        client.settle(&key, &owner(number), ClaimOutcome::Unknown);
    }
    let p50 = quantile(&mut times, 0.5);
    print_figure(
        "one claim, p50, and in syncs of this disk",
        format!("{p50:.2?} {:.1}", p50.as_secs_f64() / sync_p50.as_secs_f64()),
    );
    let started = Instant::now();
    let until = started + Duration::from_secs(CLAIM_SECONDS);
    let claimers = (0..CLAIMERS).map(|claimer| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut count = 0u64;
            while Instant::now() < until {
                let claims = (0..16).map(|part| {
                    let key = ClaimKey {
                        organisation: "org".into(),
                        key: format!("many-{claimer}-{count}-{part}"),
                    };
                    let owner =
                        ClaimOwner { daemon: "bench".into(), boot: 1, request: key.key.clone() };
                    let client = client.clone();
                    async move {
                        client
                            .acquire(&key, "digest".to_owned(), &owner, Duration::from_secs(60))
                            .await
                    }
                });
                let replies = futures_util::future::join_all(claims).await;
                count += replies.iter().filter(|reply| **reply == Some(ClaimReply::Granted)).count()
                    as u64;
            }
            count
        })
    });
    let counts = futures_util::future::join_all(claimers).await;
    let total: u64 = counts.into_iter().map(|count| count.expect("a claimer does not panic")).sum();
    print_figure(
        "claims a second, 256 callers",
        format!("{:.0}", total as f64 / started.elapsed().as_secs_f64()),
    );
}

async fn measure_failover(
    fleet: &mut BenchFleet,
    initial_table: VersionedTable,
    engine: SocketAddr,
) -> VersionedTable {
    let mut current_table = initial_table;
    let (mut times, mut in_force) = (Vec::new(), Vec::new());
    for round in 0..5u32 {
        let leader = fleet.leader().await;
        let started = Instant::now();
        fleet.kill(leader);
        current_table = fleet
            .apply(&current_table, table(round + 1, engine), &format!("failover-{round}"), false)
            .await;
        times.push(started.elapsed());
        current_table = fleet
            .apply(&current_table, table(round + 2, engine), &format!("in-force-{round}"), true)
            .await;
        in_force.push(started.elapsed());
        fleet.restart(leader);
        while !fleet.is_ready(leader).await {
            poll_pause().await;
        }
    }
    let (p50, max) = (quantile(&mut times, 0.5), quantile(&mut times, 1.0));
    print_figure(
        "leader killed to next edit accepted, p50 and max of 5",
        format!("{p50:.2?} {max:.2?}"),
    );
    let max = quantile(&mut in_force, 1.0);
    print_figure(
        "leader killed to edit in force everywhere (its lease is 3 s)",
        format!("{max:.2?}"),
    );
    current_table
}

async fn measure_restart(fleet: &mut BenchFleet) {
    let leader = fleet.leader().await;
    let follower = (0..VOTERS)
        .find(|number| *number != leader)
        .expect("there are other voters than the leader");
    let mut times = Vec::new();
    for _ in 0..5 {
        fleet.kill(follower);
        let started = Instant::now();
        fleet.restart(follower);
        while !fleet.is_ready(follower).await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.push(started.elapsed());
    }
    print_figure(
        "voter restarted after 500 edits to ready, p50 of 5",
        format!("{:.2?}", quantile(&mut times, 0.5)),
    );
}

/// Measures the memory of waiting requests, over HTTP/2 so that connections add little to it.
async fn measure_waiting(engine: SocketAddr) {
    let fleet = BenchFleet::start(1, 1);
    fleet
        .apply(&VersionedTable::new(0, OperatorTable::default()), table(1, engine), "first", true)
        .await;
    while !fleet.is_ready(0).await {
        poll_pause().await;
    }
    let body = r#"{"model":"slow","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hello"}]}"#;
    let clients: Vec<_> = (0..WAITING_REQUESTS / 100)
        .map(|_| {
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .http2_only(true)
                .build_http()
        })
        .collect();
    let send = |number: usize| {
        let client = clients[number / 100].clone();
        let request =
            http::Request::post(format!("http://{}/v1/chat/completions", fleet.daemons[0].callers))
                .header("authorization", format!("Bearer {CALLER_KEY}"))
                .body(http_body_util::Full::<bytes::Bytes>::from(body))
                .expect("a good request");
        tokio::spawn(async move { client.request(request).await.map(|_| ()) })
    };
    let mut calls: Vec<_> = (0..WAITING_REQUESTS / 10).map(send).collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = resident_kib(fleet.pid(0));
    calls.extend((WAITING_REQUESTS / 10..WAITING_REQUESTS).map(send));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let after = resident_kib(fleet.pid(0));
    let per_request = (after - before) / (WAITING_REQUESTS - WAITING_REQUESTS / 10) as f64;
    print_figure(
        "one waiting request, resident memory with its HTTP/2 stream",
        format!("{per_request:.2} KiB"),
    );
    calls.iter().for_each(tokio::task::JoinHandle::abort);
}
