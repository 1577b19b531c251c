//! How a voter comes to belong to a fleet: by asking its peers, or by founding one.

use super::links::{FleetKey, connect};
use super::rpc::{ControlApiClient, JoinAnswer, LeaderAnswer};
use crate::replica::{FleetId, FleetMembership, VoterId};
use crate::settings::PeerRow;
use crate::table::DaemonName;
use slog::{Logger, warn};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Time between attempts to join or found a fleet.
const JOIN_PAUSE: Duration = Duration::from_millis(200);

/// How a voter came to belong to a fleet.
pub enum JoinedFleet {
    /// A leader let it in.
    Joined(FleetId),
    /// It founds one.
    Founded,
    /// It founds one together with the other founders.
    FoundedTogether,
}

/// The number of the data folder of a voter that founds a fleet with others. All founders must write the same
/// membership without having talked, so none can draw a number; a folder made later draws one above.
pub const FOUNDING_FOLDER: u32 = 0;

/// The identity of a founder.
pub fn founding_voter(daemon: &DaemonName) -> VoterId {
    VoterId { daemon: daemon.clone(), folder_id: FOUNDING_FOLDER }
}

/// The membership that founders begin with. Each works it out from the same list, so that they need not talk:
/// whoever of them starts first, a quorum of them is a quorum of the fleet.
pub fn founding_membership(founders: &[PeerRow]) -> FleetMembership {
    let voters: BTreeMap<VoterId, SocketAddr> =
        founders.iter().map(|peer| (founding_voter(&peer.daemon), peer.control)).collect();
    let names: Vec<String> = voters.values().map(SocketAddr::to_string).collect();
    let fleet = FleetId(xxh3_64(names.join(" ").as_bytes()));
    FleetMembership { fleet, voters, learners: BTreeMap::new() }
}

/// What a voter needs in order to ask.
pub struct JoinTask {
    /// Who asks.
    pub voter: VoterId,
    /// Its control address.
    pub control: SocketAddr,
    /// Whom to ask first.
    pub peers: Vec<SocketAddr>,
    /// True if it may found a fleet.
    pub may_found: bool,
    /// The fleet's key.
    pub key: FleetKey,
    /// Logs.
    pub log: Logger,
}

/// Asks the peers to let the voter in, until it belongs to a fleet.
pub async fn join_or_found(task: JoinTask, joined: mpsc::Sender<JoinedFleet>) {
    let mut was_barred = false;
    loop {
        let answer = ask_to_join(&task).await;
        if answer.is_barred && !was_barred {
            was_barred = true;
            warn!(task.log, "not accepted as a voter; see `tarragonknot voter list`");
        }
        // A founder whose disk was wiped must not found a second fleet beside the first: every peer must
        // have answered that it belongs to none.
        let may_found = task.may_found && answer.without_fleet == task.peers.len();
        let end =
            answer.fleet.map(JoinedFleet::Joined).or(may_found.then_some(JoinedFleet::Founded));
        if let Some(end) = end {
            let _ = joined.send(end).await;
            return;
        }
        tokio::time::sleep(JOIN_PAUSE).await;
    }
}

/// What the peers said to a voter that asked to join.
#[derive(Default)]
pub struct JoinRound {
    /// The fleet that let it in.
    pub fleet: Option<FleetId>,
    /// Peers that belong to no fleet.
    pub without_fleet: usize,
    /// True if operators have removed this daemon.
    pub is_barred: bool,
}

pub async fn ask_to_join(task: &JoinTask) -> JoinRound {
    let mut round = JoinRound::default();
    let mut addresses: VecDeque<SocketAddr> = task.peers.iter().copied().collect();
    let mut asked = Vec::new();
    while let Some(address) = addresses.pop_front() {
        if asked.contains(&address) {
            continue;
        }
        asked.push(address);
        let Ok(client) = connect(address, &task.key).await else { continue };
        match client.join(task.voter.clone(), task.control).await {
            Ok(LeaderAnswer::Done(JoinAnswer { fleet, is_accepted: true })) => {
                round.fleet = Some(fleet);
                return round;
            }
            Ok(LeaderAnswer::Done(_)) => round.is_barred = true,
            Ok(LeaderAnswer::Elsewhere(Some(leader))) => addresses.push_back(leader),
            Ok(LeaderAnswer::Elsewhere(None)) if matches!(client.fleet().await, Ok(None)) => {
                round.without_fleet += 1
            }
            _ => {}
        }
    }
    round
}
