//! Pools whose service a table drops, or whose version a roll-out ends, while requests use them.

use crate::routed_fleet::{
    ConnectionEnd, EngineAction, EventPace, KEY, ReceivedStream, RoutedFleet, ScriptedEngine,
    document,
};
use http::StatusCode;
use rstest::rstest;
use serde_json::Value;
use slog::{Discard, Logger, o};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex, OnceLock, mpsc};
use std::time::Duration;
use tarragonknot::platform::{self, ContractFeatures};
use tarragonknot::policy::RetryBound;
use tarragonknot::table::{
    FaultList, OperatorTable, PrefixReuse, ServiceName, TableReader, VersionedTable,
};
use tarragonknot::traffic::{PlatformInterface, TrafficState};
use tarragonknot::upstream::{PlatformList, VmRow, VmState};

/// Places of an engine, as in the document and the list of [`RoutedFleet`].
const PLACES: usize = 4;
/// Events of a whole stream.
const EVENTS: u64 = 40;
/// Time within which a list is applied, generous even for a busy machine.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
const PACED: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: Duration::from_millis(15),
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};

/// A table in which all routes lead to another service and `pool` is gone.
fn without_pool(version: u64) -> String {
    let mut table: Value = serde_json::from_str(&document(version)).expect("it is JSON");
    table["services"][0]["name"] = "other".into();
    let routes = table["routes"].as_array_mut().expect("routes are a list");
    routes.iter_mut().for_each(|row| row["service"] = "other".into());
    table.to_string()
}

/// A table in which `pool` has a health check.
fn with_health_path(version: u64) -> String {
    document(version).replace(r#""name":"pool""#, r#""name":"pool","health_path":"/up""#)
}

async fn paced_engine(name: &str, pace: EventPace) -> ScriptedEngine {
    ScriptedEngine::start(name, move |_| EngineAction::PacedEvents(pace)).await
}

/// Sends as many streams as one engine has places.
async fn fill_places(fleet: &RoutedFleet) -> Vec<ReceivedStream> {
    let streams = (0..PLACES).map(|number| async move {
        fleet.stream("/resumable/a", &format!("first-{number}"), &[]).await
    });
    futures_util::future::join_all(streams).await
}

async fn wait_for(engine: &ScriptedEngine, count: usize) {
    while engine.count() < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn is_whole(stream: &ReceivedStream) -> bool {
    let ids = stream.text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("ids are numbers")).collect();
    stream.status == StatusCode::OK && stream.is_whole && ids.into_iter().eq(1..=EVENTS)
}

/// Guards against a pool that gets no ticks, lists and floors any more while a request uses it, and
/// against one that is kept for ever.
#[tokio::test]
async fn a_dropped_service_keeps_its_pool_while_a_stream_runs() {
    let engine = paced_engine("i-1", PACED).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let pool: ServiceName = "pool".into();

    let (streams, while_running) = tokio::join!(fill_places(&fleet), async {
        wait_for(&engine, PLACES).await;
        fleet.apply(2, &without_pool(2));
        let refused = fleet.call("/safe/a", "later").await.status;
        let status = fleet.state.pools().get(&pool).map(|pool| pool.status());
        (refused, status.map(|status| (status.running, status.live)))
    });
    while fleet.state.pools().contains_key(&pool) {
        fleet.state.release_idle_pools();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    assert!(streams.iter().all(is_whole), "{streams:?}");
    assert_eq!(while_running, (StatusCode::SERVICE_UNAVAILABLE, Some((PLACES, 1))));
    assert_eq!(engine.count(), PLACES);
}

/// Guards against an engine's places being given out twice when its service returns to the table.
#[tokio::test]
async fn a_service_that_returns_counts_the_streams_that_run() {
    let engine = paced_engine("i-1", PACED).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let (streams, (whole, at_once)) = tokio::join!(fill_places(&fleet), async {
        wait_for(&engine, PLACES).await;
        fleet.apply(2, &without_pool(2));
        fleet.apply(3, &document(3));
        let next = fleet.stream("/resumable/a", "next", &[]);
        let placed_at_once = async {
            let pool: ServiceName = "pool".into();
            while fleet.state.pools().get(&pool).is_none_or(|pool| pool.status().waiting == 0)
                && engine.count() == PLACES
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            engine.count() - PLACES
        };
        tokio::join!(next, placed_at_once)
    });

    assert_eq!(at_once, 0, "sent to an engine without a free place");
    assert!(streams.iter().chain([&whole]).all(is_whole), "{streams:?}, {whole:?}");
}

/// Guards against a daemon that tells its peers nothing of the places that the streams of a dropped
/// service take, while they still have the service.
#[tokio::test]
async fn peers_count_the_streams_of_a_service_that_is_dropped_here() {
    let long = EventPace { last: 200, ..PACED };
    let engine = paced_engine("i-1", long).await;
    let fleets = RoutedFleet::start_peers(2, &[&engine]).await;
    let pool: ServiceName = "pool".into();
    let peer_work = || {
        let pools = fleets[1].state.pools();
        pools[&pool]
            .inspect(|it| it.upstreams().iter().map(|it| it.peer_work.requests).sum::<u32>())
    };

    let observe = async {
        while peer_work() < PLACES as u32 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleets[0].apply(2, &without_pool(2));
        // Longer than peers rely on a report, shorter than the streams.
        tokio::time::sleep(Duration::from_millis(700)).await;
        peer_work()
    };
    let (_, counted) = tokio::join!(fill_places(&fleets[0]), observe);

    assert_eq!(counted, PLACES as u32);
}

/// Guards against the end of a stream being judged by another path than the service's health check
/// once a table has dropped the service.
#[tokio::test]
async fn a_dropped_service_is_probed_at_its_health_path() {
    let probes = Arc::new(Mutex::new(Vec::new()));
    let daemon: Arc<OnceLock<Arc<TrafficState>>> = Arc::default();
    let (log, known) = (Arc::clone(&probes), Arc::clone(&daemon));
    let engine = ScriptedEngine::start_with_request("i-1", move |_, request| {
        if request.head.starts_with("GET ") {
            log.lock().expect("no holder of the lock panics").push(request.path.clone());
            return EngineAction::Answer(200, "ok");
        }
        let state = known.get().expect("the daemon has started");
        state.apply_table(&VersionedTable::from_document(2, &Arc::from(without_pool(2))));
        let head = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
                    tarragonknot-server-seal: seal-1\r\ncontent-type: text/event-stream\r\n\
                    connection: close\r\n\r\nid: 1\ndata: piece 1\n\n";
        EngineAction::Raw(head.to_owned(), ConnectionEnd::Close)
    })
    .await;
    let fleet = RoutedFleet::without_table(&[&engine]).await;
    fleet.apply(1, &with_health_path(1));
    assert!(daemon.set(Arc::clone(&fleet.state)).is_ok());

    let stream = fleet.stream("/resumable/a", "r", &[]).await;

    assert!(stream.is_whole, "{stream:?}");
    let probes = probes.lock().expect("no holder of the lock panics").clone();
    assert_eq!(probes, ["/up"]);
}

/// Guards against a stream that its upstream breaks off not being resumed because a table has
/// dropped its service meanwhile.
#[rstest]
#[tokio::test]
async fn a_broken_stream_of_a_dropped_service_is_resumed(#[values(false, true)] returns: bool) {
    let broken = paced_engine("i-1", EventPace { breaks_after: 20, ..PACED }).await;
    let sound = paced_engine("i-2", PACED).await;
    let fleet = RoutedFleet::start(&[&broken, &sound]).await;
    fleet.state.set_retry_bound(RetryBound { ratio: 1.0, slack: 100 });

    let (streams, ()) = tokio::join!(fill_places(&fleet), async {
        while broken.count() + sound.count() < PLACES {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.apply(2, &without_pool(2));
        if returns {
            fleet.apply(3, &document(3));
        }
    });

    assert!(broken.count() > 0, "no stream broke off");
    let whole = streams.iter().filter(|stream| is_whole(stream)).count();
    assert_eq!(whole, PLACES, "{streams:?}");
}

/// Guards against an older list that replaces a newer one in the pools when both are applied at once.
#[tokio::test]
async fn the_last_list_holds_when_lists_are_applied_at_once() {
    let fleet = RoutedFleet::start(&[]).await;
    let list = |number: usize| {
        let row = |index: usize| VmRow {
            service: "pool".into(),
            upstream: format!("i-{index}").as_str().into(),
            address: ([127, 0, 0, 1], 1 + index as u16).into(),
            state: VmState::Live,
            incarnation: 0,
            places: Some(4),
            version: Some("v1".into()),
            data_centre: None,
            is_cold: false,
        };
        PlatformList { vms: (number * 50..number * 50 + 50).map(row).collect() }
    };
    let stale = AtomicUsize::new(0);
    let barrier = Barrier::new(2);

    std::thread::scope(|scope| {
        let apply = |number: usize| {
            let (fleet, barrier, stale) = (&fleet, &barrier, &stale);
            move || {
                for _ in 0..500 {
                    barrier.wait();
                    fleet.state.apply_platform_list(list(number));
                    barrier.wait();
                    let pools = fleet.state.pools();
                    let known = pools[&ServiceName::from("pool")].usable_or_suspect();
                    let listed = fleet.state.platform_list();
                    let is_listed = |name| listed.vms.iter().any(|row| row.upstream == name);
                    let is_stale = known.into_iter().any(|(_, name, _)| !is_listed(name));
                    stale.fetch_add(usize::from(is_stale), Ordering::Relaxed);
                }
            }
        };
        scope.spawn(apply(0));
        scope.spawn(apply(1));
    });

    assert_eq!(stale.into_inner(), 0);
}

/// Guards against an older timeout or deadline being replaced by that of a table which comes while
/// the request runs.
#[rstest]
#[case::shorter(3_000, 300, true)]
#[case::longer(300, 3_000, false)]
#[tokio::test]
async fn a_request_keeps_the_timeout_that_admitted_it(
    #[case] first_ms: u64,
    #[case] then_ms: u64,
    #[case] is_kept: bool,
    #[values("/resumable/a", "/stream/a", "/safe/a", "/unsafe/a")] path: &str,
) {
    let timeout = |version, time: u64| {
        document(version).replace("\"timeout_ms\":3000", &format!("\"timeout_ms\":{time}"))
    };
    let engine = paced_engine("i-1", PACED).await;
    let fleet = RoutedFleet::without_table(&[&engine]).await;
    fleet.apply(1, &timeout(1, first_ms));

    let (stream, ()) = tokio::join!(fleet.stream_for(KEY, path, "r", &[]), async {
        wait_for(&engine, 1).await;
        fleet.apply(2, &timeout(2, then_ms));
    });

    assert_eq!(is_whole(&stream), is_kept, "{stream:?}");
}

/// Guards against a request that is passed on being ended by the timeout in its peer's table.
#[rstest]
#[case::shorter(300, true)]
#[case::longer(9_000, true)]
#[tokio::test]
async fn a_request_that_is_passed_on_keeps_the_timeout_that_admitted_it(
    #[case] peer_ms: u64,
    #[case] is_kept: bool,
) {
    let engine = paced_engine("i-1", PACED).await;
    let fleets = RoutedFleet::start_peers(2, &[&engine]).await;
    fleets[0].list(&[], VmState::Live);
    let table = document(2).replace("\"timeout_ms\":3000", &format!("\"timeout_ms\":{peer_ms}"));
    fleets[1].apply(2, &table);

    let stream = fleets[0].stream("/resumable/a", "r", &[]).await;

    assert_eq!(is_whole(&stream), is_kept, "{stream:?}");
}

/// A reader of tables that waits before it returns.
struct SlowReader {
    reader: Arc<dyn TableReader>,
    begun: Mutex<mpsc::Sender<()>>,
    may_return: Mutex<mpsc::Receiver<()>>,
}

impl TableReader for SlowReader {
    fn read(&self, document: &str) -> Result<(u64, OperatorTable), FaultList> {
        self.begun.lock().expect("no holder panics").send(()).expect("the test waits");
        let _ = self.may_return.lock().expect("no holder panics").recv();
        self.reader.read(document)
    }
}

/// Guards against lists that wait while a large table is read.
#[test]
fn a_list_is_applied_while_a_table_is_being_read() {
    let (begun, has_begun) = mpsc::channel();
    let (allow, may_return) = mpsc::channel();
    let PlatformInterface { reader, dialect } =
        platform::interface(ContractFeatures::default(), PrefixReuse::Off);
    let (begun, may_return) = (Mutex::new(begun), Mutex::new(may_return));
    let reader = Arc::new(SlowReader { reader, begun, may_return });
    let state = TrafficState::new("entry".into(), Logger::root(Discard, o!()), 7);
    state.set_interface(PlatformInterface { reader, dialect });
    let table = VersionedTable::from_document(1, &Arc::from(document(1)));
    let other = Arc::clone(&state);
    let reading = std::thread::spawn(move || other.apply_table(&table));
    has_begun.recv().expect("the table is being read");

    let (applied, is_applied) = mpsc::channel();
    let other = Arc::clone(&state);
    let listing = std::thread::spawn(move || {
        other.apply_platform_list(PlatformList::default());
        applied.send(()).expect("the test waits");
    });

    let result = is_applied.recv_timeout(LIST_TIMEOUT);
    drop(allow);
    listing.join().expect("the list is applied");
    reading.join().expect("the table is applied");
    assert!(result.is_ok(), "the list waited for the table");
    assert_eq!(state.snapshot().version, 1);
}
