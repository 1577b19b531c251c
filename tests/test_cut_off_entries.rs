//! Entries that reach no upstream: their callers are served like those of the others.

use crate::routed_fleet::{ConnectionEnd, EngineAction, RoutedFleet, ScriptedEngine};
use http::StatusCode;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Number of daemons; the first one is cut off.
const DAEMON_COUNT: usize = 3;
/// Calls within which a daemon must have noticed that it is cut off.
const NOTICE_CALLS: usize = 6;
/// Calls after that, each of which must be served.
const CALLS: usize = 10;

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
    _held: Vec<TcpStream>,
    _listener: Option<TcpListener>,
    _engine: Option<ScriptedEngine>,
}

impl DeadAddress {
    async fn new(cut: Cut) -> Self {
        match cut {
            Cut::Refused => {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
                let address = listener.local_addr().expect("the socket has an address");
                DeadAddress { address, _held: Vec::new(), _listener: None, _engine: None }
            }
            Cut::Hanging => Self::hanging().await,
            Cut::Reset => {
                let reset = |_| EngineAction::Raw(String::new(), ConnectionEnd::Reset);
                let engine = ScriptedEngine::start("reset", reset).await;
                let address = engine.address;
                DeadAddress { address, _held: Vec::new(), _listener: None, _engine: Some(engine) }
            }
        }
    }

    /// A listener whose backlog is full, so that the kernel answers no further connection.
    async fn hanging() -> Self {
        let socket = TcpSocket::new_v4().expect("sockets can be opened");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
        let listener = socket.listen(1).expect("the socket listens");
        let address = listener.local_addr().expect("the socket has an address");
        let mut held = Vec::new();
        let limit = std::time::Duration::from_millis(200);
        while let Ok(Ok(stream)) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
            held.push(stream);
        }
        DeadAddress { address, _held: held, _listener: Some(listener), _engine: None }
    }
}

/// A fleet whose first daemon reaches none of the upstreams.
struct CutFleet {
    daemons: Vec<RoutedFleet>,
    engines: Vec<ScriptedEngine>,
    _dead: Vec<DeadAddress>,
}

impl CutFleet {
    async fn start(cut: Cut, script: fn(usize) -> EngineAction) -> Self {
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
        let names = engines.iter().map(|engine| engine.name.as_str());
        let rows: Vec<_> = names.zip(dead.iter().map(|dead| dead.address)).collect();
        daemons[0].list_addresses(&rows);
        CutFleet { daemons, engines, _dead: dead }
    }

    fn cut_daemon(&self) -> &RoutedFleet {
        &self.daemons[0]
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

    for number in 0..NOTICE_CALLS {
        fleet.cut_daemon().call(path, &format!("first-{number}")).await;
    }
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

    for number in 0..NOTICE_CALLS {
        fleet.cut_daemon().call(path, &format!("first-{number}")).await;
    }
    let mut served = 0;
    for number in 0..CALLS {
        let answer = fleet.cut_daemon().call(path, &format!("later-{number}")).await;
        served += usize::from(answer.body.as_deref() == Some(events.as_str()));
    }

    assert_eq!(served, CALLS);
}
