//! What refusals say about the execution of their request: `ran: no` only where no upstream can
//! have received it.

use crate::fixtures::{AGENTS_KEY, SmallFleet, small_fleet, small_fleet_with_log, small_table};
use crate::workdir::free_address;
use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, Path, Request, State};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarragonknot::answer::{AnswerKind, ExecutionStatus, ProblemBody};
use tarragonknot::claim::{
    ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimRegistry, ClaimReply,
};
use tarragonknot::control::{
    ClaimClient, ClaimClientSettings, FleetKey, KnownVoters, LeaderAnswer, LeaderHint,
};
use tarragonknot::policy::{
    Exchange, ExchangeEvent, Moment, RequestState, UpstreamHash, UpstreamIndex,
};
use tarragonknot::quarantine::{CrashEvidence, RequestContent, RequestFingerprint, SuspectKeys};
use tarragonknot::table::VersionedTable;
use tarragonknot::upstream::{
    ConnectionPool, EngineDriver, PieceRead, PlainDriver, UpstreamCall, UpstreamDriver,
};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// Header of the answers that the daemon makes itself.
const RAN_HEADER: &str = "tarragonknot-ran";
const CHAT_PATH: &str = "/v1/chat/completions";

/// Serves `router` on a free loopback port until the runtime shuts down.
async fn start_upstream(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    tokio::spawn(async move { axum::serve(listener, service).await });
    address
}

/// A small fleet whose engine and plain service listen on `address`, and whose streams may pause.
async fn fleet_at(address: SocketAddr) -> SmallFleet {
    small_fleet(|table| {
        table.upstreams.iter_mut().for_each(|row| row.address = address);
        table.services.iter_mut().for_each(|row| row.silence_ms = Duration::from_secs(60));
    })
    .await
}

/// Sends a request with the key of `agents` and these further headers.
async fn send(
    fleet: &SmallFleet,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response<Incoming> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", fleet.front.address);
    let mut request = http::Request::builder().method(method).uri(uri);
    request = request.header("authorization", format!("Bearer {AGENTS_KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_owned())).unwrap();
    client.request(request).await.expect("the request gets a response")
}

struct CallerAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

impl CallerAnswer {
    fn problem(&self) -> ProblemBody {
        serde_json::from_str(&self.body).expect("the body is a problem document")
    }

    fn ran_header(&self) -> Option<&str> {
        self.headers.get(RAN_HEADER).map(|value| value.to_str().unwrap())
    }
}

/// Sends a request and reads its whole answer.
async fn call(
    fleet: &SmallFleet,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerAnswer {
    let (head, body) = send(fleet, method, path, headers, body).await.into_parts();
    let body = body.collect().await.expect("the answer is complete").to_bytes();
    CallerAnswer {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

fn chat(stream: bool) -> String {
    format!(r#"{{"model":"pack-llm","stream":{stream},"messages":[]}}"#)
}

fn id_of(headers: &HeaderMap) -> String {
    headers.get("x-request-id").map_or("", |id| id.to_str().unwrap()).to_owned()
}

/// An event stream that sends `events` events and breaks off at `cut`.
fn cut_stream(id: &str, events: u64, cut: Arc<Notify>) -> Response<Body> {
    let id = id.to_owned();
    let sent =
        (1..=events).map(move |number| format!("id: {number}\ndata: {{\"id\":\"{id}\"}}\n\n"));
    let end = async move {
        cut.notified().await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    };
    let frames = stream::iter(sent.map(Ok)).chain(stream::once(end));
    let mut response = Response::new(Body::from_stream(frames));
    response.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
    response
}

/// An engine that breaks off its answers after `events` events, at `cut`, and answers requests to
/// resume them with `status`.
async fn engine_that_refuses_resumes(events: u64, cut: Arc<Notify>, status: u16) -> SocketAddr {
    let run = move |headers: HeaderMap| async move { cut_stream(&id_of(&headers), events, cut) };
    let status = StatusCode::from_u16(status).unwrap();
    let resume = move || async move { (status, r#"{"error":"busy"}"#) };
    let router = Router::new()
        .route(CHAT_PATH, post(run))
        .route("/v1/requests/{id}", get(resume).delete(|| async { StatusCode::NO_CONTENT }));
    start_upstream(router).await
}

/// Guards against taking the refusal of a resume request for the answer to the request itself,
/// which has run.
#[rstest]
#[tokio::test]
async fn a_refused_resume_is_not_the_answer(#[values(408, 421, 429, 500, 503)] status: u16) {
    let cut = Arc::new(Notify::new());
    cut.notify_one();
    let fleet = fleet_at(engine_that_refuses_resumes(0, cut, status).await).await;

    let answer = call(&fleet, Method::POST, CHAT_PATH, &[], &chat(false)).await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let problem = answer.problem();
    assert_eq!((problem.kind, problem.ran), (AnswerKind::UpstreamLost, ExecutionStatus::Unknown));
}

/// Guards against ending a truncated stream as complete when the answer to its resume request is
/// not the rest of the stream.
#[rstest]
#[tokio::test]
async fn a_stream_that_is_not_resumed_is_cut(#[values(200, 503)] status: u16) {
    let cut = Arc::new(Notify::new());
    let fleet = fleet_at(engine_that_refuses_resumes(1, Arc::clone(&cut), status).await).await;

    let mut answer = send(&fleet, Method::POST, CHAT_PATH, &[], &chat(true)).await;
    answer.frame().await.expect("the first event").expect("the first event");
    cut.notify_one();
    let rest = answer.collect().await;

    assert!(rest.is_err(), "{rest:?}");
}

/// Guards against a stream that goes on at the successor of its engine, which may write it at another
/// version.
#[rstest]
#[case::same(1, true)]
#[case::successor(2, false)]
#[tokio::test]
async fn a_stream_is_resumed_only_at_the_engine_that_began_it(
    #[case] incarnation: u64,
    #[case] goes_on: bool,
) {
    let cut = Arc::new(Notify::new());
    let run = {
        let cut = Arc::clone(&cut);
        move |headers: HeaderMap| async move { cut_stream(&id_of(&headers), 1, cut) }
    };
    let resume = |Path(id): Path<String>| async move {
        let event = format!("id: 2\ndata: {{\"id\":\"{id}\"}}\n\nid: 3\ndata: [DONE]\n\n");
        ([("content-type", "text/event-stream")], event)
    };
    let router = Router::new()
        .route(CHAT_PATH, post(run))
        .route("/v1/requests/{id}", get(resume).delete(|| async { StatusCode::NO_CONTENT }));
    let address = start_upstream(router).await;
    let fleet = small_fleet(|table| {
        table.upstreams.iter_mut().for_each(|row| (row.address, row.incarnation) = (address, 1));
        table.services.iter_mut().for_each(|row| row.silence_ms = Duration::from_secs(60));
    })
    .await;
    let mut table = fleet.table.clone();
    table.upstreams.iter_mut().for_each(|row| row.incarnation = incarnation);

    let mut answer = send(&fleet, Method::POST, CHAT_PATH, &[], &chat(true)).await;
    answer.frame().await.expect("the first event").expect("the first event");
    fleet.state.apply_table(&VersionedTable::new(2, table));
    cut.notify_one();
    let rest = answer.collect().await;

    assert_eq!(rest.is_ok(), goes_on, "{rest:?}");
}

const EXCHANGE_EVENTS: &[ExchangeEvent<'static>] = &[
    ExchangeEvent::Placed(UpstreamIndex(0)),
    ExchangeEvent::Refused(AnswerKind::Overloaded),
    ExchangeEvent::NotSent,
    ExchangeEvent::Opened,
    ExchangeEvent::Head { echo: None },
    ExchangeEvent::Head { echo: Some("other") },
    ExchangeEvent::Piece { sequence: 1, echo: None },
    ExchangeEvent::Piece { sequence: 3, echo: None },
    ExchangeEvent::Ended,
    ExchangeEvent::Cut,
    ExchangeEvent::Silent,
    ExchangeEvent::Switched,
    ExchangeEvent::ResumeRefused,
    ExchangeEvent::CallerLeft,
    ExchangeEvent::Deadline,
];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(4_000)
    })]

    /// Guards against an order of events in which a request that was sent ends as not run.
    #[test]
    fn no_order_of_events_ends_a_sent_request_as_not_run(
        order in proptest::collection::vec(0..EXCHANGE_EVENTS.len(), 0..24),
        is_resumable in any::<bool>(),
    ) {
        let mut exchange = Exchange::new("a", is_resumable);
        let mut was_sent = false;
        for idx in order {
            exchange.handle(EXCHANGE_EVENTS[idx], Moment(0));
            was_sent |= exchange.state() == RequestState::Sent;
            if was_sent {
                prop_assert_ne!(exchange.state(), RequestState::Waiting);
                prop_assert_ne!(exchange.state(), RequestState::Refused);
                prop_assert_ne!(exchange.failure().row().ran, ExecutionStatus::No);
            }
        }
    }
}

/// A drain that panics on one message, as a fault in the middle of an exchange.
struct PanickingDrain(&'static str);

impl Drain for PanickingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        assert_ne!(record.msg().to_string(), self.0, "the fault of this test");
        Ok(())
    }
}

/// Guards against the answer `internal`, `ran: no`, after a panic in the exchange of a request that
/// was sent.
#[tokio::test]
async fn a_panic_after_the_dispatch_is_not_reported_as_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = Logger::root(PanickingDrain("upstream gave no answer"), o!());
    let fleet = small_fleet_with_log(log, |table| {
        table.upstreams.iter_mut().for_each(|row| row.address = address);
    })
    .await;
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        stream.readable().await.unwrap();
    });

    let answer = call(&fleet, Method::POST, "/pack-api/slots", &[], "van").await;

    assert_eq!(answer.problem().ran, ExecutionStatus::Unknown);
}

/// Guards against ending an answer as complete after a panic in the middle of it.
#[tokio::test]
async fn a_panic_in_mid_stream_cuts_the_answer() {
    let cut = Arc::new(Notify::new());
    let address = engine_that_refuses_resumes(1, Arc::clone(&cut), 503).await;
    let log = Logger::root(PanickingDrain("stream interrupted, resuming"), o!());
    let fleet = small_fleet_with_log(log, |table| {
        table.upstreams.iter_mut().for_each(|row| row.address = address);
        table.services.iter_mut().for_each(|row| row.silence_ms = Duration::from_secs(60));
    })
    .await;

    let mut answer = send(&fleet, Method::POST, CHAT_PATH, &[], &chat(true)).await;
    answer.frame().await.expect("the first event").expect("the first event");
    cut.notify_one();
    let rest = answer.collect().await;

    assert!(rest.is_err(), "{rest:?}");
}

/// A leader that grants all claims once `is_open`, and records the commands.
struct LeaderStandin {
    commands: Mutex<Vec<ClaimCommand>>,
    is_open: watch::Sender<bool>,
}

impl LeaderStandin {
    fn commands(&self) -> Vec<ClaimCommand> {
        self.commands.lock().unwrap().clone()
    }

    fn outcome(&self) -> Option<ClaimOutcome> {
        self.commands().into_iter().find_map(|command| match command {
            ClaimCommand::Settle { outcome, .. } => Some(outcome),
            ClaimCommand::Acquire { .. } => None,
        })
    }
}

async fn start_leader(fleet: &SmallFleet) -> (Arc<LeaderStandin>, ServerHandle) {
    let leader =
        Arc::new(LeaderStandin { commands: Mutex::default(), is_open: watch::Sender::new(false) });
    let mut module = RpcModule::new(Arc::clone(&leader));
    module
        .register_async_method("control_claims", |params, leader, _| async move {
            let commands: Vec<ClaimCommand> = params.sequence().next()?;
            leader.commands.lock().unwrap().extend(commands.clone());
            let _ = leader.is_open.subscribe().wait_for(|is_open| *is_open).await;
            let replies = commands.iter().map(|command| match command {
                ClaimCommand::Acquire { .. } => ClaimReply::Granted,
                ClaimCommand::Settle { .. } => ClaimReply::Settled,
            });
            Ok::<_, ErrorObjectOwned>(LeaderAnswer::Done(replies.collect::<Vec<ClaimReply>>()))
        })
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    fleet.state.set_claims(ClaimClient::start(ClaimClientSettings {
        voters: KnownVoters::new(vec![address]),
        key: FleetKey::unprotected(),
        hint: LeaderHint::default(),
    }));
    (leader, server.start(module))
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a key that stays claimed as unknown although its request was refused as not run:
/// the service is removed while the claim is being recorded.
#[tokio::test]
async fn a_claim_of_a_removed_service_is_settled_as_not_run() {
    let fleet = Arc::new(small_fleet(|_| {}).await);
    let (leader, _server) = start_leader(&fleet).await;
    let caller = Arc::clone(&fleet);
    let headers = [("idempotency-key", "booking-1")];
    let answer = tokio::spawn(async move {
        call(&caller, Method::POST, "/pack-api/slots", &headers, "van").await
    });
    wait_until(|| !leader.commands().is_empty()).await;

    let mut table = small_table();
    table.services.retain(|row| row.service.as_str() != "pack-api");
    fleet.state.apply_table(&VersionedTable::new(2, table));
    leader.is_open.send_replace(true);
    let answer = answer.await.unwrap();
    wait_until(|| leader.outcome().is_some()).await;

    assert_eq!(answer.problem().ran, ExecutionStatus::No);
    assert_eq!(leader.outcome(), Some(ClaimOutcome::NotRun));
    assert!(fleet.service.runs().is_empty());
}

/// Connections on which a stand-in has answered requests or load reports.
#[derive(Default)]
struct SeenConnections {
    requests: Mutex<BTreeSet<SocketAddr>>,
    reports: Mutex<BTreeSet<SocketAddr>>,
    reuses: Mutex<u32>,
}

/// Answers the first request on each connection with its id; later ones with 503 and no id, like a
/// late copy of the reply to another call.
async fn answer_once_by_id(
    State(seen): State<Arc<SeenConnections>>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    request: Request,
) -> Response<Body> {
    if request.uri().path() == "/load" {
        seen.reports.lock().unwrap().insert(peer);
        return r#"{"named_metrics":{"running":0}}"#.into_response();
    }
    if !seen.requests.lock().unwrap().insert(peer) {
        *seen.reuses.lock().unwrap() += 1;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let id = id_of(request.headers());
    ([("x-request-id", id.clone())], format!(r#"{{"id":"{id}"}}"#)).into_response()
}

async fn start_forgetful_upstream() -> (Arc<SeenConnections>, SocketAddr) {
    let seen = Arc::new(SeenConnections::default());
    let router = Router::new().fallback(answer_once_by_id).with_state(Arc::clone(&seen));
    (seen, start_upstream(router).await)
}

/// Guards against passing on a late copy of another call's reply: it names no request, and earlier
/// answers on its connection did.
#[tokio::test]
async fn an_answer_without_an_id_on_a_reused_connection_is_not_passed_on() {
    let (seen, address) = start_forgetful_upstream().await;
    let fleet = fleet_at(address).await;

    let mut answer = call(&fleet, Method::GET, "/pack-api/slots", &[], "").await;
    while *seen.reuses.lock().unwrap() == 0 {
        assert_eq!(answer.status, StatusCode::OK);
        answer = call(&fleet, Method::GET, "/pack-api/slots", &[], "").await;
    }

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.problem().ran, ExecutionStatus::Unknown);
}

/// Plain services need not return the id.
#[tokio::test]
async fn answers_of_a_service_that_returns_no_ids_are_passed_on() {
    let fleet = fleet_at(start_upstream(Router::new().fallback(|| async { "ok" })).await).await;

    for _ in 0..3 {
        let answer = call(&fleet, Method::GET, "/pack-api/slots", &[], "").await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "ok"));
    }
}

fn upstream_call(uri: &'static str) -> UpstreamCall {
    UpstreamCall {
        id: "request-1".into(),
        method: Method::POST,
        uri: Uri::from_static(uri),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        wants_stream: false,
        is_idempotent: true,
    }
}

async fn wait_for_report(driver: &dyn UpstreamDriver, address: SocketAddr) {
    while driver.report(address).await.is_none() {}
}

#[rstest]
#[case::engine(|connections| Arc::new(EngineDriver::new(connections)) as Arc<dyn UpstreamDriver>)]
#[case::plain(|connections| Arc::new(PlainDriver::new(connections)) as Arc<dyn UpstreamDriver>)]
#[tokio::test]
async fn load_reports_share_no_connection_with_requests(
    #[case] driver: fn(Arc<ConnectionPool>) -> Arc<dyn UpstreamDriver>,
) {
    let (seen, address) = start_forgetful_upstream().await;
    let driver = driver(Arc::default());

    wait_for_report(&*driver, address).await;
    let mut answer = driver.open(&upstream_call("/v1/completions"), address).await.unwrap();
    while matches!(answer.pieces.next().await, PieceRead::Piece(_)) {}
    wait_for_report(&*driver, address).await;

    let requests = seen.requests.lock().unwrap().clone();
    let reports = seen.reports.lock().unwrap().clone();
    assert!(requests.is_disjoint(&reports), "{requests:?} {reports:?}");
}

/// Guards against taking an upstream's own problem document for a refusal of the daemon.
#[tokio::test]
async fn an_upstream_cannot_answer_as_the_daemon() {
    let problem = r#"{"type":"urn:tarragonknot:overloaded","kind":"overloaded","ran":"no"}"#;
    let answer = (StatusCode::SERVICE_UNAVAILABLE, [(RAN_HEADER, "no")], problem);
    let router = Router::new().fallback(move || async move { answer });
    let fleet = fleet_at(start_upstream(router).await).await;

    let answer = call(&fleet, Method::POST, "/pack-api/slots", &[], "van").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.ran_header(), None);
    assert_eq!(answer.body, problem);
}

#[rstest]
#[case::before_admission("/nothing/x", "no")]
#[case::after_the_dispatch("/pack-api/slots", "unknown")]
#[tokio::test]
async fn a_refusal_of_the_daemon_is_marked(#[case] path: &str, #[case] ran: &str) {
    let cut = Arc::new(Notify::new());
    cut.notify_one();
    let reset = move || async move { cut_stream("", 0, cut) };
    let fleet = fleet_at(start_upstream(Router::new().fallback(reset)).await).await;

    let answer = call(&fleet, Method::POST, path, &[], "van").await;

    assert_eq!(answer.ran_header(), Some(ran));
}

fn acquire(request: &str, timestamp_ms: u64) -> ClaimCommand {
    ClaimCommand::Acquire {
        key: ClaimKey { organisation: "agents".into(), key: "booking-1".to_owned() },
        digest: "digest".to_owned(),
        owner: owner(request),
        timestamp_ms,
        ttl_ms: 1_000,
    }
}

fn owner(request: &str) -> ClaimOwner {
    ClaimOwner { daemon: "entry-1".into(), boot: 1, request: request.to_owned() }
}

/// An unsettled claim is held until its lifetime ends, and forgotten then.
#[rstest]
#[case::before_its_end(999, ClaimReply::Running(owner("first")))]
#[case::at_its_end(1_000, ClaimReply::Granted)]
fn a_running_claim_is_held_for_its_lifetime(#[case] at: u64, #[case] expected: ClaimReply) {
    let mut registry = ClaimRegistry::default();
    registry.apply(&acquire("first", 0));

    let reply = registry.apply(&acquire("second", at));

    assert_eq!(reply, expected);
}

/// Guards against a key that is free again while its first request may still be answered: the
/// lifetime of a claim has to begin at the deadline of its request.
#[tokio::test]
async fn a_claim_outlives_the_deadline_of_its_request() {
    let life = Duration::from_secs(24 * 3_600);
    let fleet =
        small_fleet(|table| table.services.iter_mut().for_each(|row| row.claim_life_ms = life))
            .await;
    let (leader, _server) = start_leader(&fleet).await;
    leader.is_open.send_replace(true);
    let headers = [("idempotency-key", "booking-1"), ("tarragonknot-deadline-ms", "3600000")];

    call(&fleet, Method::POST, "/pack-api/slots", &headers, "van").await;

    let commands = leader.commands();
    let ClaimCommand::Acquire { ttl_ms, .. } = &commands[0] else { panic!("{commands:?}") };
    assert!(u128::from(*ttl_ms) > life.as_millis(), "{ttl_ms}");
}

#[test]
fn a_withdrawn_claim_is_not_granted_to_its_delayed_acquisition() {
    let mut registry = ClaimRegistry::default();
    let key = ClaimKey { organisation: "agents".into(), key: "booking-1".to_owned() };
    let outcome = ClaimOutcome::NotRun;
    registry.apply(&ClaimCommand::Settle { key, owner: owner("first"), outcome });

    let delayed = registry.apply(&acquire("first", 10));
    let other = registry.apply(&acquire("second", 20));

    assert_eq!((delayed, other), (ClaimReply::Withdrawn, ClaimReply::Granted));
}

/// What the plain service does with a request.
#[derive(Clone, Copy)]
enum ServiceFault {
    Unreachable,
    ClosesUnread,
    ClosesInMidAnswer,
    Answers503,
}

async fn start_faulty_service(fault: ServiceFault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().fallback(move || async move {
        let cut = Arc::new(Notify::new());
        cut.notify_one();
        match fault {
            ServiceFault::Answers503 => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            _ => cut_stream("", 1, cut),
        }
    });
    match fault {
        ServiceFault::Unreachable => return free_address(),
        ServiceFault::ClosesUnread => drop(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.readable().await;
            }
        })),
        _ => drop(tokio::spawn(async move { axum::serve(listener, router).await })),
    }
    address
}

/// The answer and the outcome of the claim agree, and `no` stands only where nothing was sent.
#[rstest]
#[case::unreachable(ServiceFault::Unreachable, "300", Some("no"), "not-run")]
#[case::closes_unread(ServiceFault::ClosesUnread, "60000", Some("unknown"), "unknown")]
#[case::closes_in_mid_answer(ServiceFault::ClosesInMidAnswer, "60000", Some("unknown"), "unknown")]
#[case::answers_503(ServiceFault::Answers503, "60000", None, "answered")]
#[tokio::test]
async fn a_claim_is_settled_as_its_caller_is_told(
    #[case] fault: ServiceFault,
    #[case] deadline: &str,
    #[case] ran: Option<&str>,
    #[case] outcome: &str,
) {
    let fleet = fleet_at(start_faulty_service(fault).await).await;
    let (leader, _server) = start_leader(&fleet).await;
    leader.is_open.send_replace(true);
    let headers = [("idempotency-key", "booking-1"), ("tarragonknot-deadline-ms", deadline)];

    let answer = call(&fleet, Method::POST, "/pack-api/slots", &headers, "van").await;
    wait_until(|| leader.outcome().is_some()).await;

    assert_eq!(answer.ran_header(), ran);
    let name = match leader.outcome() {
        Some(ClaimOutcome::NotRun) => "not-run",
        Some(ClaimOutcome::Unknown) => "unknown",
        Some(ClaimOutcome::Answered(_)) => "answered",
        None => "none",
    };
    assert_eq!(name, outcome);
}

/// Guards against dispatching a request whose claim was recorded but not confirmed in time, and
/// against a claim that stays behind.
#[tokio::test]
async fn an_unconfirmed_claim_is_withdrawn_and_nothing_is_sent() {
    let fleet = small_fleet(|_| {}).await;
    let (leader, _server) = start_leader(&fleet).await;

    let headers = [("idempotency-key", "booking-1")];
    let answer = call(&fleet, Method::POST, "/pack-api/slots", &headers, "van").await;
    leader.is_open.send_replace(true);
    wait_until(|| leader.outcome().is_some()).await;

    assert_eq!(answer.problem().kind, AnswerKind::ClaimUnavailable);
    assert_eq!(leader.outcome(), Some(ClaimOutcome::NotRun));
    assert!(fleet.service.runs().is_empty());
}

/// A request that is quarantined when it is placed is refused as not run and is not sent.
#[tokio::test]
async fn a_quarantined_request_is_not_sent() {
    let fleet = small_fleet(|_| {}).await;
    let content = RequestFingerprint::of(&RequestContent {
        organisation: "agents",
        method: "POST",
        host: "pack-api",
        path: "/slots",
        body: b"van",
    });
    for upstream in ["service-1", "service-2", "service-3"] {
        let upstream = UpstreamHash::of(&"pack-api".into(), &upstream.into(), 1);
        fleet.state.quarantine.note_crash(
            &fleet.state,
            &SuspectKeys::of_content(content),
            upstream,
            CrashEvidence::Certain,
        );
    }

    let answer = call(&fleet, Method::POST, "/pack-api/slots", &[], "van").await;

    let problem = answer.problem();
    assert_eq!((problem.kind, problem.ran), (AnswerKind::Quarantined, ExecutionStatus::No));
    assert!(fleet.service.runs().is_empty());
}
