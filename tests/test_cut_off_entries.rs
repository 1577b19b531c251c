//! Entries that reach no upstream: their callers are served like those of the others.

use crate::raw_engine::{RawCaller, request_head};
use crate::routed_fleet::{
    ConnectionEnd, EngineAction, EventPace, KEY, ReceivedRequest, RoutedFleet, ScriptedEngine,
    document,
};
use http::StatusCode;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tarragonknot::fleet_state::OrganisationHash;
use tarragonknot::policy::{Moment, PoolEvent, RetryBound, UpstreamIndex};
use tarragonknot::stream_origin::StreamOrigin;
use tarragonknot::traffic::{PeerChoice, RelayTicket, TicketSubject};
use tokio::net::{TcpSocket, TcpStream};

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Number of daemons; the first one is cut off.
const DAEMON_COUNT: usize = 3;
/// Time within which a daemon must have noticed that it is cut off; generous even for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(20);
/// Pause between calls until then.
const NOTICE_PAUSE: Duration = Duration::from_millis(50);
/// Number of times that the other daemons' reports are looked at.
const REPORTS: usize = 30;
/// Calls after that, each of which must be served.
const CALLS: usize = 10;

/// Number of requests that one entry passes on.
const SPREAD_REQUESTS: usize = 600;

/// Time before the head of a slow answer: more than half of its caller's deadline.
const SLOW_HEAD: Duration = Duration::from_millis(3_600);
const SLOW_DEADLINE_MS: &str = "6000";

/// Requests left unanswered that make a daemon cut off.
const UNANSWERED: u32 = 3;

/// What happens to connections from a daemon that is cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// They are refused.
    Refused,
    /// They are never established.
    Hanging,
    /// They are reset once a request arrives.
    Reset,
}

/// An address at which an upstream can't be reached.
struct DeadAddress {
    address: SocketAddr,
    /// What keeps the address as it is.
    _held: Box<dyn Any + Send + Sync>,
}

impl DeadAddress {
    async fn new(cut: Cut) -> Self {
        match cut {
            Cut::Refused => {
                // A socket that is bound and doesn't listen keeps its port from other tests.
                let socket = TcpSocket::new_v4().expect("sockets can be opened");
                socket.bind(ANY_PORT).expect("a port is free");
                let address = socket.local_addr().expect("the socket has an address");
                DeadAddress { address, _held: Box::new(socket) }
            }
            Cut::Hanging => Self::hanging().await,
            Cut::Reset => {
                let reset = |_| EngineAction::Raw(String::new(), ConnectionEnd::Reset);
                let engine = ScriptedEngine::start("reset", reset).await;
                let address = engine.address;
                DeadAddress { address, _held: Box::new(engine) }
            }
        }
    }

    /// A listener whose backlog is full, so that the kernel answers no further connection.
    async fn hanging() -> Self {
        let socket = TcpSocket::new_v4().expect("sockets can be opened");
        socket.bind(ANY_PORT).expect("a port is free");
        let listener = socket.listen(1).expect("the socket listens");
        let address = listener.local_addr().expect("the socket has an address");
        let mut held = Vec::new();
        let limit = Duration::from_millis(200);
        while let Ok(Ok(stream)) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
            held.push(stream);
        }
        DeadAddress { address, _held: Box::new((listener, held)) }
    }
}

/// Waits until each daemon knows that it has peers.
async fn wait_until_acquainted(daemons: &[RoutedFleet]) {
    let has_peers = |daemon: &RoutedFleet| {
        let pools = daemon.state.pools();
        pools.values().all(|pool| pool.inspect(|scheduler| scheduler.reach().has_peers()))
    };
    let known = tokio::time::timeout(NOTICE_TIME, async {
        while !daemons.iter().all(has_peers) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(known.await.is_ok(), "the daemons don't know each other");
}

/// Calls a daemon until a call is served.
async fn wait_until_served(daemon: &RoutedFleet, path: &str) {
    let serving = async {
        for number in 0.. {
            if daemon.call(path, &format!("first-{number}")).await.status == StatusCode::OK {
                return;
            }
            tokio::time::sleep(NOTICE_PAUSE).await;
        }
    };
    let served = tokio::time::timeout(NOTICE_TIME, serving).await;
    assert!(served.is_ok(), "no call was served");
}

/// A fleet whose first daemon reaches none of the upstreams.
struct CutFleet {
    daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    dead: Vec<DeadAddress>,
}

impl CutFleet {
    async fn start(
        cut: Cut,
        script: impl Fn(usize) -> EngineAction + Copy + Send + Sync + 'static,
    ) -> Self {
        let mut engines = Vec::new();
        let mut dead = Vec::new();
        for name in ["i-1", "i-2", "i-3"] {
            let engine = ScriptedEngine::start_with_request(name, move |number, request| {
                match request.head.starts_with("GET ") {
                    true => EngineAction::Answer(200, "ok"),
                    false => script(number),
                }
            });
            engines.push(engine.await);
            dead.push(DeadAddress::new(cut).await);
        }
        let refs: Vec<&ScriptedEngine> = engines.iter().collect();
        let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &refs).await;
        wait_until_acquainted(&daemons).await;
        let names = engines.iter().map(|engine| engine.name.as_str());
        let rows: Vec<_> = names.zip(dead.iter().map(|dead| dead.address)).collect();
        daemons[0].list_addresses(&rows);
        CutFleet { daemons, engines, dead }
    }

    fn cut_daemon(&self) -> &RoutedFleet {
        &self.daemons[0]
    }

    /// Calls the daemon that is cut off until a call is served.
    async fn wait_until_served(&self, path: &str) {
        wait_until_served(self.cut_daemon(), path).await;
    }

    fn run_count(&self) -> usize {
        self.engines.iter().map(ScriptedEngine::count).sum()
    }
}

/// Guards against callers who are served worse since the entry that they are connected to reaches no
/// upstream, though other entries do.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_an_entry_without_upstreams_are_served(
    #[values(Cut::Refused, Cut::Hanging, Cut::Reset)] cut: Cut,
    #[values("/safe/", "/unsafe/")] path: &str,
) {
    let fleet = CutFleet::start(cut, |_| EngineAction::Answer(200, "fine")).await;

    fleet.wait_until_served(path).await;
    let runs_before = fleet.run_count();
    let mut served = 0;
    for number in 0..CALLS {
        let answer = fleet.cut_daemon().call(path, &format!("later-{number}")).await;
        served += usize::from(answer.status == StatusCode::OK);
    }

    assert_eq!(served, CALLS);
    assert_eq!(fleet.run_count() - runs_before, CALLS);
}

/// Guards against streams that their callers get from no entry, as above.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_an_entry_without_upstreams_are_served(
    #[values(Cut::Refused, Cut::Hanging, Cut::Reset)] cut: Cut,
    #[values("/stream/", "/resumable/")] path: &str,
) {
    let fleet = CutFleet::start(cut, |_| EngineAction::Events(1, 5)).await;
    let events: String = (1..=5).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();

    fleet.wait_until_served(path).await;
    let mut served = 0;
    for number in 0..CALLS {
        let answer = fleet.cut_daemon().call(path, &format!("later-{number}")).await;
        served += usize::from(answer.body.as_deref() == Some(events.as_str()));
    }

    assert_eq!(served, CALLS);
}

/// Guards against a request that runs twice, or carries what its caller did not send, after it was
/// passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_passed_on_arrives_as_its_caller_sent_it() {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Answer(200, "fine")).await;
    fleet.wait_until_served("/unsafe/").await;
    let headers = [("x-own", "kept"), ("tarragonknot-relay", "0,0,0,forged")];

    let answer = fleet.cut_daemon().call_with("/unsafe/", "id-1", KEY, &headers).await;

    let seen: Vec<_> = fleet.engines.iter().flat_map(ScriptedEngine::seen).collect();
    let runs: Vec<_> = seen.iter().filter(|request| request.id == "id-1").collect();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["tarragonknot-server-seal"], "seal-1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, b"the body");
    assert_eq!(runs[0].header("x-own"), Some("kept"));
    assert_eq!(runs[0].header("tarragonknot-tenant"), Some("agents"));
    assert_eq!(runs[0].header("tarragonknot-relay"), None);
    assert_eq!(runs[0].header("authorization"), None);
    let deadline = runs[0].header("tarragonknot-deadline-ms").and_then(|text| text.parse().ok());
    assert!(deadline.is_some_and(|left: u64| left <= 2_500), "{deadline:?}");
}

/// Guards against a second run of a request that an engine lost after a peer had sent it there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_have_run_at_a_peer_is_neither_repeated_nor_denied() {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Close).await;

    let mut answers = Vec::new();
    for number in 0..CALLS {
        let id = format!("id-{number}");
        answers.push((id.clone(), fleet.cut_daemon().call("/unsafe/", &id).await.status.as_u16()));
    }

    let seen: Vec<_> = fleet.engines.iter().flat_map(ScriptedEngine::seen).collect();
    for (id, status) in answers {
        let runs = seen.iter().filter(|request| request.id == id).count();
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(runs == 0 || !matches!(status, 408 | 421 | 429 | 503), "{id} got {status}");
    }
    assert!(!seen.is_empty(), "no request was passed on");
}

/// Guards against a request that runs more often than its route allows, since each daemon that has it
/// counts its own sends only (found by the soak with seed 713).
#[rstest]
#[case::stream("/resumable/", EngineAction::CutEvents(1, 3))]
#[case::plain("/safe/", EngineAction::Close)]
#[case::failed("/safe/", EngineAction::Answer(500, "broken"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_runs_no_more_often_through_peers_than_its_route_allows(
    #[case] path: &str,
    #[case] action: EngineAction,
) {
    let engine = ScriptedEngine::start_with_request("i-1", move |_, request| {
        match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "ok"),
            false => action.clone(),
        }
    });
    let engine = engine.await;
    let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &[&engine]).await;
    wait_until_acquainted(&daemons).await;
    let dead = DeadAddress::new(Cut::Refused).await;
    daemons[0].list_addresses(&[("i-1", dead.address)]);

    for number in 0..CALLS {
        daemons[0].call(path, &format!("id-{number}")).await;
    }

    let seen = engine.seen();
    let runs = |number| seen.iter().filter(|request| request.id == format!("id-{number}")).count();
    let most = (0..CALLS).map(runs).max().unwrap_or_default();
    assert!((1..=2).contains(&most), "a request ran {most} times");
}

/// Guards against a request that is taken from a peer although no other one can be asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_is_slow_to_answer_is_not_left_without_a_retry() {
    let pace = EventPace {
        last: 3,
        head_delay: SLOW_HEAD,
        gap: Duration::ZERO,
        silence: (0, Duration::ZERO),
        breaks_after: 0,
    };
    let script = move |_, request: &ReceivedRequest| match request.path.starts_with("/resumable/") {
        true => EngineAction::PacedEvents(pace),
        false => EngineAction::Answer(200, "fine"),
    };
    let engine = ScriptedEngine::start_with_request("i-1", script).await;
    let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &[&engine]).await;
    wait_until_acquainted(&daemons).await;
    let table = document(2).replace("\"timeout_ms\":3000", "\"timeout_ms\":30000");
    daemons.iter().for_each(|daemon| daemon.apply(2, &table));
    daemons[0].state.set_retry_bound(RetryBound { ratio: 0.0, slack: 0 });
    let dead = DeadAddress::new(Cut::Refused).await;
    daemons[0].list_addresses(&[("i-1", dead.address)]);
    wait_until_served(&daemons[0], "/safe/").await;

    let deadline = [("tarragonknot-deadline-ms", SLOW_DEADLINE_MS)];
    let stream = daemons[0].stream("/resumable/", "id-1", &deadline).await;

    assert!(stream.status == StatusCode::OK && stream.is_whole, "{stream:?}");
    assert_eq!(engine.seen().iter().filter(|request| request.id == "id-1").count(), 1);
}

/// Guards against requests that go round between daemons of which none reaches an upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_refused_if_no_daemon_reaches_an_upstream() {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Answer(200, "fine")).await;
    let names = fleet.engines.iter().map(|engine| engine.name.as_str());
    let dead: Vec<_> = names.zip(fleet.dead.iter().map(|dead| dead.address)).collect();
    fleet.daemons.iter().for_each(|daemon| daemon.list_addresses(&dead));

    let mut statuses = Vec::new();
    for number in 0..CALLS {
        statuses.push(fleet.cut_daemon().call("/unsafe/", &format!("id-{number}")).await.status);
    }

    let refused = |status: &StatusCode| *status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(statuses.iter().all(refused), "{statuses:?}");
    assert_eq!(fleet.run_count(), 0);
}

/// Guards against a request that no limit counts: no peer takes it, and it is sent here after all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_no_peer_takes_is_charged_where_it_is_sent() {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Answer(200, "fine")).await;
    let names = fleet.engines.iter().map(|engine| engine.name.as_str());
    let dead: Vec<_> = names.zip(fleet.dead.iter().map(|dead| dead.address)).collect();
    fleet.daemons[1..].iter().for_each(|daemon| daemon.list_addresses(&dead));
    let live: Vec<_> =
        fleet.engines.iter().map(|engine| (engine.name.as_str(), engine.address)).collect();
    let daemon = fleet.cut_daemon();
    daemon.list_addresses(&live);
    let limited = document(2).replace(
        r#""name":"agents""#,
        r#""name":"agents","rate_per_s":1000.0,"burst":1000.0,"unit":"requests""#,
    );
    fleet.daemons.iter().for_each(|daemon| daemon.apply(2, &limited));
    let pool = daemon.state.pool(&"pool".into()).expect("the pool exists");
    for index in 0..UNANSWERED {
        pool.handle_event(PoolEvent::Unanswered { upstream: UpstreamIndex(index) });
    }
    let was_cut_off = pool.is_cut_off();

    let answer = daemon.call("/unsafe/", "id-1").await;

    let snapshot = daemon.state.snapshot();
    let agents = OrganisationHash::of(&"agents".into());
    let index = snapshot.access.token_limited_by_hash(agents).expect("agents are limited");
    assert!(was_cut_off);
    assert_eq!((answer.status, fleet.run_count()), (StatusCode::OK, 1));
    assert_eq!(daemon.state.limits().admitted_tokens(index), 1);
}

/// Guards against requests that anybody who reaches the relay's port could have run in the name of
/// the fleet.
#[rstest]
#[case::without("")]
#[case::malformed("tarragonknot-relay: x\r\n")]
#[case::forged("tarragonknot-relay: 0,0,0,00000000000000000000000000000000\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_without_a_valid_ticket_is_refused(#[case] header: &str) {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Answer(200, "fine")).await;
    let peer = fleet.daemons[0].state.relay.peers(&fleet.daemons[0].state)[0];
    let head = request_head("/unsafe/", "id-1", KEY, 2_000, 0);
    let mut caller = RawCaller::connect(peer).await;

    caller.write(&head.replace("content-length", &format!("{header}content-length"))).await;
    let answer = caller.read_answer().await;

    assert_eq!(answer.status, 403, "{answer:?}");
    assert_eq!(fleet.run_count(), 0);
}

/// Guards against a stream that goes on at its engine after its caller has left the entry that
/// passes it on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_who_leaves_ends_a_stream_that_was_passed_on() {
    let events = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
                  tarragonknot-server-seal: seal-1\r\ncontent-type: text/event-stream\r\n\r\n\
                  id: 1\ndata: piece 1\n\n";
    let script = move |_| EngineAction::Raw(events.to_owned(), ConnectionEnd::Stay);
    let fleet = CutFleet::start(Cut::Refused, script).await;
    let mut caller = RawCaller::connect(fleet.cut_daemon().front.address).await;
    caller.write(&request_head("/stream/", "id-1", KEY, 20_000, 0)).await;
    caller.read_head().await;
    let peers: Vec<_> = fleet.daemons[1..].iter().collect();
    let running = || peers.iter().map(|peer| peer.state.in_progress()).sum::<usize>();
    assert_eq!(running(), 1);

    drop(caller);

    let ended = tokio::time::timeout(NOTICE_TIME, async {
        while running() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(ended.await.is_ok(), "the stream goes on at a peer");
}

/// Guards against a stream that stops with the peer that passes it on, though another can go on after
/// its last whole event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumable_stream_that_a_peer_lost_goes_on_through_another() {
    let script = |number| match number {
        0 => EngineAction::CutEvents(1, 3),
        _ => EngineAction::Events(4, 6),
    };
    let engine = ScriptedEngine::start_with_request("i-1", move |number, request| {
        match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "ok"),
            false => script(number),
        }
    });
    let engine = engine.await;
    let daemons = RoutedFleet::start_peers(DAEMON_COUNT, &[&engine]).await;
    wait_until_acquainted(&daemons).await;
    let dead = DeadAddress::new(Cut::Refused).await;
    daemons[0].list_addresses(&[("i-1", dead.address)]);

    let answer = daemons[0].call("/resumable/", "id-1").await;

    let events: String = (1..=6).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    assert_eq!(answer.body.as_deref(), Some(events.as_str()));
}

/// Guards against sound upstreams that the other daemons avoid since an entry that is cut off reports
/// them as down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_is_cut_off_takes_no_upstream_from_the_others() {
    let fleet = CutFleet::start(Cut::Refused, |_| EngineAction::Answer(200, "fine")).await;
    fleet.wait_until_served("/safe/").await;

    let is_any_down = || {
        let pools = fleet.daemons[1].state.pools();
        pools.values().any(|pool| {
            pool.inspect(|scheduler| {
                scheduler.upstreams().iter().any(|status| status.peer_work.is_down)
            })
        })
    };
    let withdrawn = tokio::time::timeout(NOTICE_TIME, async {
        while is_any_down() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(withdrawn.await.is_ok(), "an upstream is still reported as down");
    for _ in 0..REPORTS {
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(!is_any_down(), "an upstream is reported as down again");
    }
}

/// Guards against a ticket that holds for another request, or with other figures, than it was made
/// for.
#[test]
fn a_ticket_holds_only_for_its_request() {
    let origin = Some(StreamOrigin::new(&"pool".into(), Some(&"v1".into())));
    let ticket = RelayTicket { waited: Duration::from_millis(12), sent: 1, not_run: 1, origin };
    let subject = TicketSubject { method: "POST", path: "/a/", id: "id-1" };
    let text = ticket.encode(&subject, "a key");
    let verify = |text: &str, subject: &TicketSubject<'_>, key: &str| {
        RelayTicket::verify(text, subject, key).is_some()
    };

    assert_eq!(RelayTicket::verify(&text, &subject, "a key"), Some(ticket));
    assert!(!verify(&text, &subject, "another key"));
    assert!(!verify(&text, &TicketSubject { path: "/b/", ..subject }, "a key"));
    assert!(!verify(&text, &TicketSubject { method: "PUT", ..subject }, "a key"));
    assert!(!verify(&text, &TicketSubject { id: "id-2", ..subject }, "a key"));
    assert!(!verify(&text.replacen("12,1,1", "12,0,0", 1), &subject, "a key"));
    assert!(!verify(&text.replacen("12,", "13,", 1), &subject, "a key"));
    let other = RelayTicket { origin: None, ..ticket };
    let tag = text.rsplit(',').next().expect("a ticket ends with its tag");
    let forged = other.encode(&subject, "a key").replace(
        other.encode(&subject, "a key").rsplit(',').next().expect("a ticket ends with its tag"),
        tag,
    );
    assert!(!verify(&forged, &subject, "a key"));
}

/// Guards against a herd: the requests of an entry that is cut off must spread over the fleet, at
/// any size, and few may be passed on in vain.
#[rstest]
#[case::small(6, 3)]
#[case::large(291, 97)]
#[case::largest(985, 329)]
#[case::doubled(1_970, 657)]
fn requests_spread_over_the_peers_that_can_take_them(#[case] daemons: u32, #[case] cut: u32) {
    let address = |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7_615));
    let peers: Vec<SocketAddr> = (1..daemons).map(address).collect();
    let is_cut = |peer: SocketAddr| (1..=cut).any(|number| address(number) == peer);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut choice = PeerChoice::default();
    let mut taken: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut not_taken = 0;

    for number in 0..SPREAD_REQUESTS {
        // An entry of the users' platforms gets some 20 requests a second.
        let now = Moment::from_millis(number as u64 * 50);
        let mut tried = Vec::new();
        let peer = loop {
            let peer = choice.choose(&peers, &tried, now, &mut random);
            let Some(peer) = peer.filter(|_| tried.len() < 3) else { break None };
            if !is_cut(peer) {
                break Some(peer);
            }
            choice.avoid(peer, now);
            tried.push(peer);
        };
        match peer {
            Some(peer) => *taken.entry(peer).or_default() += 1,
            None => not_taken += 1,
        }
    }

    let able = (daemons - 1 - cut) as usize;
    let most = taken.values().copied().max().unwrap_or_default();
    assert!(not_taken * 20 <= SPREAD_REQUESTS, "{not_taken} of {SPREAD_REQUESTS} not taken");
    assert!(most <= 12 + 3 * SPREAD_REQUESTS / able, "one of {able} peers got {most}");
}
