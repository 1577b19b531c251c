//! Fleets of daemons in separate processes: kills, pauses, wiped disks, silent connections and
//! resent bookings.

use crate::fixtures::{AGENTS_KEY, small_table, upstream};
use crate::workdir::{FleetDaemon, WorkDir, stderr, stdout};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tarragonknot::answer::{AnswerKind, ProblemBody};
use tarragonknot::standin::{PlainShape, PlainStandin, StandinFault, start_plain};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Attempts, 20 ms apart, before a wait fails.
const MAX_POLLS: usize = 1_500;

struct ProcessFleet {
    work: WorkDir,
    daemons: Vec<FleetDaemon>,
    edits: AtomicU64,
}

impl ProcessFleet {
    /// Starts `voters` daemons with data folders and `diskless` daemons without.
    fn start(voters: usize, diskless: usize) -> Self {
        let daemons = (1..=voters + diskless).map(FleetDaemon::new).collect();
        let mut fleet = ProcessFleet { work: WorkDir::new(), daemons, edits: AtomicU64::new(0) };
        for number in 0..voters + diskless {
            fleet.write_settings(number, number < voters, voters);
            fleet.restart(number);
        }
        fleet
    }

    fn write_settings(&self, number: usize, votes: bool, voters: usize) {
        let daemon = &self.daemons[number];
        let mut settings = daemon.settings(&self.daemons[..voters]);
        settings["currency_lease_ms"] = json!(1_500);
        if votes {
            daemon.add_data_folder(&mut settings, number == 0);
        }
        self.work.write(&format!("{}.json", daemon.name), &settings.to_string());
    }

    fn restart(&mut self, number: usize) {
        self.daemons[number].start(&self.work);
    }

    fn kill(&mut self, number: usize) {
        self.daemons[number].process = None;
    }

    fn signal(&self, number: usize, signal: &str) {
        self.daemons[number].process.iter().for_each(|process| process.signal(signal));
    }

    fn operate(&self, number: usize, args: &[&str]) -> std::process::Output {
        self.work.operate(self.daemons[number].control, args)
    }

    fn status(&self, number: usize) -> Value {
        let output = self.operate(number, &["status", "--json"]);
        let rows: Value = serde_json::from_str(&stdout(&output)).unwrap_or_default();
        let control = self.daemons[number].control.to_string();
        let rows = rows.as_array().cloned().unwrap_or_default();
        rows.into_iter()
            .find(|row| row["control"] == control)
            .map(|row| row["status"].clone())
            .unwrap_or_default()
    }

    fn leader(&self) -> usize {
        let mut found = None;
        wait_until("a leader", || {
            found = (0..self.daemons.len())
                .filter(|number| self.daemons[*number].process.is_some())
                .find(|number| self.status(*number)["role"] == "leader");
            found.is_some()
        });
        found.expect("found above")
    }

    fn voter_count(&self, number: usize) -> usize {
        let output = self.operate(number, &["voter", "list", "--json"]);
        let rows: Value = serde_json::from_str(&stdout(&output)).unwrap_or_default();
        rows.as_array().map_or(0, |rows| rows.iter().filter(|row| row["votes"] == true).count())
    }

    /// Applies a table edit through daemon `number`; returns the accepted version.
    fn edit(&self, number: usize, change: impl FnOnce(&mut Value)) -> u64 {
        let output = self.operate(number, &["table", "show", "--json"]);
        let mut versioned: Value = serde_json::from_str(&stdout(&output))
            .unwrap_or_else(|_| panic!("{}", stderr(&output)));
        change(&mut versioned["table"]);
        let name = format!("edit-{}.json", self.edits.fetch_add(1, Ordering::Relaxed));
        let path = self.work.write(&name, &versioned.to_string());
        let applied = self.operate(number, &["table", "apply", path.to_str().unwrap(), "--json"]);
        assert_eq!(applied.status.code(), Some(0), "{}", stderr(&applied));
        let answer: Value = serde_json::from_str(&stdout(&applied)).unwrap();
        answer["outcome"]["accepted"]["version"].as_u64().expect("an accepted version")
    }

    fn apply_first_table(&self, service: SocketAddr) {
        let mut table = small_table();
        table.upstreams.push(upstream("service-1", "pack-api", service));
        let table = serde_json::to_value(table).unwrap();
        assert_eq!(self.edit(0, |value| *value = table), 1);
    }

    fn set_weight(&self, number: usize, weight: u64) -> u64 {
        self.edit(number, |table| table["tiers"][0]["weight"] = json!(weight))
    }

    fn is_ready(&self, number: usize) -> bool {
        let url = format!("http://{}/readyz", self.daemons[number].callers);
        block_on(get(&url)).is_some_and(|(status, _)| status == StatusCode::OK)
    }

    fn shown_version(&self, number: usize) -> u64 {
        let url = format!("http://{}/metrics", self.daemons[number].callers);
        let text = block_on(get(&url)).map(|(_, text)| text).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("tarragonknot_table_version "));
        line.and_then(|line| line.split(' ').nth(1)?.parse::<f64>().ok()).unwrap_or(0.0) as u64
    }
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::task::block_in_place(|| tokio::runtime::Handle::current().block_on(work))
}

async fn get(url: &str) -> Option<(StatusCode, String)> {
    let request = Request::get(url).body(Full::<Bytes>::default()).ok()?;
    send(request).await
}

async fn send(request: Request<Full<Bytes>>) -> Option<(StatusCode, String)> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a booking with an idempotency key through one daemon.
async fn book(callers: SocketAddr, key: &str, body: &str) -> Option<(StatusCode, String)> {
    let request = Request::post(format!("http://{callers}/pack-api/bookings"))
        .header("authorization", format!("Bearer {AGENTS_KEY}"))
        .header("idempotency-key", key)
        .body(Full::from(body.to_owned()))
        .ok()?;
    send(request).await
}

fn problem_kind(answer: &(StatusCode, String)) -> Option<AnswerKind> {
    serde_json::from_str::<ProblemBody>(&answer.1).ok().map(|problem| problem.kind)
}

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if is_met() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("timed out waiting for: {what}");
}

async fn start_ready_fleet(voters: usize, diskless: usize) -> (ProcessFleet, Arc<PlainStandin>) {
    let service = start_plain(PlainShape::default()).await.unwrap();
    let fleet = tokio::task::block_in_place(|| ProcessFleet::start(voters, diskless));
    wait_until("all daemons with data folders vote", || fleet.voter_count(0) == voters);
    fleet.apply_first_table(service.address);
    wait_until("all daemons ready", || (0..voters + diskless).all(|number| fleet.is_ready(number)));
    (fleet, service)
}

/// Guards against losing an accepted edit, or accepting none, after the leader is killed between
/// edits, another is elected and the old one restarts. An edit acknowledged before a quorum has
/// stored it would be lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_the_leader_loses_no_edit() {
    let (mut fleet, _service) = start_ready_fleet(3, 1).await;
    let leader = fleet.leader();
    let before = fleet.set_weight(leader, 11);

    fleet.kill(leader);
    let other = (leader + 1) % 3;
    let after = fleet.set_weight(other, 12);
    fleet.restart(leader);
    wait_until("the old leader has the new version", || fleet.shown_version(leader) == after);
    let history: Value =
        serde_json::from_str(&stdout(&fleet.operate(3, &["table", "history", "--json"]))).unwrap();

    assert_eq!((before, after), (2, 3));
    assert_eq!(history.as_array().map(Vec::len), Some(3));
    assert!((0..4).all(|number| fleet.shown_version(number) == after));
}

/// Guards against a paused leader serving an old table. It is stopped until its own lease and the
/// fleet's have expired, another leader accepts an edit, and the old one resumes believing that it
/// still leads. This happens if the lease is not checked against the clock at each use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_leader_wakes_without_its_lease() {
    let (fleet, service) = start_ready_fleet(3, 0).await;
    let leader = fleet.leader();
    let other = (leader + 1) % 3;

    fleet.signal(leader, "-STOP");
    wait_until("another leader", || {
        (0..3).any(|number| number != leader && fleet.status(number)["role"] == "leader")
    });
    let version = fleet.edit(other, |table| table["organisations"][0]["key_digests"] = json!([]));
    let is_in_force = fleet.shown_version(other) == version;
    fleet.signal(leader, "-CONT");
    // The edit removed the organisation's key, so serving this booking would use the old table.
    let resumed = block_on(book(fleet.daemons[leader].callers, "after-the-pause", "van"));
    wait_until("the old leader follows", || fleet.shown_version(leader) == version);

    assert!(is_in_force);
    let kind = resumed.as_ref().and_then(problem_kind);
    assert!(matches!(kind, Some(AnswerKind::TableStale | AnswerKind::KeyUnknown)), "{resumed:?}");
    assert!(service.runs().is_empty());
}

/// Guards against lost edits or failed elections after a disk is replaced. A voter restarts with a
/// wiped folder, and a second voter is lost right after the repair. This happens if the wiped voter
/// votes under its old identity, or if the old identity still counts towards the quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wiped_voter_is_repaired_and_a_second_may_be_lost() {
    let (mut fleet, _service) = start_ready_fleet(3, 0).await;
    let leader = fleet.leader();
    let (wiped, lost) = ((leader + 1) % 3, (leader + 2) % 3);
    let before = fleet.set_weight(leader, 21);
    let old: Value =
        serde_json::from_str(&stdout(&fleet.operate(leader, &["voter", "list", "--json"])))
            .unwrap();

    fleet.kill(wiped);
    std::fs::remove_dir_all(fleet.work.path(&format!("data-entry-{}", wiped + 1))).unwrap();
    fleet.restart(wiped);
    let mut new = Value::Null;
    wait_until("a repaired quorum", || {
        new = serde_json::from_str(&stdout(&fleet.operate(leader, &["voter", "list", "--json"])))
            .unwrap_or_default();
        let rows = new.as_array().cloned().unwrap_or_default();
        rows.len() == 3
            && rows.iter().all(|row| row["votes"] == true)
            && new != old
            && rows.iter().all(|row| {
                let is_old =
                    old.as_array().unwrap().iter().any(|known| known["voter"] == row["voter"]);
                is_old
                    != (row["voter"]
                        .as_str()
                        .unwrap()
                        .starts_with(&format!("entry-{}~", wiped + 1)))
            })
    });
    fleet.kill(lost);
    let after = fleet.set_weight(leader, 22);

    assert_eq!((before, after), (2, 3));
    wait_until("the repaired voter has the edit", || fleet.status(wiped)["table_version"] == 3);
}

/// Guards against a daemon becoming stale while the network works. Its connection to the leader
/// goes silent for good, as when a middlebox has dropped its state, and new connections work. This
/// happens if the daemon keeps waiting on the silent connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_control_connection_is_replaced() {
    let (mut fleet, _service) = start_ready_fleet(1, 1).await;
    let proxy = SilentProxy::start(fleet.daemons[0].control).await;
    tokio::task::block_in_place(|| {
        fleet.kill(1);
        let path = fleet.work.path("entry-2.json");
        let mut settings: Value = serde_json::from_str(&fleet.work.read("entry-2.json")).unwrap();
        settings["peers"][0]["control"] = json!(proxy.address.to_string());
        std::fs::write(path, settings.to_string()).unwrap();
        fleet.restart(1);
    });
    wait_until("ready through the proxy", || fleet.is_ready(1));
    let opened_count = proxy.opened_count.load(Ordering::Relaxed);

    proxy.silence();
    wait_until("a new connection", || proxy.opened_count.load(Ordering::Relaxed) > opened_count);
    let version = fleet.set_weight(0, 31);

    wait_until("the edit is in force on the second daemon", || fleet.shown_version(1) == version);
    assert!(fleet.is_ready(1));
}

/// Refusals that mean that nothing was run and the caller may retry. On a heavily oversubscribed
/// machine a round trip to the voters can outlast the timeout of a claim or a lease, so any booking
/// may receive one.
const RETRYABLE_KINDS: [AnswerKind; 2] = [AnswerKind::ClaimUnavailable, AnswerKind::TableStale];

/// Returns whether the answer is final: neither a booking still running nor a retryable refusal.
fn is_settled(answer: &(StatusCode, String)) -> bool {
    let kind = problem_kind(answer);
    kind.is_none_or(|kind| kind != AnswerKind::ClaimRunning && !RETRYABLE_KINDS.contains(&kind))
}

/// Sends a booking and retries while the answer is a retryable refusal.
async fn book_with_retries(
    callers: SocketAddr,
    key: &'static str,
    body: &'static str,
) -> Option<(StatusCode, String)> {
    loop {
        let answer = book(callers, key, body).await;
        let retryable_kind = answer.as_ref().and_then(problem_kind);
        if !retryable_kind.is_some_and(|kind| RETRYABLE_KINDS.contains(&kind)) {
            return answer;
        }
    }
}

/// Guards against a reload signal that ends a daemon which is still starting.
#[test]
fn a_daemon_handles_signals_before_it_listens() {
    const HANGUP_BIT: u64 = 1;
    let fleet = ProcessFleet::start(1, 0);
    let daemon = &fleet.daemons[0];
    let process = daemon.process.as_ref().expect("the daemon was started");

    wait_until("the daemon listens", || std::net::TcpStream::connect(daemon.control).is_ok());
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();

    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("a line");
    let caught = u64::from_str_radix(caught.trim(), 16).expect("a mask");
    assert_ne!(caught & HANGUP_BIT, 0, "{caught:x}");
}

/// Guards against running a booking twice. A caller loses the answer and resends the booking
/// through another daemon, then with another body; later a daemon dies between claim and outcome.
/// This happens if each daemon knows only its own requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_booking_runs_once_whichever_daemon_is_asked() {
    let (mut fleet, service) = start_ready_fleet(3, 0).await;
    let callers: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let leader = fleet.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);

    let answer = book_with_retries(callers[first], "key-1", "van at nine").await.unwrap();
    let mut again = None;
    wait_until("the outcome is recorded", || {
        again = block_on(book(callers[second], "key-1", "van at nine"));
        again.as_ref().is_some_and(is_settled)
    });
    let other_body = book_with_retries(callers[second], "key-1", "van at ten").await.unwrap();
    let runs_before = service.runs().len();
    service.faults.push(StandinFault::Delayed(Duration::from_secs(30)));
    let dying = tokio::spawn(book_with_retries(callers[first], "key-2", "van at noon"));
    wait_until("the second booking runs", || service.runs().len() > runs_before);
    let running = book_with_retries(callers[second], "key-2", "van at noon").await.unwrap();
    tokio::task::block_in_place(|| fleet.kill(first));
    let mut orphaned = None;
    wait_until("the owner counts as dead", || {
        orphaned = block_on(book(callers[second], "key-2", "van at noon"));
        orphaned.as_ref().is_some_and(is_settled)
    });

    assert_eq!(answer.0, StatusCode::OK);
    assert_eq!(again, Some(answer));
    assert_eq!(problem_kind(&other_body), Some(AnswerKind::ClaimMismatch));
    assert_eq!(problem_kind(&running), Some(AnswerKind::ClaimRunning));
    assert_eq!(orphaned.as_ref().and_then(problem_kind), Some(AnswerKind::ClaimUnknown));
    assert!(dying.await.unwrap().is_none());
    assert_eq!(service.runs().len(), 2);
    assert!(service.runs().values().all(|runs| *runs == 1));
}

/// Guards against admitting requests under a table that may be stale. Two of three voters are lost
/// while the third still receives requests. A daemon must not trust its table indefinitely: once
/// its lease expires it refuses requests without running them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_a_daemon_refuses_truthfully() {
    let (mut fleet, service) = start_ready_fleet(3, 0).await;

    tokio::task::block_in_place(|| (1..3).for_each(|number| fleet.kill(number)));
    wait_until("the daemon is not ready", || !fleet.is_ready(0));
    let refused = book(fleet.daemons[0].callers, "key-1", "van").await.unwrap();
    tokio::task::block_in_place(|| fleet.restart(1));
    wait_until("the daemon is ready again", || fleet.is_ready(0));
    let served = book(fleet.daemons[0].callers, "key-1", "van").await.unwrap();

    assert_eq!(problem_kind(&refused), Some(AnswerKind::TableStale));
    assert_eq!(served.0, StatusCode::OK);
    assert_eq!(service.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_voter_stays_out_until_it_is_added() {
    let (fleet, _service) = start_ready_fleet(3, 0).await;
    let leader = fleet.leader();
    let removed = (leader + 1) % 3;
    let name = fleet.daemons[removed].name.clone();

    let output = fleet.operate(leader, &["voter", "remove", &name]);
    wait_until("two voters", || fleet.voter_count(leader) == 2);
    let added = fleet.operate(leader, &["voter", "add", &name]);
    wait_until("three voters", || fleet.voter_count(leader) == 3);

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(added.status.code(), Some(0), "{}", stderr(&added));
    assert_eq!(fleet.set_weight(leader, 41), 2);
}

/// Forwards connections to one address. [`SilentProxy::silence`] silences the open ones; new ones
/// work.
struct SilentProxy {
    address: SocketAddr,
    opened_count: Arc<AtomicU64>,
    silent_before: Arc<AtomicU64>,
}

impl SilentProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let opened_count = Arc::new(AtomicU64::new(0));
        let silent_before = Arc::new(AtomicU64::new(0));
        let (count, silent) = (Arc::clone(&opened_count), Arc::clone(&silent_before));
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::Relaxed);
                let Ok(outer) = TcpStream::connect(target).await else { continue };
                let (inner_read, inner_write) = inner.into_split();
                let (outer_read, outer_write) = outer.into_split();
                tokio::spawn(forward(inner_read, outer_write, number, Arc::clone(&silent)));
                tokio::spawn(forward(outer_read, inner_write, number, Arc::clone(&silent)));
            }
        });
        SilentProxy { address, opened_count, silent_before }
    }

    fn silence(&self) {
        self.silent_before.store(self.opened_count.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

/// Forwards bytes until the connection is silenced, then discards them and keeps it open.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    silent_before: Arc<AtomicU64>,
) {
    let mut bytes = [0u8; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes).await {
        let is_silent = number < silent_before.load(Ordering::Relaxed);
        if count == 0 || (!is_silent && to.write_all(&bytes[..count]).await.is_err()) {
            return;
        }
    }
}

/// Guards against a voter with a damaged disk taking part in elections. A bit of its log flips
/// while it is down, and it would vote from the remaining log. Its folder must be set aside with a
/// clear error, and the voter must join again under a new identity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_voter_joins_again_under_a_new_identity() {
    let (mut fleet, _service) = start_ready_fleet(3, 0).await;
    let leader = fleet.leader();
    let damaged = (leader + 1) % 3;
    let name = fleet.daemons[damaged].name.clone();
    fleet.set_weight(leader, 51);

    fleet.kill(damaged);
    let path = fleet.work.path(&format!("data-{name}/log.bin"));
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[12] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    fleet.restart(damaged);
    wait_until("the voter has the table", || fleet.status(damaged)["table_version"] == 2);
    wait_until("three voters", || fleet.voter_count(leader) == 3);

    let log = fleet.work.read(&format!("{name}.log"));
    assert!(log.contains("data folder set aside") && log.contains("damaged at byte 0"), "{log}");
    let folders = std::fs::read_dir(fleet.work.path(".")).unwrap();
    let is_aside = |entry: std::fs::DirEntry| {
        entry.file_name().to_string_lossy().starts_with(&format!("data-{name}.aside-"))
    };
    assert_eq!(folders.filter_map(Result::ok).map(is_aside).filter(|aside| *aside).count(), 1);
}
