//! Composition of outgoing messages: reports of this daemon, sums of its group, and sums of the
//! fleet.

use super::{FleetState, LIVENESS_TIMEOUT, OutgoingMessage, WORK_TTL, departure};
use crate::fleet_state::flow_totals::{FlowTotals, totals_of};
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

/// Number of candidates that sums are sent to in a group without a known aggregator: the first one
/// and its replacement.
const CANDIDATES_PER_GROUP: usize = 2;

impl FleetState {
    /// Builds this daemon's report. `is_whole` is set if the receiver may have no state of this
    /// daemon.
    fn report(&mut self, is_whole: bool, departure: Departure) -> MemberReport {
        let flows = match is_whole {
            true => self.local.flows.clone(),
            false => self.report_rows.select_rows(self.local.flows.iter().copied()),
        };
        let counted = if is_whole { rows(self.history.counted(), &[]) } else { Vec::new() };
        MemberReport {
            source: self.source(),
            flows,
            is_whole,
            counted,
            work: self.local.work.clone(),
            waiting: self.local.waiting.clone(),
            list: self.local.list,
            can_read_list: self.local.can_read_list,
            departure,
            suspects: self.local.suspects.clone(),
        }
    }

    /// In a mesh, sends the report to all other daemons.
    pub(super) fn report_to_all(&mut self, outgoing: &mut Vec<OutgoingMessage>) {
        let own = self.identity.address;
        let others = self.layout.addresses().iter().copied().filter(|address| *address != own);
        let to: Vec<SocketAddr> = others.collect();
        let report = self.report(true, departure(&self.local));
        self.history.mark_counted(totals_of(&self.local.flows));
        if !to.is_empty() {
            outgoing.push(OutgoingMessage { to, message: FleetMessage::Report(report) });
        }
    }

    /// Sends the report to the aggregator of the group, which may be this daemon.
    pub(super) fn report_to_aggregator(
        &mut self,
        now: Moment,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let own = self.identity.address;
        let candidates = self.candidates(now);
        let before = self.choice.chosen();
        let aggregator = self.choice.choose(&candidates, own, self.layout.send_interval(), now);
        if before != Some(aggregator) {
            self.history.clear_included();
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
                self.remove_member(&daemon, now);
            }
        }
        let report = self.report(!self.history.is_included(), departure(&self.local));
        self.history.push(self.sequence, &self.local);
        if aggregator == own {
            // A daemon's own report is never overtaken.
            let _ = self.apply_report(MemberReport { departure: Departure::Stays, ..report }, now);
            self.history.mark_counted(totals_of(&self.local.flows));
        } else {
            let message = FleetMessage::Report(report);
            outgoing.push(OutgoingMessage { to: vec![aggregator], message });
        }
    }

    /// Returns the daemons that may aggregate for this one, in order of preference. A daemon that
    /// has just started and knows no others reports to the sender of the summaries that it
    /// receives.
    fn candidates(&self, now: Moment) -> Vec<SocketAddr> {
        let group = self.layout.group_of(self.identity.address);
        let members = self.layout.members(group.index);
        let recent = self.summary.as_ref().filter(|_| self.layout.is_mesh());
        let recent = recent.filter(|summary| now.since(summary.last_heard) < WORK_TTL);
        recent.map(|summary| summary.address).into_iter().chain(members.iter().copied()).collect()
    }

    /// As an aggregator, sends the group's sums to the other aggregators and the fleet's sums to
    /// the group.
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
        let ttl = self.work_ttl();
        let mut sums = BTreeMap::new();
        let fresh = self.members.values().filter(|member| now.since(member.last_heard) < ttl);
        fresh.for_each(|member| add_work(&mut sums, member.work.iter().copied()));
        sums
    }

    /// Returns the waiting requests of the daemons that report here, including this one if
    /// `with_own`.
    pub(super) fn members_waiting(&self, with_own: bool, now: Moment) -> WaitingTable {
        let ttl = self.work_ttl();
        let own = &self.identity.daemon;
        let members = self.members.iter().filter(|(daemon, _)| with_own || *daemon != own);
        let fresh = members.filter(|(_, member)| now.since(member.last_heard) < ttl);
        let mut table = WaitingTable::new();
        fresh.for_each(|(_, member)| add_waiting(&mut table, &member.waiting));
        table
    }

    pub(super) fn work_ttl(&self) -> Duration {
        WORK_TTL.max(self.layout.send_interval() * super::MIN_TIMEOUT_INTERVALS)
    }

    fn group_sum(&mut self, work: &BTreeMap<UpstreamHash, PeerWork>, now: Moment) -> GroupSum {
        let flows = rows(&self.group_flows, &self.local.flows);
        let chosen = self.group_cursor.next_rows(work);
        let (count, counting) = self
            .own_count
            .map_or((0, Duration::ZERO), |count| (count.number, now.since(count.began)));
        GroupSum {
            source: self.source(),
            count,
            counting_ms: counting.as_millis() as u32,
            members: self.members.values().map(|member| member.hash).collect(),
            age_ms: self.members_age(now).as_millis() as u32,
            flows: self.group_rows.select_rows(flows),
            is_whole: chosen.len() == work.len(),
            work: chosen,
            list: self.local.list,
            can_read_list: self.local.can_read_list,
            is_leaving: self.local.has_left,
            suspects: self.local.suspects.clone(),
        }
    }

    fn fleet_summary(
        &mut self,
        work: &BTreeMap<UpstreamHash, PeerWork>,
        now: Moment,
    ) -> FleetSummary {
        let flows = rows(&self.fleet_flows, &self.local.flows);
        let mut other_groups = BTreeMap::new();
        let ttl = self.work_ttl();
        let fresh = self.aggregators.values().filter(|peer| now.since(peer.last_heard) < ttl);
        fresh.for_each(|peer| add_work(&mut other_groups, peer.work.rows()));
        let included_reports = self.members.iter().filter_map(|(daemon, member)| {
            let stamp = self.member_flows.stamp(daemon)?;
            Some((member.hash, stamp.sequence))
        });
        FleetSummary {
            source: self.source(),
            covered_daemons: self.covered_daemons(now) as u32,
            age_ms: self.sums_age(now).as_millis() as u32,
            included_reports: included_reports.collect(),
            flows: self.fleet_rows.select_rows(flows),
            work: work_rows(work),
            waiting: waiting_rows(&self.members_waiting(true, now)),
            other_groups: self.other_groups_cursor.next_rows(&other_groups),
            list: self.local.list,
            is_leaving: self.local.has_left,
            suspects: self.local.suspects.clone(),
        }
    }

    /// Returns the addresses of all live aggregators, and of the first candidates in groups without
    /// one.
    fn peer_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let own = self.layout.group_of(self.identity.address).index;
        let live =
            self.aggregators.values().filter(|peer| now.since(peer.last_heard) < LIVENESS_TIMEOUT);
        let mut addresses: Vec<SocketAddr> = live.map(|peer| peer.address).collect();
        let known: Vec<usize> =
            addresses.iter().map(|address| self.layout.group_of(*address).index).collect();
        let unknown = (0..self.layout.group_count()).filter(|group| *group != own);
        for group in unknown.filter(|group| !known.contains(group)) {
            let members = self.layout.members(group);
            addresses.extend(members.iter().take(CANDIDATES_PER_GROUP));
        }
        addresses.retain(|address| *address != self.identity.address);
        addresses
    }

    /// Returns the daemons of the group and all others that report here.
    fn member_addresses(&self) -> Vec<SocketAddr> {
        let own = self.identity.address;
        let is_chosen = self.choice.chosen() == Some(own);
        let group = self.layout.group_of(own);
        let group = if is_chosen { self.layout.members(group.index) } else { &[] };
        self.others_among(group.iter().copied())
    }

    /// Returns the daemons that report here and `addresses`, without duplicates and without this
    /// daemon.
    pub(super) fn others_among(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let members = self.members.values().map(|member| member.address);
        let mut others: Vec<SocketAddr> = members.chain(addresses).collect();
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.identity.address);
        others
    }
}

/// Converts sums to rows, each with this daemon's own estimate of the bucket.
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
