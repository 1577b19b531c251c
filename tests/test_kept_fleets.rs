//! Streams of sound upstreams end whole in fleets of daemons, while tables and lists of upstreams
//! change, upstreams fall silent, and retries and places run out.

use crate::routed_fleet::{
    DaemonRuntime, EngineAction, EventPace, KEY, ReceivedRequest, ReceivedStream, RoutedFleet,
    ScriptedEngine, document,
};
use futures_util::future::join_all;
use http::StatusCode;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use tarragonknot::policy::{RetryBound, RetryBudget};
use tarragonknot::upstream::{PlatformList, VmRow, VmState};
use tokio::sync::mpsc::UnboundedReceiver;

/// Seed of the orders and moments of the changes.
const SEED: u64 = 57_067;
/// Deadline of the callers and timeout of the routes, which no stream reaches.
const TIMEOUT_MS: &str = "30000";
/// Events of a whole stream.
const EVENTS: u64 = 24;
/// Events of a whole stream of a short play.
const SHORT_EVENTS: u64 = 12;
/// Streams of a play.
const STREAMS: usize = 100;
/// Streams of a short play, before those that it adds.
const SHORT_STREAMS: usize = 6;
/// Streams that a short play adds at a time.
const ADDED_STREAMS: usize = 4;
/// Number of short plays.
const SHORT_PLAYS: u64 = 48;
const ENGINES: usize = 12;
const SHORT_ENGINES: usize = 4;
/// Places of an engine that suffice for all streams of a play.
const ROOMY: u32 = 16;
/// Places of an engine with which half of the streams of a play wait.
const TIGHT: u32 = 4;
/// Time between two tables, in milliseconds.
const TABLE_PAUSE_MS: Range<u64> = 100..200;
/// Time by which a daemon applies a table later than the first one does, in milliseconds.
const TABLE_DELAY_MS: Range<u64> = 0..90;
/// Time between two changes of a short play, in milliseconds.
const STEP_PAUSE_MS: Range<u64> = 30..120;
/// Chance that a daemon misses a table, so that it goes on several versions behind.
const MISSED_TABLES: f64 = 0.3;

/// Retries that suffice for all streams of a play.
const SPARE_RETRIES: RetryBound = RetryBound { ratio: 1.0, slack: 10_000 };
/// No retries.
const NO_RETRIES: RetryBound = RetryBound { ratio: 0.0, slack: 0 };

/// Engines that stream evenly.
const STEADY: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: Duration::from_millis(15),
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};

/// What a table changes in the one under which the streams were admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableEdit {
    Original,
    MovedRoutes,
    DroppedRoutes,
    DroppedService,
    SplitRoutes,
    OtherKey,
    ShorterTimeout,
    LongerTimeout,
    ShorterGap,
    NotResumable,
    SafeKind,
    UnsafeKind,
}

const TABLE_EDITS: [TableEdit; 12] = [
    TableEdit::MovedRoutes,
    TableEdit::Original,
    TableEdit::DroppedRoutes,
    TableEdit::SplitRoutes,
    TableEdit::OtherKey,
    TableEdit::ShorterTimeout,
    TableEdit::DroppedService,
    TableEdit::LongerTimeout,
    TableEdit::ShorterGap,
    TableEdit::NotResumable,
    TableEdit::SafeKind,
    TableEdit::UnsafeKind,
];

impl TableEdit {
    fn document(self, version: u64, places: u32) -> String {
        let mut table: Value = serde_json::from_str(&document(version)).expect("it is JSON");
        table["services"][0]["engine"]["slots"] = places.into();
        let mut other = table["services"][0].clone();
        other["name"] = "other".into();
        let services = table["services"].as_array_mut().expect("services are a list");
        services.push(other);
        if self == TableEdit::DroppedService {
            services.remove(0);
        }
        if self == TableEdit::OtherKey {
            table["tenants"][0]["api_keys"] = vec!["another-key"].into();
        }
        let routes = table["routes"].as_array_mut().expect("routes are a list");
        if self == TableEdit::DroppedRoutes {
            routes.truncate(1);
        }
        routes.iter_mut().for_each(|row| self.change_route(row));
        table.to_string()
    }

    fn change_route(self, row: &mut Value) {
        row["timeout_ms"] = 30_000.into();
        match self {
            TableEdit::Original | TableEdit::DroppedRoutes | TableEdit::OtherKey => {}
            TableEdit::MovedRoutes | TableEdit::DroppedService => row["service"] = "other".into(),
            TableEdit::SplitRoutes => {
                let target = |service| serde_json::json!({"service": service, "weight": 1});
                row["backends"] = vec![target("pool"), target("other")].into();
            }
            TableEdit::ShorterTimeout => row["timeout_ms"] = 400.into(),
            TableEdit::LongerTimeout => row["timeout_ms"] = 60_000.into(),
            TableEdit::ShorterGap => row["gap_slo_ms"] = 5.into(),
            TableEdit::NotResumable => row["resumable"] = false.into(),
            TableEdit::SafeKind => row["kind"] = "safe".into(),
            TableEdit::UnsafeKind => row["kind"] = "unsafe".into(),
        }
    }
}

/// How an engine appears in the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Live,
    Leaving,
    Absent,
}

/// Daemons of a fleet, each with its own runtime, and their engines.
struct KeptFleet {
    daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    _runtimes: Vec<DaemonRuntime>,
    places: u32,
}

impl KeptFleet {
    async fn start(
        daemons: usize,
        engines: usize,
        places: u32,
        pace: impl Fn(usize) -> EventPace,
    ) -> Self {
        let mut scripted = Vec::new();
        for number in 0..engines {
            let pace = pace(number);
            let script = move |_, request: &ReceivedRequest| match request.head.starts_with("GET ")
            {
                true => EngineAction::Answer(200, "ok"),
                false => EngineAction::PacedEvents(pace),
            };
            let name = format!("i-{number}");
            scripted.push(ScriptedEngine::start_with_request(&name, script).await);
        }
        let runtimes: Vec<DaemonRuntime> = (0..daemons).map(|_| DaemonRuntime::new()).collect();
        let handles: Vec<_> = runtimes.iter().map(DaemonRuntime::handle).collect();
        let daemons = RoutedFleet::start_peers_on(&handles, &[]).await;
        let kept = KeptFleet { daemons, engines: scripted, _runtimes: runtimes, places };
        kept.apply_to_all(2, TableEdit::Original);
        kept.list(|_| Listing::Live);
        kept
    }

    fn set_retry_bound(&self, bound: RetryBound) {
        self.daemons.iter().for_each(|daemon| daemon.state.set_retry_bound(bound));
    }

    fn apply(&self, daemon: usize, version: u64, edit: TableEdit) {
        self.daemons[daemon].apply(version, &edit.document(version, self.places));
    }

    fn apply_to_all(&self, version: u64, edit: TableEdit) {
        (0..self.daemons.len()).for_each(|daemon| self.apply(daemon, version, edit));
    }

    fn list(&self, listing: impl Fn(usize) -> Listing) {
        let row = |number: usize, state| VmRow {
            service: "pool".into(),
            upstream: self.engines[number].name.as_str().into(),
            address: self.engines[number].address,
            state,
            incarnation: 0,
            places: Some(self.places),
            version: Some("v1".into()),
            data_centre: None,
            is_cold: false,
        };
        let rows = (0..self.engines.len()).filter_map(|number| match listing(number) {
            Listing::Live => Some(row(number, VmState::Live)),
            Listing::Leaving => Some(row(number, VmState::Leaving)),
            Listing::Absent => None,
        });
        let list = PlatformList { vms: rows.collect() };
        for daemon in &self.daemons {
            daemon.state.apply_platform_list(list.clone());
        }
    }

    /// Sends streams to the daemons in turn, every fourth one to a route that may not resume.
    async fn run(&self, numbers: Range<usize>) -> Vec<SentStream> {
        let streams = numbers.map(|number| {
            let path = if number % 4 == 3 { "/stream/a" } else { "/resumable/a" };
            self.send(number, number % self.daemons.len(), path)
        });
        join_all(streams).await
    }

    async fn send(&self, number: usize, daemon: usize, path: &'static str) -> SentStream {
        let id = format!("kept-{number}");
        let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];
        let received = self.daemons[daemon].stream_for(KEY, path, &id, &headers).await;
        SentStream { id, path, received }
    }

    /// Waits until the engines have received this many streams.
    async fn wait_for(&self, count: usize) {
        while self.engines.iter().map(ScriptedEngine::count).sum::<usize>() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Applies a series of tables, each at its own moment at each daemon, unless a daemon misses it.
    async fn apply_series(&self, mut rng: ChaCha8Rng) {
        for (at, edit) in TABLE_EDITS.into_iter().enumerate() {
            let version = 3 + at as u64;
            let delays: Vec<Option<u64>> = (0..self.daemons.len())
                .map(|_| {
                    (!rng.random_bool(MISSED_TABLES)).then(|| rng.random_range(TABLE_DELAY_MS))
                })
                .collect();
            let applied = delays.into_iter().enumerate().map(|(daemon, delay)| async move {
                let Some(delay) = delay else { return };
                tokio::time::sleep(Duration::from_millis(delay)).await;
                self.apply(daemon, version, edit);
            });
            let pause = Duration::from_millis(rng.random_range(TABLE_PAUSE_MS));
            tokio::join!(join_all(applied), tokio::time::sleep(pause));
        }
        self.apply_to_all(3 + TABLE_EDITS.len() as u64, TableEdit::Original);
    }

    /// Lists a third of the engines as leaving, then not at all, then as live again, in turn.
    async fn change_lists(&self) {
        for round in 0..8 {
            tokio::time::sleep(Duration::from_millis(150)).await;
            self.list(|number| match (number % 3, (number + round) % 3) {
                (0, 0) => Listing::Leaving,
                (0, 1) => Listing::Absent,
                _ => Listing::Live,
            });
        }
        self.list(|_| Listing::Live);
    }

    fn spend_retries(&self) {
        for daemon in &self.daemons {
            let spend = |budget: &mut RetryBudget| while budget.try_withdraw() {};
            daemon.state.with_retry_budget(&"pool".into(), spend);
        }
    }

    /// Number of sends of a stream to engines.
    fn sends(&self, id: &str) -> usize {
        let seen = |engine: &ScriptedEngine| {
            engine.seen().iter().filter(|request| request.id == id).count()
        };
        self.engines.iter().map(seen).sum()
    }

    /// Counts how the streams ended. Whole ones have each event once; refused ones were told
    /// truthfully that no engine has run them.
    fn verdicts(&self, streams: &[SentStream], events: u64) -> BTreeMap<StreamVerdict, usize> {
        let mut verdicts = BTreeMap::new();
        for stream in streams {
            let sends = self.sends(&stream.id);
            *verdicts.entry(stream.verdict(sends, events)).or_default() += 1;
        }
        verdicts
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StreamVerdict {
    Whole,
    /// Refused before it began, which no engine contradicts; with the status.
    Refused(u16),
    /// Refused although an engine had it; with the status.
    RefusedAfterSend(u16),
    /// Ended before its last event; with the events that the caller got.
    Cut(usize),
    /// It has an event twice or not in order.
    Disordered,
    /// It may run once only and was sent more often.
    SentTwice,
}

struct SentStream {
    id: String,
    path: &'static str,
    received: ReceivedStream,
}

impl SentStream {
    fn verdict(&self, sends: usize, events: u64) -> StreamVerdict {
        let ReceivedStream { status, text, is_whole } = &self.received;
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.map(|id| id.parse().expect("ids are numbers")).collect();
        if *status != StatusCode::OK {
            // These statuses tell callers that the request has not run.
            let is_truthful = sends == 0 && [401, 404, 503].contains(&status.as_u16());
            return match is_truthful {
                true => StreamVerdict::Refused(status.as_u16()),
                false => StreamVerdict::RefusedAfterSend(status.as_u16()),
            };
        }
        if !ids.iter().copied().eq(1..=ids.len() as u64) {
            return StreamVerdict::Disordered;
        }
        if self.path == "/stream/a" && sends > 1 {
            return StreamVerdict::SentTwice;
        }
        match *is_whole && ids.len() as u64 == events {
            true => StreamVerdict::Whole,
            false => StreamVerdict::Cut(ids.len()),
        }
    }
}

/// Asserts that every stream that began is whole, and that at least `begun` have begun.
#[track_caller]
fn assert_kept(verdicts: &BTreeMap<StreamVerdict, usize>, begun: usize) {
    let is_kept = |verdict: &StreamVerdict| {
        matches!(verdict, StreamVerdict::Whole | StreamVerdict::Refused(_))
    };
    assert!(verdicts.keys().all(is_kept), "streams were not kept: {verdicts:?}");
    let whole = verdicts.get(&StreamVerdict::Whole).copied().unwrap_or_default();
    assert!(whole >= begun, "too few streams began: {verdicts:?}");
}

/// Which engines fall silent, each once in each stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilentEngines {
    None,
    Some,
    All,
}

impl SilentEngines {
    fn pace(self, number: usize) -> EventPace {
        let time = Duration::from_millis([500, 1_300, 1_900, 2_400][number % 4]);
        match self {
            SilentEngines::None => STEADY,
            SilentEngines::Some if number.is_multiple_of(2) => STEADY,
            SilentEngines::Some => EventPace { silence: (3 + number as u64, time), ..STEADY },
            SilentEngines::All => {
                EventPace { silence: (8, Duration::from_millis(1_900)), ..STEADY }
            }
        }
    }
}

/// Guards against streams of sound upstreams being cut in fleets whose daemons have tables apart.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_kept_under_a_series_of_tables(
    #[values(1, 3, 7)] daemons: usize,
    #[values(SilentEngines::None, SilentEngines::Some, SilentEngines::All)] silent: SilentEngines,
    #[values(NO_RETRIES, SPARE_RETRIES)] retries: RetryBound,
) {
    let fleet = KeptFleet::start(daemons, ENGINES, ROOMY, |number| silent.pace(number)).await;
    fleet.set_retry_bound(retries);

    let (streams, ()) = tokio::join!(fleet.run(0..STREAMS), async {
        fleet.wait_for(STREAMS * 3 / 4).await;
        fleet.apply_series(ChaCha8Rng::seed_from_u64(SEED)).await;
    });

    assert_kept(&fleet.verdicts(&streams, EVENTS), STREAMS * 3 / 4);
}

/// Guards against streams of sound upstreams being cut while no place is free and the list of
/// upstreams changes.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_kept_without_free_places_under_changing_lists(
    #[values(1, 3, 7)] daemons: usize,
    #[values(SilentEngines::None, SilentEngines::Some, SilentEngines::All)] silent: SilentEngines,
    #[values(NO_RETRIES, SPARE_RETRIES)] retries: RetryBound,
) {
    let fleet = KeptFleet::start(daemons, ENGINES, TIGHT, |number| silent.pace(number)).await;
    fleet.set_retry_bound(retries);
    let begun = ENGINES * TIGHT as usize / 2;

    let (streams, ()) = tokio::join!(fleet.run(0..STREAMS), async {
        fleet.wait_for(begun).await;
        let series = fleet.apply_series(ChaCha8Rng::seed_from_u64(SEED + 1));
        tokio::join!(series, fleet.change_lists());
    });

    assert_kept(&fleet.verdicts(&streams, EVENTS), begun);
}

/// Guards against a fleet that starts under tables apart ending what it began, or returning to the
/// older table.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_kept_by_a_fleet_that_starts_under_tables_apart(
    #[values(1, 3, 7)] daemons: usize,
    #[values(SilentEngines::None, SilentEngines::All)] silent: SilentEngines,
    #[values(TableEdit::MovedRoutes, TableEdit::DroppedRoutes, TableEdit::DroppedService)]
    newer: TableEdit,
) {
    let fleet = KeptFleet::start(daemons, ENGINES, ROOMY, |number| silent.pace(number)).await;
    fleet.set_retry_bound(NO_RETRIES);
    let older: Vec<usize> = (0..daemons).step_by(2).collect();
    for daemon in 0..daemons {
        match older.contains(&daemon) {
            true => fleet.apply(daemon, 57, TableEdit::Original),
            false => fleet.apply(daemon, 67, newer),
        }
    }
    let begun = (0..STREAMS).filter(|number| older.contains(&(number % daemons))).count();
    let version = |daemon: &RoutedFleet| daemon.state.snapshot().version;

    let (streams, versions) = tokio::join!(fleet.run(0..STREAMS), async {
        fleet.wait_for(begun / 2).await;
        let mut versions = Vec::new();
        for daemon in older.iter().copied() {
            fleet.apply(daemon, 67, newer);
            tokio::time::sleep(Duration::from_millis(50)).await;
            fleet.apply(daemon, 57, TableEdit::Original);
            versions.extend(fleet.daemons.get(daemon).map(version));
        }
        versions
    });

    assert_kept(&fleet.verdicts(&streams, EVENTS), begun / 2);
    assert!(versions.iter().all(|version| *version == 67), "{versions:?}");
}

/// A change beside the streams of a short play.
#[derive(Clone, Copy, Debug)]
enum PlayStep {
    /// A table at one daemon.
    Table(TableEdit),
    /// An engine's state in the list of upstreams.
    List(usize, Listing),
    /// All retries are spent.
    Retry,
    /// More streams take places.
    Place,
    /// Time passes, in which engines send events.
    Event,
}

/// A short play in an order that follows from its seed.
struct ShortPlay {
    seed: u64,
    daemons: usize,
    places: u32,
    paces: Vec<EventPace>,
    steps: Vec<PlayStep>,
}

impl ShortPlay {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pace = |rng: &mut ChaCha8Rng| {
            let silence_ms = [0, 0, 600, 1_200, 1_400];
            let time = *silence_ms.choose(rng).expect("the list is not empty");
            let after = rng.random_range(1..SHORT_EVENTS);
            EventPace {
                last: SHORT_EVENTS,
                silence: (after, Duration::from_millis(time)),
                gap: Duration::from_millis(10),
                ..STEADY
            }
        };
        let paces = (0..SHORT_ENGINES).map(|_| pace(&mut rng)).collect();
        let mut edits = TABLE_EDITS.to_vec();
        edits.shuffle(&mut rng);
        let mut steps = vec![PlayStep::Retry, PlayStep::Place, PlayStep::Event, PlayStep::Event];
        steps.extend(edits.into_iter().take(6).map(PlayStep::Table));
        let listings = [Listing::Leaving, Listing::Absent, Listing::Live];
        steps.extend(listings.map(|listing| PlayStep::List(rng.random_range(0..2), listing)));
        steps.shuffle(&mut rng);
        let daemons = rng.random_range(1..=3);
        ShortPlay { seed, daemons, places: rng.random_range(2..=6), paces, steps }
    }

    async fn run(&self) -> BTreeMap<StreamVerdict, usize> {
        let pace = |number: usize| self.paces[number];
        let fleet = KeptFleet::start(self.daemons, SHORT_ENGINES, self.places, pace).await;
        fleet.set_retry_bound(RetryBound { ratio: 0.2, slack: 4 });
        let (mut streams, added) = tokio::join!(fleet.run(0..SHORT_STREAMS), async {
            fleet.wait_for(SHORT_STREAMS.min(self.places as usize * SHORT_ENGINES / 2)).await;
            self.take_steps(&fleet).await
        });
        streams.extend(added);
        fleet.verdicts(&streams, SHORT_EVENTS)
    }

    /// Takes the steps, and returns the streams that they added.
    async fn take_steps(&self, fleet: &KeptFleet) -> Vec<SentStream> {
        let (added, numbers) = tokio::sync::mpsc::unbounded_channel();
        let (sent, ()) = tokio::join!(send_added(fleet, numbers), async move {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed + 1);
            let mut listings = [Listing::Live; SHORT_ENGINES];
            let mut edits = vec![TableEdit::Original; self.daemons];
            for (at, step) in self.steps.iter().enumerate() {
                match *step {
                    PlayStep::Table(edit) => {
                        let daemon = rng.random_range(0..self.daemons);
                        edits[daemon] = edit;
                        fleet.apply(daemon, 3 + at as u64, edit);
                    }
                    PlayStep::List(engine, listing) => {
                        listings[engine] = listing;
                        fleet.list(|number| listings[number]);
                    }
                    PlayStep::Retry => fleet.spend_retries(),
                    PlayStep::Place => {
                        // A timeout that admits a stream may end it.
                        let is_long = |edit: &TableEdit| *edit != TableEdit::ShorterTimeout;
                        if let Some(daemon) = edits.iter().position(is_long) {
                            added.send(daemon).expect("the receiver is open");
                        }
                    }
                    PlayStep::Event => {}
                }
                let pause = Duration::from_millis(rng.random_range(STEP_PAUSE_MS));
                tokio::time::sleep(pause).await;
            }
        });
        sent
    }
}

/// Sends streams to each daemon that is received.
async fn send_added(fleet: &KeptFleet, mut daemons: UnboundedReceiver<usize>) -> Vec<SentStream> {
    let mut sent = Vec::new();
    while let Some(daemon) = daemons.recv().await {
        let first = SHORT_STREAMS + sent.len();
        let numbers = first..first + ADDED_STREAMS;
        let streams = numbers.map(|number| fleet.send(number, daemon, "/resumable/a"));
        sent.extend(join_all(streams).await);
    }
    sent
}

/// Guards against an order of events, silences, tables, lists, spent retries and taken places in
/// which a stream of a sound upstream is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_kept_in_any_order_of_changes() {
    let plays: Vec<ShortPlay> =
        (0..SHORT_PLAYS).map(|number| ShortPlay::new(SEED + number)).collect();

    let verdicts = join_all(plays.iter().map(ShortPlay::run)).await;

    let is_kept = |verdict: &StreamVerdict| {
        matches!(verdict, StreamVerdict::Whole | StreamVerdict::Refused(_))
    };
    let faults: Vec<String> = plays
        .iter()
        .zip(&verdicts)
        .filter(|(_, verdicts)| !verdicts.keys().all(is_kept))
        .map(|(play, verdicts)| format!("seed {}: {verdicts:?} after {:?}", play.seed, play.steps))
        .collect();
    let whole: usize = verdicts.iter().filter_map(|it| it.get(&StreamVerdict::Whole)).sum();
    assert!(faults.is_empty(), "{} of {SHORT_PLAYS} plays: {faults:#?}", faults.len());
    assert!(whole >= SHORT_PLAYS as usize, "too few streams began: {whole}");
}
