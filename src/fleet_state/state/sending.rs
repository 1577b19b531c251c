//! What a daemon sends: reports of itself, the sum of its group, the sums of the fleet.

use super::{FleetState, OutgoingMessage, PEER_LIFE, WORK_LIFE, departure};
use crate::fleet_state::flow_totals::FlowTotals;
use crate::fleet_state::waiting_table::{WaitingTable, add_waiting, waiting_rows};
use crate::fleet_state::work_tables::add_work;
use crate::fleet_state::{
    Departure, FleetMessage, FleetSummary, FlowRow, GroupSum, MemberReport, OrganisationHash,
    WorkRow,
};
use crate::policy::{Moment, PeerWork, UpstreamHash};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Candidates of a group without a known aggregator that are sent sums: the first, and the one that takes its place.
const TRIED_CANDIDATES: usize = 2;

impl FleetState {
    /// This daemon's report; `is_whole` where the receiver may know nothing of it.
    fn report(&mut self, is_whole: bool, departure: Departure) -> MemberReport {
        let flows = match is_whole {
            true => self.own.flows.clone(),
            false => self.report_rows.choose(self.own.flows.iter().copied()),
        };
        MemberReport {
            source: self.source(),
            flows,
            is_whole,
            work: self.own.work.clone(),
            waiting: self.own.waiting.clone(),
            list: self.own.list,
            can_read_list: self.own.can_read_list,
            departure,
            suspects: self.own.suspects.clone(),
        }
    }

    /// In a small fleet: to all others.
    pub(super) fn report_to_all(&mut self, outgoing: &mut Vec<OutgoingMessage>) {
        let own = self.identity.address;
        let others = self.layout.addresses().iter().copied().filter(|address| *address != own);
        let to: Vec<SocketAddr> = others.collect();
        let report = self.report(true, departure(&self.own));
        if !to.is_empty() {
            outgoing.push(OutgoingMessage { to, message: FleetMessage::Report(report) });
        }
    }

    /// To the aggregator of the group, which may be this daemon.
    pub(super) fn report_upward(&mut self, now: Moment, outgoing: &mut Vec<OutgoingMessage>) {
        let own = self.identity.address;
        let candidates = self.candidates(now);
        let before = self.choice.chosen();
        let aggregator = self.choice.choose(&candidates, own, self.layout.pause(), now);
        if before != Some(aggregator) {
            self.history.start_over();
            let left = before.filter(|before| *before != own);
            if let Some(left) = left {
                let report = self.report(true, Departure::Moved);
                outgoing.push(OutgoingMessage {
                    to: vec![left],
                    message: FleetMessage::Report(report),
                });
            }
            if before == Some(own) {
                let daemon = self.identity.daemon.clone();
                self.remove_member(&daemon);
            }
        }
        let report = self.report(!self.history.is_included(), departure(&self.own));
        self.history.push(self.sequence, &self.own);
        if aggregator == own {
            // Its own report is never overtaken.
            let _ = self.take_report(MemberReport { departure: Departure::Stays, ..report }, now);
        } else {
            let message = FleetMessage::Report(report);
            outgoing.push(OutgoingMessage { to: vec![aggregator], message });
        }
    }

    /// The daemons that may aggregate for this one, in order. A daemon that was just started and knows of nobody reports to
    /// whoever sends it summaries.
    fn candidates(&self, now: Moment) -> Vec<SocketAddr> {
        let group = self.layout.group_of(self.identity.address);
        let members = self.layout.members(group.index);
        let heard = self.summary.as_ref().filter(|_| self.layout.is_mesh());
        let heard = heard.filter(|summary| now.since(summary.heard) < WORK_LIFE);
        heard.map(|summary| summary.address).into_iter().chain(members.iter().copied()).collect()
    }

    /// As aggregator: the group's sum to the other aggregators, the fleet's to the group.
    pub(super) fn send_sums(&mut self, now: Moment, outgoing: &mut Vec<OutgoingMessage>) {
        let group_work = self.group_work(now);
        let sum = self.group_sum(&group_work, now);
        let to = self.peer_addresses(now);
        outgoing.push(OutgoingMessage { to, message: FleetMessage::Sum(sum) });
        let summary = self.fleet_summary(&group_work, now);
        let to = self.member_addresses();
        outgoing.push(OutgoingMessage { to, message: FleetMessage::Summary(summary) });
    }

    fn group_work(&self, now: Moment) -> BTreeMap<UpstreamHash, PeerWork> {
        let life = self.work_life();
        let mut sums = BTreeMap::new();
        let fresh = self.reporters.values().filter(|member| now.since(member.heard) < life);
        fresh.for_each(|member| add_work(&mut sums, member.work.iter().copied()));
        sums
    }

    /// What waits at the daemons that report here, this one among them if `with_own`.
    pub(super) fn members_waiting(&self, with_own: bool, now: Moment) -> WaitingTable {
        let life = self.work_life();
        let own = &self.identity.daemon;
        let members = self.reporters.iter().filter(|(daemon, _)| with_own || *daemon != own);
        let fresh = members.filter(|(_, member)| now.since(member.heard) < life);
        let mut table = WaitingTable::new();
        fresh.for_each(|(_, member)| add_waiting(&mut table, &member.waiting));
        table
    }

    pub(super) fn work_life(&self) -> Duration {
        WORK_LIFE.max(self.layout.pause() * super::SILENT_PAUSES)
    }

    fn group_sum(&mut self, work: &BTreeMap<UpstreamHash, PeerWork>, now: Moment) -> GroupSum {
        let flows = rows(&self.group_flows, &self.own.flows);
        let chosen = self.group_turn.next_rows(work);
        GroupSum {
            source: self.source(),
            members: self.reporters.values().map(|reporter| reporter.hash).collect(),
            age_ms: self.members_age(now).as_millis() as u32,
            flows: self.group_rows.choose(flows),
            is_whole: chosen.len() == work.len(),
            work: chosen,
            list: self.own.list,
            can_read_list: self.own.can_read_list,
            is_leaving: self.own.has_left,
            suspects: self.own.suspects.clone(),
        }
    }

    fn fleet_summary(
        &mut self,
        work: &BTreeMap<UpstreamHash, PeerWork>,
        now: Moment,
    ) -> FleetSummary {
        let flows = rows(&self.fleet_flows, &self.own.flows);
        let mut away = BTreeMap::new();
        let life = self.work_life();
        let fresh = self.aggregators.values().filter(|peer| now.since(peer.heard) < life);
        fresh.for_each(|peer| add_work(&mut away, peer.work.rows()));
        let included = self.reporters.iter().filter_map(|(daemon, reporter)| {
            let stamp = self.members.stamp(daemon)?;
            Some((reporter.hash, stamp.sequence))
        });
        FleetSummary {
            source: self.source(),
            covers: self.coverage(now) as u32,
            age_ms: self.sums_age(now).as_millis() as u32,
            included: included.collect(),
            flows: self.fleet_rows.choose(flows),
            work: work_rows(work),
            waiting: waiting_rows(&self.members_waiting(true, now)),
            away: self.away_turn.next_rows(&away),
            list: self.own.list,
            is_leaving: self.own.has_left,
            suspects: self.own.suspects.clone(),
        }
    }

    /// The aggregators that are present, and for groups without one those that should be.
    fn peer_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let own = self.layout.group_of(self.identity.address).index;
        let live = self.aggregators.values().filter(|peer| now.since(peer.heard) < PEER_LIFE);
        let mut addresses: Vec<SocketAddr> = live.map(|peer| peer.address).collect();
        let known: Vec<usize> =
            addresses.iter().map(|address| self.layout.group_of(*address).index).collect();
        let unknown = (0..self.layout.groups()).filter(|group| *group != own);
        for group in unknown.filter(|group| !known.contains(group)) {
            let members = self.layout.members(group);
            addresses.extend(members.iter().take(TRIED_CANDIDATES));
        }
        addresses.retain(|address| *address != self.identity.address);
        addresses
    }

    /// The daemons of the group, and whoever reports here.
    fn member_addresses(&self) -> Vec<SocketAddr> {
        let own = self.identity.address;
        let is_chosen = self.choice.chosen() == Some(own);
        let group = self.layout.group_of(own);
        let group = if is_chosen { self.layout.members(group.index) } else { &[] };
        self.others_among(group.iter().copied())
    }

    /// The daemons that report here and `addresses`, each once, without this one.
    pub(super) fn others_among(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let reporters = self.reporters.values().map(|reporter| reporter.address);
        let mut others: Vec<SocketAddr> = reporters.chain(addresses).collect();
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.identity.address);
        others
    }
}

/// Sums as rows, each with this daemon's own estimate of the bucket.
fn rows(sums: &FlowTotals, own: &[FlowRow]) -> Vec<FlowRow> {
    let refills: BTreeMap<OrganisationHash, u32> =
        own.iter().map(|row| (row.organisation, row.refill_ms)).collect();
    let rows = sums.iter().map(|(organisation, (taken, asked))| FlowRow {
        organisation: *organisation,
        taken: *taken,
        asked: *asked,
        refill_ms: refills.get(organisation).copied().unwrap_or(0),
    });
    rows.collect()
}

fn work_rows(sums: &BTreeMap<UpstreamHash, PeerWork>) -> Vec<WorkRow> {
    sums.iter().map(|(upstream, work)| (*upstream, *work)).collect()
}
