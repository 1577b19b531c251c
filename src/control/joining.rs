//! Joining a fleet: a voter asks its peers to accept it, or founds a new fleet.

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

/// Delay between attempts to join or found a fleet.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How a voter became part of a fleet.
pub enum JoinedFleet {
    /// A leader accepted it.
    Joined(FleetId),
    /// It founds a fleet on its own.
    Founded,
    /// It founds a fleet together with the other configured founders.
    FoundedTogether,
}

/// Data folder number of a voter that founds a fleet together with others. All founders must write
/// the same membership without communicating, so the number cannot be random; folders created later
/// draw a number above it.
pub const FOUNDER_FOLDER_NUMBER: u32 = 0;

/// Identity of a founder.
pub fn founding_voter(daemon: &DaemonName) -> VoterId {
    VoterId { daemon: daemon.clone(), folder_id: FOUNDER_FOLDER_NUMBER }
}

/// Initial membership of a fleet founded together. Every founder derives it from the same list
/// without communicating, so whichever of them start first, a quorum of the founders is a quorum of
/// the fleet.
pub fn founding_membership(founders: &[PeerRow]) -> FleetMembership {
    let voters: BTreeMap<VoterId, SocketAddr> =
        founders.iter().map(|peer| (founding_voter(&peer.daemon), peer.control)).collect();
    let addresses: Vec<String> = voters.values().map(SocketAddr::to_string).collect();
    let fleet = FleetId(xxh3_64(addresses.join(" ").as_bytes()));
    FleetMembership { fleet, voters, learners: BTreeMap::new() }
}

/// Parameters of a join attempt.
pub struct JoinTask {
    /// Identity of the joining voter.
    pub voter: VoterId,
    /// Control address of the joining voter.
    pub control: SocketAddr,
    /// Control addresses of the peers to ask first.
    pub peers: Vec<SocketAddr>,
    /// True if the voter may found a fleet.
    pub may_found: bool,
    /// Shared key of the fleet.
    pub key: FleetKey,
    /// Logger.
    pub log: Logger,
}

/// Asks the peers for admission until the voter belongs to a fleet or may found one.
pub async fn join_or_found(task: JoinTask, joined: mpsc::Sender<JoinedFleet>) {
    let mut was_barred = false;
    loop {
        let answers = request_join(&task).await;
        if answers.is_barred && !was_barred {
            was_barred = true;
            warn!(task.log, "not accepted as a voter; see `tarragonknot voter list`");
        }
        // A founder whose disk was wiped must not found a second fleet beside the first, so every
        // peer must have answered that it belongs to none.
        let may_found = task.may_found && answers.peers_without_fleet == task.peers.len();
        let outcome =
            answers.fleet.map(JoinedFleet::Joined).or(may_found.then_some(JoinedFleet::Founded));
        if let Some(outcome) = outcome {
            let _ = joined.send(outcome).await;
            return;
        }
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
}

/// Peers' answers to one round of join requests.
#[derive(Default)]
pub struct JoinAnswers {
    /// Fleet that accepted the voter.
    pub fleet: Option<FleetId>,
    /// Number of peers that belong to no fleet.
    pub peers_without_fleet: usize,
    /// True if operators have removed this daemon from the voters.
    pub is_barred: bool,
}

pub async fn request_join(task: &JoinTask) -> JoinAnswers {
    let mut answers = JoinAnswers::default();
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
                answers.fleet = Some(fleet);
                return answers;
            }
            Ok(LeaderAnswer::Done(_)) => answers.is_barred = true,
            Ok(LeaderAnswer::Elsewhere(Some(leader))) => addresses.push_back(leader),
            Ok(LeaderAnswer::Elsewhere(None)) if matches!(client.fleet().await, Ok(None)) => {
                answers.peers_without_fleet += 1
            }
            _ => {}
        }
    }
    answers
}
