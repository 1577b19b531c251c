//! Streams go on only at the software version that began them, within one answer and over the tries
//! of a caller.

use crate::routed_fleet::{
    ConnectionEnd, DaemonRuntime, EngineAction, ReceivedRequest, ReceivedStream, RoutedFleet,
    ScriptedEngine, document, start_voter,
};
use http::StatusCode;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::answer::AnswerKind;
use tarragonknot::fleet_state::ServiceHash;
use tarragonknot::policy::{RetryBound, VersionHash};
use tarragonknot::rollout::{RolloutEvent, RolloutLog, RolloutOrder, RolloutRows, RolloutStep};
use tarragonknot::stream_origin::{AttemptKey, OriginFinding, OriginMessage, VersionClaim};
use tarragonknot::traffic::TrafficState;
use tarragonknot::upstream::VmState;

/// Events of a whole stream.
const EVENTS: u64 = 8;
/// Streams of a test. With two versions of equal size, half of them would change the version by
/// chance.
const STREAMS: usize = 24;
/// Time within which daemons learn of each other and of streams; generous even for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(20);
/// Time within which a stream of a route with a timeout of 1 s may be resumed.
const LISTED_HORIZON: Duration = Duration::from_secs(2);
/// Key of the organisation `others`.
const OTHER_KEY: &str = "others-key";

/// Versions of the upstreams, two of each.
const TWO_VERSIONS: &[&str] = &["v1", "v1", "v1.1", "v1.1"];
const FOUR_VERSIONS: &[&str] = &["v1", "v1", "v1.1", "v1.1", "v1.2", "v1.2", "v2", "v2"];

/// The answer of an engine that breaks off after `sends` events, unless its stream is whole by then.
fn events_of(version: &str, request: &ReceivedRequest, sends: u64) -> EngineAction {
    if request.head.starts_with("GET ") {
        return EngineAction::Answer(200, "ok");
    }
    let after = request.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
    let last = EVENTS.min(after + sends);
    let events = (after + 1..=last).map(|id| format!("id: {id}\ndata: {version}\n\n"));
    let events: String = events.collect();
    let head = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
                tarragonknot-server-seal: seal-1\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let text = format!("{head}{:x}\r\n{events}\r\n", events.len());
    match last == EVENTS {
        true => EngineAction::Raw(format!("{text}0\r\n\r\n"), ConnectionEnd::Stay),
        false => EngineAction::Raw(text, ConnectionEnd::Close),
    }
}

/// Starts an engine of each of the versions, which break off after `sends` events.
async fn start_engines(
    versions: &[&'static str],
    sends: u64,
) -> Vec<(ScriptedEngine, &'static str)> {
    let mut engines = Vec::new();
    for (number, version) in versions.iter().copied().enumerate() {
        let script = move |_, request: &ReceivedRequest| -> EngineAction {
            events_of(version, request, sends)
        };
        let name = format!("i-{number}");
        engines.push((ScriptedEngine::start_with_request(&name, script).await, version));
    }
    engines
}

/// Entries that serve the engines.
struct VersionedFleet {
    engines: Vec<(ScriptedEngine, &'static str)>,
    entries: Vec<RoutedFleet>,
    runtimes: Vec<DaemonRuntime>,
    voter: (Arc<TrafficState>, SocketAddr),
}

impl VersionedFleet {
    async fn start(entries: usize, versions: &[&'static str], sends: u64) -> Self {
        Self::start_beside(start_voter(true), entries, versions, sends).await
    }

    async fn start_beside(
        voter: (Arc<TrafficState>, SocketAddr),
        entries: usize,
        versions: &[&'static str],
        sends: u64,
    ) -> Self {
        let engines = start_engines(versions, sends).await;
        let refs: Vec<&ScriptedEngine> = engines.iter().map(|(engine, _)| engine).collect();
        let runtimes: Vec<DaemonRuntime> = (0..entries).map(|_| DaemonRuntime::new()).collect();
        let handles: Vec<_> = runtimes.iter().map(DaemonRuntime::handle).collect();
        let entries = RoutedFleet::start_peers_beside(voter.1, &handles, &refs).await;
        let fleet = VersionedFleet { engines, entries, runtimes, voter };
        let bound = RetryBound { ratio: 1.0, slack: 10_000 };
        fleet.entries.iter().for_each(|entry| entry.state.set_retry_bound(bound));
        fleet.list(|_| true);
        fleet.wait_until_acquainted().await;
        fleet.wait_for_report().await;
        fleet
    }

    /// Waits until the voter has heard of the service's versions. A report may be lost, and comes again
    /// a second later.
    async fn wait_for_report(&self) {
        let ask = || OriginMessage::Ask {
            number: 1,
            key: AttemptKey::of("agents", "never-seen"),
            service: ServiceHash::of(&"pool".into()),
            horizon_ms: 1,
        };
        let unheard = OriginFinding::Unknown(VersionClaim::None);
        let heard = async {
            loop {
                let (state, address) = &self.voter;
                let reply = state.origins.handle_message(ask(), *address, state.clock.now());
                match reply {
                    Some(OriginMessage::Reply { finding, .. }) if finding != unheard => return,
                    _ => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
        };
        let is_heard = tokio::time::timeout(NOTICE_TIME, heard).await.is_ok();
        assert!(is_heard, "the voter has heard of no versions");
    }

    /// Waits until the voter has heard of all versions that the entries list.
    async fn wait_until_announced(&self) {
        let announced = async {
            while self.entries.iter().any(|entry| entry.state.origins.unannounced_count() > 0) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let is_announced = tokio::time::timeout(NOTICE_TIME, announced).await.is_ok();
        assert!(is_announced, "the voter has not heard of all versions");
    }

    /// Waits until the voter claims this of the time in which a stream may be resumed.
    async fn wait_for_claim(&self, claim: VersionClaim) {
        let claimed = async {
            while self.voter_claim(LISTED_HORIZON) != claim {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let is_claimed = tokio::time::timeout(NOTICE_TIME, claimed).await.is_ok();
        assert!(is_claimed, "the voter claims {:?}", self.voter_claim(LISTED_HORIZON));
    }

    fn voter_claim(&self, horizon: Duration) -> VersionClaim {
        let ask = OriginMessage::Ask {
            number: 1,
            key: AttemptKey::of("agents", "never-seen"),
            service: ServiceHash::of(&"pool".into()),
            horizon_ms: horizon.as_millis() as u32,
        };
        let (state, address) = &self.voter;
        match state.origins.handle_message(ask, *address, state.clock.now()) {
            Some(OriginMessage::Reply { finding: OriginFinding::Unknown(claim), .. }) => claim,
            other => panic!("{other:?}"),
        }
    }

    /// Lists the engines whose versions are `listed`, at all entries.
    fn list(&self, listed: impl Fn(&str) -> bool) {
        let rows = self.engines.iter().filter(|(_, version)| listed(version));
        let rows: Vec<_> = rows.map(|(engine, version)| (engine, *version)).collect();
        self.entries.iter().for_each(|entry| entry.list_versions(&rows, VmState::Live));
    }

    async fn wait_until_acquainted(&self) {
        let count = self.entries.len();
        let knowing = async {
            while self.entries.iter().any(|entry| entry.state.fleet.daemon_count() < count) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let known = tokio::time::timeout(NOTICE_TIME, knowing).await;
        assert!(known.is_ok(), "the entries don't know each other");
    }

    /// Ends all entries like killed processes, and starts as many again once `listed` has changed.
    async fn restart_all(&mut self, listed: impl Fn(&str) -> bool) {
        let runtimes: Vec<_> = self.runtimes.iter().map(|_| DaemonRuntime::new()).collect();
        self.runtimes = runtimes;
        let handles: Vec<_> = self.runtimes.iter().map(DaemonRuntime::handle).collect();
        let refs: Vec<&ScriptedEngine> = self.engines.iter().map(|(engine, _)| engine).collect();
        self.entries = RoutedFleet::start_peers_beside(self.voter.1, &handles, &refs).await;
        let bound = RetryBound { ratio: 1.0, slack: 10_000 };
        self.entries.iter().for_each(|entry| entry.state.set_retry_bound(bound));
        self.list(listed);
        self.wait_until_acquainted().await;
    }

    /// Waits until the voter has the records of so many streams.
    async fn wait_for_records(&self, count: usize) {
        let stored = async {
            while self.voter.0.origins.record_count() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let is_stored = tokio::time::timeout(NOTICE_TIME, stored).await.is_ok();
        assert!(is_stored, "the voter has {} records", self.voter.0.origins.record_count());
    }

    /// Begins streams through all entries in turn.
    async fn begin_streams(&self) -> Vec<CallerStream> {
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            let entry = &self.entries[number % self.entries.len()];
            let mut stream = CallerStream::default();
            stream.add(entry.stream("/resumable/", &format!("r{number}"), &[]).await);
            begun.push(stream);
        }
        begun
    }

    /// Takes the streams up again, each at another entry than the one that began it if there is one.
    async fn take_up(&self, begun: &mut [CallerStream]) {
        for (number, stream) in begun.iter_mut().enumerate() {
            let (id, last) = (format!("r{number}"), stream.last_event().to_string());
            let headers = [("last-event-id", last.as_str()), ("resumes", id.as_str())];
            let entry = &self.entries[(number + 1) % self.entries.len()];
            stream.add(entry.stream("/resumable/", &format!("{id}-1"), &headers).await);
        }
    }

    /// Ends an entry like a killed process; the others keep their numbers.
    fn kill(&mut self, number: usize) {
        self.runtimes[number] = DaemonRuntime::new();
    }

    /// Sends a request to an entry, and takes its stream up at the others until it is whole, with at
    /// most `tries` tries. The attempt that brought the first event is named in `header`.
    async fn read_to_end(&self, id: &str, from: usize, tries: usize, header: &str) -> CallerStream {
        let entry = |attempt: usize| &self.entries[(from + attempt) % self.entries.len()];
        let mut stream = CallerStream::default();
        stream.add(entry(0).stream("/resumable/", id, &[]).await);
        for attempt in 1..tries {
            if stream.is_whole {
                break;
            }
            let last = stream.last_event().to_string();
            let headers = [("last-event-id", last.as_str()), (header, id)];
            let own_id = format!("{id}-{attempt}");
            stream.add(entry(attempt).stream("/resumable/", &own_id, &headers).await);
        }
        stream
    }
}

/// What a caller has of a stream.
#[derive(Debug, Default)]
struct CallerStream {
    ids: Vec<u64>,
    versions: BTreeSet<String>,
    is_whole: bool,
    statuses: Vec<u16>,
}

impl CallerStream {
    fn add(&mut self, received: ReceivedStream) {
        self.statuses.push(received.status.as_u16());
        if received.status != StatusCode::OK {
            return;
        }
        self.is_whole = received.is_whole;
        for event in received.text.split_terminator("\n\n") {
            let (id, version) = event.split_once("\ndata: ").expect("an event has data");
            let id = id.strip_prefix("id: ").expect("an event has an id");
            self.ids.push(id.parse().expect("ids are numbers"));
            self.versions.insert(version.to_owned());
        }
    }

    fn last_event(&self) -> u64 {
        self.ids.last().copied().unwrap_or_default()
    }

    fn is_complete(&self) -> bool {
        self.is_whole && self.ids.iter().copied().eq(1..=EVENTS)
    }
}

/// Asserts that no stream holds events of two versions, and that all went on to their ends.
#[track_caller]
fn assert_all_whole(streams: &[CallerStream]) {
    let joined = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let whole = streams.iter().filter(|stream| stream.is_complete()).count();
    assert_eq!((joined, whole), (0, streams.len()), "joined, whole; {streams:?}");
}

/// Guards against an answer that holds events of two versions, as a stream that breaks goes on at
/// any upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_within_its_answer_at_the_version_that_began_it() {
    let fleet = VersionedFleet::start(1, TWO_VERSIONS, EVENTS / 2).await;

    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.read_to_end(&format!("r{number}"), 0, 1, "resumes").await);
    }

    assert_all_whole(&streams);
}

/// Guards against a caller whose tries bring events of two versions, as the entry that it comes back
/// to doesn't know which one began its stream.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_its_caller_takes_up_goes_on_at_the_version_that_began_it(
    #[values(1, 3)] entries: usize,
    #[values("resumes", "tarragonknot-resumes")] header: &str,
    #[values(TWO_VERSIONS, FOUR_VERSIONS)] versions: &[&'static str],
) {
    let fleet = VersionedFleet::start(entries, versions, 1).await;

    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.read_to_end(&format!("r{number}"), number, 4, header).await);
    }

    assert_all_whole(&streams);
}

/// Guards against streams that go on at any version, or not at all, once the entry that began them is
/// gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_its_version_after_its_entry_was_killed() {
    let mut fleet = VersionedFleet::start(4, TWO_VERSIONS, 2).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let mut stream = CallerStream::default();
        stream.add(fleet.entries[0].stream("/resumable/", &format!("r{number}"), &[]).await);
        begun.push(stream);
    }

    fleet.kill(0);
    for (number, stream) in begun.iter_mut().enumerate() {
        let (id, last) = (format!("r{number}"), stream.last_event().to_string());
        let headers = [("last-event-id", last.as_str()), ("resumes", id.as_str())];
        let entry = &fleet.entries[1 + number % 3];
        stream.add(entry.stream("/resumable/", &format!("{id}-1"), &headers).await);
    }

    let went_on = |stream: &&CallerStream| stream.last_event() == EVENTS;
    let joined = begun.iter().filter(|stream| stream.versions.len() > 1).count();
    assert_eq!((joined, begun.iter().filter(went_on).count()), (0, STREAMS), "{begun:?}");
}

/// Guards against a stream that begins at a version of which the voters do not know, so that another
/// entry takes it for one of the version before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_stream_begins_at_a_version_that_the_voters_have_not_heard_of() {
    let runtime = DaemonRuntime::new();
    let voter = {
        let handle = runtime.handle();
        let _context = handle.enter();
        start_voter(true)
    };
    let fleet = VersionedFleet::start_beside(voter, 1, TWO_VERSIONS, EVENTS).await;
    fleet.wait_until_announced().await;
    fleet.list(|version| version == "v1");

    drop(runtime);
    fleet.list(|_| true);
    let begun = fleet.begin_streams().await;

    let versions: BTreeSet<String> =
        begun.iter().flat_map(|stream| stream.versions.iter().cloned()).collect();
    assert_eq!(versions, BTreeSet::from(["v1".to_owned()]));
}

/// Guards against a stream that goes on at the version which an entry and its peer list, though a new one
/// began to serve at another entry, which is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_with_an_older_list_asks_the_voter_for_other_versions() {
    let mut fleet = VersionedFleet::start(3, TWO_VERSIONS, EVENTS).await;
    let document = document(2).replace("\"timeout_ms\":3000", "\"timeout_ms\":1000");
    fleet.entries.iter().for_each(|entry| entry.apply(2, &document));
    fleet.list(|version| version == "v1");
    fleet.wait_until_announced().await;
    fleet.wait_for_claim(VersionClaim::Sole(VersionHash::of(&"v1".into()))).await;
    let headers = [("last-event-id", "2")];

    let before = fleet.entries[1].stream("/resumable/", "r1", &headers).await;
    let rows: Vec<_> = fleet.engines.iter().map(|(engine, version)| (engine, *version)).collect();
    fleet.entries[0].list_versions(&rows, VmState::Live);
    fleet.wait_for_claim(VersionClaim::Several).await;
    fleet.kill(0);
    let after = fleet.entries[1].stream("/resumable/", "r2", &headers).await;

    assert_eq!((before.status, before.is_whole), (StatusCode::OK, true), "{before:?}");
    assert_eq!(after.status, StatusCode::SERVICE_UNAVAILABLE, "{after:?}");
}

/// Guards against upstreams of a new version that stay unused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_begin_at_a_new_version_that_a_voter_has_heard_of() {
    let fleet = VersionedFleet::start(1, TWO_VERSIONS, EVENTS).await;
    fleet.list(|version| version == "v1");
    fleet.wait_until_announced().await;

    fleet.list(|_| true);
    fleet.wait_until_announced().await;
    let begun = fleet.begin_streams().await;

    let versions: BTreeSet<String> =
        begun.iter().flat_map(|stream| stream.versions.iter().cloned()).collect();
    assert_eq!(versions, BTreeSet::from(["v1".to_owned(), "v1.1".to_owned()]));
}

/// Guards against streams that go on at another version once no upstream of theirs is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_refused_once_its_version_has_left() {
    let fleet = VersionedFleet::start(2, TWO_VERSIONS, 2).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let mut stream = CallerStream::default();
        stream.add(fleet.entries[0].stream("/resumable/", &format!("r{number}"), &[]).await);
        begun.push(stream);
    }

    fleet.list(|version| version != "v1");
    for (number, stream) in begun.iter_mut().enumerate() {
        let (id, last) = (format!("r{number}"), stream.last_event().to_string());
        let headers = [("last-event-id", last.as_str()), ("resumes", id.as_str())];
        stream.add(fleet.entries[1].stream("/resumable/", &format!("{id}-1"), &headers).await);
    }

    for stream in &begun {
        let has_left = stream.versions.contains("v1");
        let expected = if has_left { 503 } else { 200 };
        assert_eq!(stream.versions.len(), 1, "{stream:?}");
        assert_eq!(stream.statuses, [200, expected], "{stream:?}");
    }
}

/// Guards against streams that are refused, or joined from two versions, once all entries were killed at
/// the same time and none of them remembers where they began.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_versions_after_all_entries_were_killed(
    #[values(1, 3)] entries: usize,
) {
    let mut fleet = VersionedFleet::start(entries, TWO_VERSIONS, 4).await;
    let mut begun = fleet.begin_streams().await;
    fleet.wait_for_records(STREAMS).await;

    fleet.restart_all(|_| true).await;
    fleet.take_up(&mut begun).await;

    assert_all_whole(&begun);
}

/// Guards against streams that go on at the version which replaced theirs while all entries were down.
/// Some callers name an attempt that no record has.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_refused_whose_version_left_while_all_entries_were_down(
    #[values(1, 3)] entries: usize,
    #[values(true, false)] is_from_founding: bool,
) {
    let voter = start_voter(is_from_founding);
    let mut fleet = VersionedFleet::start_beside(voter, entries, TWO_VERSIONS, 4).await;
    fleet.list(|version| version == "v1");
    let mut begun = fleet.begin_streams().await;
    fleet.wait_for_records(STREAMS).await;

    fleet.restart_all(|version| version != "v1").await;
    fleet.take_up(&mut begun).await;
    let headers = [("last-event-id", "2"), ("resumes", "never-seen")];
    let unknown = fleet.entries[0].stream("/resumable/", "r-unknown", &headers).await;

    let answers: BTreeSet<Vec<u16>> = begun.iter().map(|stream| stream.statuses.clone()).collect();
    assert_eq!(answers, BTreeSet::from([vec![200, 503]]));
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE, "{unknown:?}");
}

/// Guards against a stream that goes on at the version that entries list which have just started, beside
/// voters that have just started, too: the version before may have left a moment ago.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_stream_is_refused_while_no_daemon_has_watched_for_long(
    #[values(1, 3)] entries: usize,
) {
    let voter = start_voter(false);
    let fleet = VersionedFleet::start_beside(voter, entries, &["v1", "v1"], EVENTS).await;
    let headers = [("last-event-id", "2"), ("resumes", "never-seen")];

    let received = fleet.entries[0].stream("/resumable/", "r1", &headers).await;

    assert_eq!(received.status, StatusCode::SERVICE_UNAVAILABLE, "{received:?}");
}

/// Guards against a stream that no daemon knows and that goes on at a version by chance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_stream_is_refused_while_two_versions_serve() {
    let fleet = VersionedFleet::start(2, TWO_VERSIONS, EVENTS).await;
    let headers = [("last-event-id", "2"), ("resumes", "never-seen")];

    let received = fleet.entries[0].stream("/resumable/", "r1", &headers).await;

    assert_eq!(received.status, StatusCode::SERVICE_UNAVAILABLE, "{received:?}");
}

/// Guards against streams that are refused though there is only one version that can have begun
/// them.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_stream_goes_on_while_one_version_serves(#[values(1, 3)] entries: usize) {
    let fleet = VersionedFleet::start(entries, &["v1", "v1"], EVENTS).await;
    let headers = [("last-event-id", "2"), ("resumes", "never-seen")];

    let received = fleet.entries[0].stream("/resumable/", "r1", &headers).await;

    assert_eq!((received.status, received.is_whole), (StatusCode::OK, true), "{received:?}");
}

/// Guards against streams that are refused since their callers don't name the attempt that began them,
/// though there is only one version that can have.
#[rstest]
#[case::one_version(&["v1", "v1"], 200)]
#[case::two_versions(TWO_VERSIONS, 503)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_first_attempt_is_not_named_goes_on_at_a_sole_version(
    #[values(1, 3)] entries: usize,
    #[case] versions: &[&'static str],
    #[case] status: u16,
) {
    let fleet = VersionedFleet::start(entries, versions, EVENTS).await;

    let received = fleet.entries[0].stream("/resumable/", "r1", &[("last-event-id", "2")]).await;

    assert_eq!(received.status.as_u16(), status, "{received:?}");
}

/// Guards against a caller who takes up, or finds out, the stream of another organisation by its id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_id_of_another_organisation_is_unknown() {
    let fleet = VersionedFleet::start(2, TWO_VERSIONS, 2).await;
    let document = document(2).replace(
        r#"[{"api_keys""#,
        &format!(r#"[{{"api_keys":["{OTHER_KEY}"],"name":"others"}},{{"api_keys""#),
    );
    fleet.entries.iter().for_each(|entry| entry.apply(2, &document));
    let begun = fleet.entries[0].stream("/resumable/", "r1", &[]).await;
    let headers = [("last-event-id", "2"), ("resumes", "r1")];

    let other = &fleet.entries[1];
    let received = other.stream_for(OTHER_KEY, "/resumable/", "r2", &headers).await;

    assert_eq!(begun.status, StatusCode::OK);
    assert_eq!(received.status, StatusCode::SERVICE_UNAVAILABLE, "{received:?}");
}

/// Guards against a roll-out whose old arm holds two versions that streams are joined from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_keeps_its_version_within_the_old_arm_of_a_roll_out() {
    let fleet = VersionedFleet::start(1, TWO_VERSIONS, 1).await;
    let mut log = RolloutLog::default();
    let order = RolloutOrder { service: "pool".into(), to: "v2".into(), duration_ms: 60_000 };
    log.begin(&order, 0);
    let state = &fleet.entries[0].state;
    state.rollouts.confirm_leader(state.clock.now());
    state.apply_rollouts(RolloutRows::new(&log, 0.5));

    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.read_to_end(&format!("r{number}"), 0, 4, "resumes").await);
    }

    assert_all_whole(&streams);
}

/// Guards against streams of a version that is rolled back which go on elsewhere, or wait in vain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_a_version_that_is_rolled_back_is_refused() {
    let fleet = VersionedFleet::start(1, &["v1", "v1", "v2", "v2"], 2).await;
    let state = &fleet.entries[0].state;
    let mut log = RolloutLog::default();
    let order = RolloutOrder { service: "pool".into(), to: "v2".into(), duration_ms: 60_000 };
    log.begin(&order, 0);
    state.rollouts.confirm_leader(state.clock.now());
    state.apply_rollouts(RolloutRows::new(&log, 0.5));
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let mut stream = CallerStream::default();
        stream.add(fleet.entries[0].stream("/resumable/", &format!("r{number}"), &[]).await);
        begun.push(stream);
    }

    let event = Some(RolloutEvent::Condemned);
    log.step(&RolloutStep { service: "pool".into(), number: 1, event, elapsed_ms: 1, at: 1 });
    state.apply_rollouts(RolloutRows::new(&log, 0.5));
    for (number, stream) in begun.iter_mut().enumerate() {
        let (id, last) = (format!("r{number}"), stream.last_event().to_string());
        let headers = [("last-event-id", last.as_str()), ("resumes", id.as_str())];
        let own_id = format!("{id}-1");
        let received = fleet.entries[0].stream("/resumable/", &own_id, &headers).await;
        let is_absent = received.text.contains(AnswerKind::VersionAbsent.row().name);
        assert_eq!(is_absent, stream.versions.contains("v2"), "{received:?}");
        stream.add(received);
    }

    let new = begun.iter().filter(|stream| stream.versions.contains("v2")).count();
    assert!(new > 0, "no stream began on trial");
    for stream in &begun {
        let expected = if stream.versions.contains("v2") { 503 } else { 200 };
        assert_eq!((stream.versions.len(), stream.statuses[1]), (1, expected), "{stream:?}");
    }
}

/// Guards against a stream that changes its version as parts of it are passed on through peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_passed_on_through_peers_keeps_its_version() {
    let fleet = VersionedFleet::start(3, TWO_VERSIONS, 1).await;
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let address = dead.local_addr().expect("the socket has an address");
    drop(dead);
    let names: Vec<_> = (0..TWO_VERSIONS.len()).map(|number| format!("i-{number}")).collect();
    let rows: Vec<_> = names.iter().map(|name| (name.as_str(), address)).collect();
    fleet.entries[0].list_addresses(&rows);

    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.read_to_end(&format!("r{number}"), 0, 5, "resumes").await);
    }

    assert_all_whole(&streams);
}
