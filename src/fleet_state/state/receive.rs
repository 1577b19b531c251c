//! Handling of messages from other daemons.

use super::{FleetState, LastSummary, MemberState, PeerAggregator};
use crate::fleet_state::messages::daemon_hash;
use crate::fleet_state::{
    Departure, FleetMessage, FleetSummary, FlowBaseline, FlowRow, GroupSum, MemberReport,
    MessageRefusal, MessageSource, SourceStamp,
};
use crate::policy::Moment;
use std::time::Duration;

/// The bucket estimates that a message carries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketEstimates {
    pub rows: Vec<FlowRow>,
    /// Number of daemons that send such estimates to this one.
    pub senders: usize,
}

impl FleetState {
    /// Applies a message from another daemon. Returns its estimates of the organisations' buckets,
    /// which this daemon's buckets are moved towards, or the reason why the message is ignored.
    pub fn receive(
        &mut self,
        message: FleetMessage,
        now: Moment,
    ) -> Result<BucketEstimates, MessageRefusal> {
        if message.source().daemon == self.identity.daemon {
            return Err(MessageRefusal::Overtaken);
        }
        message.validate()?;
        self.last_heard.insert(message.source().address, now);
        match message {
            FleetMessage::Report(report) => {
                let rows = report.flows.clone();
                self.apply_report(report, now)?;
                // Outside a mesh, members take their estimates from the aggregator, which also
                // hears the other groups.
                Ok(BucketEstimates::new(rows, self.members.len(), self.is_mesh(now)))
            }
            FleetMessage::Sum(sum) => {
                let rows = sum.flows.clone();
                self.apply_sum(sum, now)?;
                Ok(BucketEstimates::new(rows, self.aggregators.len(), self.has_direct_view(now)))
            }
            FleetMessage::Summary(summary) => {
                let rows = summary.flows.clone();
                let is_taken = self.apply_summary(summary, now)?;
                Ok(BucketEstimates::new(rows, 1, is_taken))
            }
        }
    }

    /// Applies a report, which may be this daemon's own.
    pub(super) fn apply_report(
        &mut self,
        report: MemberReport,
        now: Moment,
    ) -> Result<(), MessageRefusal> {
        let MemberReport {
            source,
            flows,
            is_whole,
            counted,
            work,
            waiting,
            list: _,
            can_read_list,
            departure,
            suspects: _,
        } = report;
        let MessageSource { daemon, address, .. } = &source;
        let is_first = !self.member_flows.knows(daemon);
        if departure != Departure::Stays && is_first {
            return Ok(());
        }
        // The next aggregator counts what the sums have not included, so this one must not.
        if departure == Departure::Moved {
            self.member_flows.note_message(daemon, stamp(&source))?;
            self.remove_member(daemon, now);
            self.last_heard.remove(address);
            return Ok(());
        }
        if !self.is_mesh(now) {
            self.begin_count(now);
        }
        let baseline = match is_whole && !self.is_mesh(now) {
            true => FlowBaseline::Counted(&counted),
            false => FlowBaseline::OwnValues,
        };
        let rows = (flows.as_slice(), is_whole);
        let deltas = self.member_flows.apply_from(daemon, stamp(&source), rows, baseline, now)?;
        if is_first {
            self.note_first_count(daemon, ("member", baseline), &deltas);
        }
        let is_own = *daemon == self.identity.daemon;
        self.add_deltas(&deltas, (true, is_own), now);
        if departure == Departure::Left {
            self.remove_member(daemon, now);
            self.last_heard.remove(address);
            return Ok(());
        }
        self.other_groups.record_speeds(&work, now);
        let (hash, address) = (daemon_hash(daemon), *address);
        let member = MemberState {
            address,
            hash,
            work,
            waiting,
            offered_slots: 0,
            last_heard: now,
            can_read_list,
        };
        self.members.insert(daemon.clone(), member);
        Ok(())
    }

    fn apply_sum(&mut self, sum: GroupSum, now: Moment) -> Result<(), MessageRefusal> {
        let MessageSource { daemon, address, .. } = &sum.source;
        let rows = (sum.flows.as_slice(), false);
        let stamp = SourceStamp { count: sum.count, ..stamp(&sum.source) };
        let is_first = !self.peer_flows.knows(daemon);
        let baseline = self.sum_baseline(&sum, now);
        let deltas = self.peer_flows.apply_from(daemon, stamp, rows, baseline, now)?;
        if is_first {
            self.note_first_count(daemon, ("aggregator", baseline), &deltas);
        }
        self.add_deltas(&deltas, (false, false), now);
        if sum.is_leaving {
            self.remove_peer(daemon, 0.0, now);
            return Ok(());
        }
        self.other_groups.insert(&sum.work, now);
        let known = self.aggregators.remove(daemon);
        let mut work = known.map(|peer| peer.work).unwrap_or_default();
        work.insert(&sum.work, sum.is_whole, now);
        work.remove_expired(now);
        let peer = PeerAggregator {
            address: *address,
            members: sum.members,
            work,
            last_heard: now,
            age: Duration::from_millis(u64::from(sum.age_ms)),
            can_read_list: sum.can_read_list,
        };
        self.aggregators.insert(daemon.clone(), peer);
        Ok(())
    }

    /// Applies a summary. Returns false if it is not from this daemon's current aggregator.
    fn apply_summary(
        &mut self,
        summary: FleetSummary,
        now: Moment,
    ) -> Result<bool, MessageRefusal> {
        let address = summary.source.address;
        match summary.is_leaving {
            true => self.choice.exclude(address, now),
            false => self.choice.record_summary(address, now),
        }
        let is_first = self.choice.chosen().is_none();
        if !is_first && self.choice.chosen() != Some(address) {
            return Ok(false);
        }
        let daemon = &summary.source.daemon;
        let rows = (summary.flows.as_slice(), false);
        let stamp = stamp(&summary.source);
        let known = self.summary_flows.stamp(daemon);
        let is_first = known.is_none_or(|known| known.boot != stamp.boot);
        if known.is_some() && is_first {
            // The aggregator has started again, so that it has no state of this daemon.
            self.history.clear_included();
        }
        let deltas = self.summary_flows.apply(daemon, stamp, rows, now)?;
        if is_first {
            self.note_first_count(daemon, ("summary", FlowBaseline::OwnValues), &deltas);
        }
        // The estimate for the previous aggregator ends here.
        self.summary_flows.retain(|source, _| source == daemon);
        for delta in deltas {
            self.record_rates(&delta, now);
            self.queue_charge(delta.organisation, delta.taken);
        }
        let own = self.own_hash();
        let included_reports = summary.included_reports.iter().find(|(hash, _)| *hash == own);
        let own = included_reports
            .map_or_else(Vec::new, |(_, sequence)| self.history.mark_included(*sequence));
        // The first summary is the baseline, with what it includes of this daemon.
        for delta in own.into_iter().filter(|_| known.is_some()) {
            self.queue_charge(delta.organisation, -delta.taken);
        }
        self.other_groups.insert(&summary.other_groups, now);
        self.other_groups.record_speeds(&summary.work, now);
        self.summary = Some(LastSummary {
            address,
            covered_daemons: summary.covered_daemons,
            age: Duration::from_millis(u64::from(summary.age_ms)),
            last_heard: now,
            work: summary.work,
            waiting: summary.waiting,
        });
        Ok(true)
    }
}

impl BucketEstimates {
    fn new(rows: Vec<FlowRow>, senders: usize, counts: bool) -> Self {
        if counts { BucketEstimates { rows, senders } } else { BucketEstimates::default() }
    }
}

fn stamp(source: &MessageSource) -> SourceStamp {
    SourceStamp { boot: source.boot, count: 0, sequence: source.sequence }
}
