//! The list of upstreams in force at a daemon, beside the one that it exchanges with others.

use crate::workdir::WorkDir;
use serde_json::json;
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarragonknot::daemon::start_background_tasks;
use tarragonknot::settings::DaemonSettings;
use tarragonknot::traffic::{TrafficState, start_exchange};
use tarragonknot::upstream::{PlatformList, VmRow, VmState};
use tokio::net::UdpSocket;

const DEADLINE: Duration = Duration::from_secs(10);

fn list(states: &[VmState]) -> PlatformList {
    let row = |(number, state): (usize, &VmState)| VmRow {
        service: "pool".into(),
        upstream: format!("e{number}").as_str().into(),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        state: *state,
        incarnation: 5,
        places: None,
        version: None,
        data_centre: None,
        is_cold: false,
    };
    PlatformList { vms: states.iter().enumerate().map(row).collect() }
}

/// Two daemons that exchange lists; the first is the one that reads the list for both.
async fn exchanging_daemons() -> [Arc<TrafficState>; 2] {
    let mut sockets = Vec::new();
    for _ in 0..2 {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
        sockets.push((socket.local_addr().expect("the socket has an address"), socket));
    }
    sockets.sort_by_key(|(address, _)| *address);
    let addresses: Vec<SocketAddr> = sockets.iter().map(|(address, _)| *address).collect();
    let start = |(number, (address, socket)): (usize, (SocketAddr, UdpSocket))| {
        let name = format!("entry-{number}");
        let log = Logger::root(Discard, o!());
        let state = TrafficState::new(name.as_str().into(), log, number as u64);
        start_exchange(Arc::clone(&state), socket, address, "key".into(), None);
        state.fleet.set_serving_list(addresses.clone(), state.clock.now());
        state
    };
    let states: Vec<Arc<TrafficState>> = sockets.into_iter().enumerate().map(start).collect();
    states.try_into().ok().expect("there are two daemons")
}

fn start_reading(state: &Arc<TrafficState>, list: &Path) {
    let settings = json!({
        "daemon": "entry-1", "data_centre": "hall-a", "callers": "127.0.0.1:0", "control": "127.0.0.1:0",
        "fleet_key_file": "key", "data_folder": "data", "platform_list": list,
    });
    let settings = DaemonSettings::read(&settings.to_string()).expect("the settings are valid");
    start_background_tasks(Arc::clone(state), &settings);
}

/// Waits until the list in force at a daemon is this one; false if it is not within `limit`.
async fn has_list(state: &TrafficState, list: &PlatformList, limit: Duration) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if *state.platform_list() == *list {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    false
}

/// Guards against a reader that sends requests by the list of another daemon, although it has read a
/// newer one since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_daemon_reads_takes_the_place_of_what_it_received() {
    let work = WorkDir::new();
    let leaving = list(&[VmState::Live, VmState::Leaving]);
    let live = list(&[VmState::Live, VmState::Live]);
    let text = serde_json::to_string(&leaving).expect("the list is written");
    let path = work.write("list.json", &text);
    let [one, other] = exchanging_daemons().await;
    start_reading(&one, &path);
    assert!(has_list(&one, &leaving, DEADLINE).await && has_list(&other, &leaving, DEADLINE).await);

    // The list of the other daemon is that of a moment before, and is read again after it.
    other.store_list_reading(other.begin_list_reading(), &live);
    has_list(&one, &live, Duration::from_secs(2)).await;

    assert!(has_list(&one, &leaving, DEADLINE).await, "{:?}", one.platform_list());
}
