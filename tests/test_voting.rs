//! Rules by which the leader changes the voters without an operator.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tarragonknot::control::{
    AbsentMembers, ControlCommand, ControlLedger, may_join, next_membership,
};
use tarragonknot::policy::Moment;
use tarragonknot::replica::{
    FleetId, FleetMembership, HardState, InitialState, LogPosition, ReplicaConfig, ReplicaCore,
    SnapshotRecord, VoterId,
};

fn voter(host: u8) -> VoterId {
    VoterId { daemon: format!("10.0.0.{host}").as_str().into(), folder_id: 0 }
}

fn absent(hosts: &[u8]) -> AbsentMembers {
    let voters = hosts.iter().map(|host| voter(*host)).collect();
    AbsentMembers { voters, ..AbsentMembers::default() }
}

fn membership(voters: u8) -> FleetMembership {
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 7_600));
    let voters: BTreeMap<VoterId, SocketAddr> =
        (1..=voters).map(|host| (voter(host), address(host))).collect();
    FleetMembership { fleet: FleetId(1), voters, learners: BTreeMap::new() }
}

fn core(voters: u8) -> ReplicaCore<ControlCommand> {
    let at = LogPosition::default();
    let snapshot = SnapshotRecord { at, membership: membership(voters), state: Arc::from("") };
    let start = InitialState {
        id: voter(1),
        hard_state: HardState::default(),
        snapshot,
        entries: Vec::new(),
        commit_index: 0,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    ReplicaCore::new(ReplicaConfig::default(), start, Moment(0), &mut rng)
}

/// Guards against a fleet without a quorum although most of its machines are healthy. A voter is
/// lost, an empty one joins as the fourth, and another is lost. This happens if a lost voter is
/// kept in an even number of voters.
#[test]
fn a_lost_voter_leaves_an_even_number() {
    let ledger = ControlLedger::default();

    let changed = next_membership(&core(4), &ledger, &absent(&[3])).expect("a membership change");

    assert!(!changed.voters.contains_key(&voter(3)));
    assert_eq!(changed.voters.len(), 3);
}

/// A temporary absence must not shrink the fleet: two voters tolerate no loss.
#[test]
fn an_odd_number_waits_for_its_lost_voter() {
    let ledger = ControlLedger::default();

    assert_eq!(next_membership(&core(3), &ledger, &absent(&[2])), None);
    assert_eq!(next_membership(&core(3), &ledger, &absent(&[])), None);
    assert_eq!(next_membership(&core(4), &ledger, &absent(&[])), None);
}

/// One membership change cannot safely repair two simultaneous losses, so nothing is removed.
#[test]
fn two_lost_voters_are_not_removed() {
    let ledger = ControlLedger::default();

    assert_eq!(next_membership(&core(4), &ledger, &absent(&[2, 3])), None);
}

#[test]
fn spares_are_let_in_beside_a_full_set_where_voters_are_replaced() {
    let ledger = ControlLedger::default();
    let full = membership(5);

    assert!(may_join(&full, &ledger, &voter(9), true));
    assert!(!may_join(&full, &ledger, &voter(9), false));
    assert!(may_join(&membership(3), &ledger, &voter(9), false));
}
