//! Messages between daemons that are damaged, of another version, from an unknown sender, or
//! implausible.

use crate::fleet_play::{FleetSimulation, address, hot_hash};
use proptest::prelude::*;
use rstest::rstest;
use tarragonknot::fleet_state::{
    Departure, FleetMessage, FlowRow, MemberReport, MessageRefusal, MessageSource,
};
use tarragonknot::policy::{PeerWork, UpstreamHash};
use tarragonknot::quarantine::SuspectUpdate;
use tarragonknot::traffic::{DaemonMessage, DropCause, decode_message, encode_message};

const KEY: &str = "the fleet's key";

fn flow(taken: i64, asked: u64) -> FlowRow {
    FlowRow { organisation: hot_hash(), taken, asked, refill_ms: 7 }
}

fn report(sequence: u64, flow: FlowRow) -> MemberReport {
    let work = PeerWork { requests: 3, ..PeerWork::default() };
    MemberReport {
        source: MessageSource { daemon: "entry-9".into(), boot: 1, sequence, address: address(9) },
        flows: vec![flow],
        is_whole: true,
        counted: Vec::new(),
        work: vec![(UpstreamHash::of(&"pool".into(), &"e1".into(), 1), work)],
        waiting: Vec::new(),
        list: None,
        can_read_list: true,
        departure: Departure::Stays,
        suspects: SuspectUpdate::default(),
    }
}

fn encoded_report() -> Vec<u8> {
    let report = FleetMessage::Report(report(1, flow(5, 9)));
    encode_message(&DaemonMessage::State(report), KEY)
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let decoded = decode_message(&encoded_report(), KEY).expect("message is decoded");

    let DaemonMessage::State(FleetMessage::Report(decoded)) = decoded else {
        panic!("{decoded:?}")
    };
    assert_eq!(decoded, report(1, flow(5, 9)));
}

#[test]
fn a_message_of_a_stranger_is_dropped() {
    assert_eq!(decode_message(&encoded_report(), "another key").err(), Some(DropCause::BadTag));
}

proptest! {
    /// The authentication tag detects any truncation or bit flip; no message is decoded in part.
    #[test]
    fn a_damaged_message_is_dropped(length in 0_usize..200, at in 0_usize..200, bit in 0_u8..8) {
        let whole = encoded_report();
        let truncated = &whole[..length.min(whole.len() - 1)];
        let mut changed = whole.clone();
        let at = at % changed.len();
        changed[at] ^= 1 << bit;

        prop_assert_eq!(decode_message(truncated, KEY).err(), Some(DropCause::BadTag));
        prop_assert_eq!(decode_message(&changed, KEY).err(), Some(DropCause::BadTag));
    }

    /// A body with a valid tag from a foreign program is refused or decoded, and never ends the
    /// process.
    #[test]
    fn any_body_is_refused_or_read(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        use sha2::{Digest, Sha256};
        let tag = Sha256::new().chain_update(KEY).chain_update(&body).chain_update(KEY).finalize();
        let bytes: Vec<u8> = tag[..8].iter().chain(&body).copied().collect();
        let decoded = decode_message(&bytes, KEY);
        let has_known_version = body.first() == Some(&4);
        match decoded {
            Ok(_) => prop_assert!(has_known_version),
            Err(cause) => prop_assert_ne!(cause, DropCause::BadTag),
        }
    }
}

#[rstest]
#[case::more_than_was_asked_for(flow(1_000, 1), 3, address(9))]
#[case::beyond_any_count(flow(1, u64::MAX), 3, address(9))]
#[case::more_requests_than_any_upstream_holds(flow(1, 1), u32::MAX, address(9))]
#[case::no_address_to_answer_to(flow(1, 1), 3, ([0, 0, 0, 0], 7_600).into())]
#[case::no_port_to_answer_to(flow(1, 1), 3, ([10, 0, 0, 1], 0).into())]
fn an_absurd_message_changes_nothing(
    #[case] flow: FlowRow,
    #[case] requests: u32,
    #[case] address: std::net::SocketAddr,
) {
    let mut simulation = FleetSimulation::lossless(3, 1);
    simulation.run(800, true);
    let mut implausible = report(1, flow);
    implausible.work[0].1.requests = requests;
    implausible.source.address = address;
    let daemon = &mut simulation.daemons[0];
    let before = daemon.fleet.covered_daemons(simulation.now);

    let refusal = daemon.fleet.receive(FleetMessage::Report(implausible), simulation.now);

    assert_eq!(refusal.err(), Some(MessageRefusal::Implausible));
    assert_eq!(daemon.fleet.covered_daemons(simulation.now), before);
    assert_eq!(daemon.fleet.drain_charges(), []);
}

/// Guards against a bucket that is charged with tokens that nobody admitted, or is given some back.
/// A counter falls and rises again within one start of its source, so its differences must not be
/// taken unchecked.
#[test]
fn a_counter_that_falls_changes_nothing() {
    let mut simulation = FleetSimulation::lossless(3, 1);
    simulation.run(800, true);
    let daemon = &mut simulation.daemons[0];
    let mut receive = |sequence, flow| {
        let result =
            daemon.fleet.receive(FleetMessage::Report(report(sequence, flow)), simulation.now);
        (result.err(), daemon.fleet.drain_charges())
    };
    let first = receive(1, flow(500, 900));
    let fallen = receive(2, flow(400, 800));
    let risen = receive(3, flow(600, 1_000));

    assert_eq!(first, (None, vec![]));
    assert_eq!(fallen, (Some(MessageRefusal::FallingCounter), vec![]));
    assert_eq!(risen, (None, vec![(hot_hash(), 100)]));
}
