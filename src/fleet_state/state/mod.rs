//! The fleet's state as one daemon sees it: its role, the messages that it sends, and those that it
//! receives.

mod own_count;
mod peers;
mod presumed;
mod queries;
mod receive;
mod send;
mod slot_offers;

pub use own_count::FirstCount;
pub use presumed::FIRST_READERS;
pub use queries::FleetRole;
pub use receive::BucketEstimates;
pub use slot_offers::OfferTarget;

use super::flow_totals::{FlowTotals, flow_deltas, totals_of};
use super::messages::daemon_hash;
use super::work_tables::RowCursor;
use super::{
    AggregatorChoice, Departure, FleetLayout, FleetMessage, FlowDelta, FlowLedger, FlowRates,
    FlowRow, ListStamp, MessageSource, OrganisationHash, ReportHistory, RowRotation, WaitingRow,
    WorkRow, WorkTable,
};
use crate::policy::{Moment, OwnerRing};
use crate::quarantine::SuspectUpdate;
use crate::table::DaemonName;
use own_count::OwnCount;
use peers::{LastSummary, MemberState, PeerAggregator};
use presumed::PresumedDaemons;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Share of each limit that a daemon uses while it knows of no other daemon, as in a small fleet.
const ISOLATED_SHARE: f64 = 1.0 / 8.0;
/// Silence after which a daemon is assumed to keep using its share of the organisations' limits,
/// since it may be cut off from this daemon and still serve callers.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Lower bound of the silence, liveness and work timeouts, in message intervals.
const MIN_TIMEOUT_INTERVALS: u32 = 4;
/// Time to live of a daemon's reported requests. The daemon may have died, and its requests with
/// it.
const WORK_TTL: Duration = Duration::from_millis(1_000);
/// An aggregator is considered live for this long after its last message.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);
/// A silent daemon is removed after this long, even if the leader has removed it earlier: a daemon
/// that is cut off from the voters continues to serve, and cannot be told from a dead one. The time
/// exceeds the usual duration of a network partition.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the leader's list of daemons is used alone. After that, daemons that were heard
/// are added to it.
const SERVING_LIST_TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonIdentity {
    pub daemon: DaemonName,
    /// The number of the daemon's process start.
    pub boot: u64,
    /// The address at which the daemon receives messages.
    pub address: SocketAddr,
}

/// The local state of this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Token counters by organisation since the process start; organisations at zero may be left
    /// out.
    pub flows: Vec<FlowRow>,
    /// Requests of this daemon at upstreams.
    pub work: Vec<WorkRow>,
    /// Requests waiting at this daemon.
    pub waiting: Vec<WaitingRow>,
    /// The last reading of the platform's list that agrees with this daemon's list.
    pub list: Option<ListStamp>,
    /// False while the platform does not let this daemon read the list.
    pub can_read_list: bool,
    /// True once the daemon has drained.
    pub has_left: bool,
    /// What this daemon knows of requests under which upstreams ended.
    pub suspects: SuspectUpdate,
}

/// A message and its receivers.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    pub message: FleetMessage,
}

/// The fleet's state as seen by one daemon.
#[derive(Clone, Debug)]
pub struct FleetState {
    identity: DaemonIdentity,
    sequence: u64,
    /// The leader's list of daemons that serve callers, and when it was last confirmed; none before
    /// the first.
    serving_list: Option<(Vec<SocketAddr>, Moment)>,
    /// Daemons that a voter named before the first list of a leader; none after it.
    presumed: Option<PresumedDaemons>,
    /// When a message was last received from each address.
    last_heard: BTreeMap<SocketAddr, Moment>,
    layout: FleetLayout,
    /// Owners of cold upstreams; none until the leader has named the daemons.
    owners: Arc<OwnerRing>,
    choice: AggregatorChoice,
    /// Token counters of the daemons that report to this one.
    member_flows: FlowLedger,
    members: BTreeMap<DaemonName, MemberState>,
    /// Token counters of the other aggregators.
    peer_flows: FlowLedger,
    aggregators: BTreeMap<DaemonName, PeerAggregator>,
    /// Token counters of the fleet, as reported by this daemon's aggregator.
    summary_flows: FlowLedger,
    summary: Option<LastSummary>,
    other_groups: WorkTable,
    /// Round-robin positions in the group's rows and in those of other groups.
    group_cursor: RowCursor,
    other_groups_cursor: RowCursor,
    history: ReportHistory,
    local: LocalState,
    /// This daemon's count as an aggregator; `None` while it does not aggregate.
    own_count: Option<OwnCount>,
    group_flows: FlowTotals,
    fleet_flows: FlowTotals,
    /// First messages of sources, until they are logged.
    first_counts: Vec<FirstCount>,
    taken_rates: FlowRates,
    asked_rates: FlowRates,
    own_rates: FlowRates,
    report_rows: RowRotation,
    group_rows: RowRotation,
    fleet_rows: RowRotation,
    /// Tokens admitted by other daemons that have not been charged to this daemon's limits yet.
    charges: BTreeMap<OrganisationHash, i64>,
}

impl FleetState {
    /// Creates the state of a daemon that knows of no others.
    pub fn new(identity: DaemonIdentity) -> Self {
        let layout = FleetLayout::new(vec![identity.address]);
        FleetState {
            identity,
            sequence: 0,
            serving_list: None,
            presumed: None,
            last_heard: BTreeMap::new(),
            layout,
            owners: Arc::default(),
            choice: AggregatorChoice::default(),
            member_flows: FlowLedger::default(),
            members: BTreeMap::new(),
            peer_flows: FlowLedger::default(),
            aggregators: BTreeMap::new(),
            summary_flows: FlowLedger::default(),
            summary: None,
            other_groups: WorkTable::default(),
            group_cursor: RowCursor::default(),
            other_groups_cursor: RowCursor::default(),
            history: ReportHistory::default(),
            local: LocalState::default(),
            own_count: None,
            group_flows: FlowTotals::new(),
            fleet_flows: FlowTotals::new(),
            first_counts: Vec::new(),
            taken_rates: FlowRates::default(),
            asked_rates: FlowRates::default(),
            own_rates: FlowRates::default(),
            report_rows: RowRotation::default(),
            group_rows: RowRotation::default(),
            fleet_rows: RowRotation::default(),
            charges: BTreeMap::new(),
        }
    }

    /// Returns the number of this daemon's process start.
    pub fn boot(&self) -> u64 {
        self.identity.boot
    }

    /// Sets the leader's list of daemons that serve callers.
    pub fn set_serving_list(&mut self, serving_list: Vec<SocketAddr>, now: Moment) {
        if !serving_list.is_empty() {
            self.presumed = None;
        }
        self.serving_list = Some((serving_list, now));
        self.refresh_layout(now);
    }

    /// Records that the leader's list is unchanged.
    pub fn confirm_serving_list(&mut self, now: Moment) {
        if let Some((_, at)) = &mut self.serving_list {
            *at = now;
        }
    }

    /// Advances the state to `now`: records this daemon's own activity and returns the messages to
    /// send. `limit_rates` are the rates that the organisations' limits allow, in tokens per second.
    pub fn tick(
        &mut self,
        local: LocalState,
        limit_rates: &[(OrganisationHash, f64)],
        now: Moment,
    ) -> Vec<OutgoingMessage> {
        self.sequence += 1;
        self.refresh_layout(now);
        self.record_own_flows(&local.flows, now);
        self.local = local;
        let mut outgoing = Vec::new();
        if self.is_mesh(now) {
            self.report_to_all(&mut outgoing);
        } else {
            self.report_to_aggregator(now, &mut outgoing);
        }
        if self.is_aggregating(now) {
            self.begin_count(now);
            self.send_sums(now, &mut outgoing);
        } else {
            self.own_count = None;
        }
        self.estimate_silent(limit_rates, now);
        self.remove_expired(now);
        outgoing
    }

    /// Removes and returns the tokens that other daemons admitted and that have not been charged
    /// yet.
    pub fn drain_charges(&mut self) -> Vec<(OrganisationHash, i64)> {
        std::mem::take(&mut self.charges).into_iter().filter(|(_, tokens)| *tokens != 0).collect()
    }

    fn source(&self) -> MessageSource {
        let DaemonIdentity { daemon, boot, address } = self.identity.clone();
        MessageSource { daemon, boot, sequence: self.sequence, address }
    }

    fn own_hash(&self) -> u32 {
        daemon_hash(&self.identity.daemon)
    }

    fn refresh_layout(&mut self, now: Moment) {
        let is_fresh = |at: &Moment| now.since(*at) < SERVING_LIST_TTL;
        let serving_list =
            self.serving_list.as_ref().map_or(&[][..], |(serving_list, _)| serving_list.as_slice());
        let trusts_leader = self.serving_list.as_ref().is_some_and(|(_, at)| is_fresh(at));
        let heard_addresses = self.last_heard.keys().filter(|_| !trusts_leader);
        let own = [self.identity.address];
        let presumed = self.presumed.iter().flat_map(|presumed| &presumed.addresses);
        let known = serving_list.iter().chain(heard_addresses).chain(presumed).chain(&own);
        let addresses: Vec<SocketAddr> = known.copied().collect();
        let layout = FleetLayout::new(addresses);
        if layout != self.layout || self.owners.is_empty() && self.has_serving_list() {
            self.layout = layout;
            self.refresh_owners();
        }
    }

    fn refresh_owners(&mut self) {
        if self.has_serving_list() {
            let ring = OwnerRing::new(self.layout.addresses(), self.identity.address);
            self.owners = Arc::new(ring);
        }
    }

    fn record_own_flows(&mut self, flows: &[FlowRow], now: Moment) {
        let is_mesh = self.is_mesh(now);
        for delta in flow_deltas(&totals_of(&self.local.flows), &totals_of(flows)) {
            self.own_rates.add(delta.organisation, delta.taken, now);
            if is_mesh {
                self.record_rates(&delta, now);
            }
        }
    }

    /// Adds tokens of any daemon to the fleet's rates.
    fn record_rates(&mut self, delta: &FlowDelta, now: Moment) {
        self.taken_rates.add(delta.organisation, delta.taken, now);
        self.asked_rates.add(delta.organisation, delta.asked as i64, now);
    }

    /// Queues tokens of other daemons to be charged to this daemon's limits.
    fn queue_charge(&mut self, organisation: OrganisationHash, tokens: i64) {
        *self.charges.entry(organisation).or_default() += tokens;
    }

    /// Returns true if this daemon sums the reports of other daemons itself, instead of receiving
    /// the sums from an aggregator.
    fn has_direct_view(&self, now: Moment) -> bool {
        self.is_mesh(now) || self.choice.chosen() == Some(self.identity.address)
    }

    /// Returns true if the fleet uses no aggregators, as far as this daemon knows.
    fn is_mesh(&self, now: Moment) -> bool {
        let hears_summaries =
            self.summary.as_ref().is_some_and(|summary| now.since(summary.last_heard) < WORK_TTL);
        self.layout.is_mesh() && !hears_summaries
    }

    /// Returns true if this daemon aggregates for its group or for any daemon that reports to it.
    fn is_aggregating(&self, now: Moment) -> bool {
        if self.is_mesh(now) {
            return false;
        }
        let is_live = |member: &MemberState| now.since(member.last_heard) < LIVENESS_TIMEOUT;
        self.choice.chosen() == Some(self.identity.address) || self.members.values().any(is_live)
    }

    /// Adds tokens to the sums. `is_member` is set if they come from a daemon that reports here,
    /// `is_own` if they are this daemon's own.
    fn add_deltas(&mut self, deltas: &[FlowDelta], (is_member, is_own): (bool, bool), now: Moment) {
        let has_direct_view = self.has_direct_view(now);
        for delta in deltas {
            if is_member {
                add_to(&mut self.group_flows, delta);
            }
            add_to(&mut self.fleet_flows, delta);
            if has_direct_view {
                self.record_rates(delta, now);
            }
            if has_direct_view && !is_own {
                self.queue_charge(delta.organisation, delta.taken);
            }
        }
    }

    fn silence_timeout(&self) -> Duration {
        SILENCE_TIMEOUT.max(self.layout.send_interval() * MIN_TIMEOUT_INTERVALS)
    }

    /// Adds the estimated usage of silent daemons.
    fn estimate_silent(&mut self, limit_rates: &[(OrganisationHash, f64)], now: Moment) {
        let timeout = self.silence_timeout();
        let equal_share = 1.0 / self.layout.addresses().len().max(1) as f64;
        let members = self.member_flows.estimate_silent(
            limit_rates,
            &self.taken_rates,
            (equal_share, timeout),
            now,
        );
        self.add_deltas(&members, (true, false), now);
        self.remove_covered(now);
        let group_share = 1.0 / self.layout.group_count() as f64;
        let peers = self.peer_flows.estimate_silent(
            limit_rates,
            &self.taken_rates,
            (group_share, timeout),
            now,
        );
        self.add_deltas(&peers, (false, false), now);
        match self.has_direct_view(now) {
            true => self.estimate_uncovered(limit_rates, now),
            false => self.estimate_silent_aggregator(limit_rates, now),
        }
    }

    /// Adds the estimated usage behind a silent aggregator, either the current one or one that was
    /// excluded. It stands for all other daemons until another aggregator is heard.
    fn estimate_silent_aggregator(&mut self, limit_rates: &[(OrganisationHash, f64)], now: Moment) {
        let address = self.summary.as_ref().map(|summary| summary.address);
        let is_excluded = address.is_some() && self.choice.chosen() != address;
        let timeout = if is_excluded { Duration::ZERO } else { self.silence_timeout() };
        let others_share = 1.0 - 1.0 / self.layout.addresses().len().max(1) as f64;
        let deltas = self.summary_flows.estimate_silent(
            limit_rates,
            &self.taken_rates,
            (others_share, timeout),
            now,
        );
        for delta in deltas {
            self.queue_charge(delta.organisation, delta.taken);
        }
    }

    /// Removes silent sources whose daemons are covered by another source by now.
    fn remove_covered(&mut self, now: Moment) {
        let is_live = |last_heard: Moment| now.since(last_heard) < LIVENESS_TIMEOUT;
        let live = self.aggregators.values().filter(|peer| is_live(peer.last_heard));
        let mut covered: BTreeSet<u32> =
            live.flat_map(|peer| peer.members.iter().copied()).collect();
        let moved = self
            .members
            .iter()
            .filter(|(_, member)| !is_live(member.last_heard) && covered.contains(&member.hash));
        let moved: Vec<DaemonName> = moved.map(|(daemon, _)| daemon.clone()).collect();
        moved.iter().for_each(|daemon| self.remove_member(daemon, now));
        covered.extend(self.members.values().map(|member| member.hash));
        let covered_share = |peer: &PeerAggregator| {
            let count = peer.members.iter().filter(|hash| covered.contains(hash)).count();
            count as f64 / peer.members.len().max(1) as f64
        };
        let silent = self.aggregators.iter().filter(|(_, peer)| !is_live(peer.last_heard));
        let replaced = silent.map(|(daemon, peer)| (daemon.clone(), covered_share(peer)));
        let replaced: Vec<(DaemonName, f64)> = replaced.filter(|(_, share)| *share > 0.0).collect();
        replaced.iter().for_each(|(daemon, share)| self.remove_peer(daemon, *share, now));
    }

    /// Removes a daemon that reports elsewhere or has left.
    fn remove_member(&mut self, daemon: &DaemonName, now: Moment) {
        let refunds = self.member_flows.retire(daemon, 1.0);
        self.add_deltas(&refunds, (true, false), now);
        self.members.remove(daemon);
    }

    /// Removes an aggregator that has left, or a fraction of whose daemons reports to another one.
    fn remove_peer(&mut self, daemon: &DaemonName, counted_elsewhere: f64, now: Moment) {
        let refunds = self.peer_flows.retire(daemon, counted_elsewhere);
        self.add_deltas(&refunds, (false, false), now);
        self.aggregators.remove(daemon);
    }

    fn remove_expired(&mut self, now: Moment) {
        let is_known = |last_heard: Moment| now.since(last_heard) < REMOVAL_TIMEOUT;
        let layout = &self.layout;
        let is_serving = |address: SocketAddr| layout.addresses().binary_search(&address).is_ok();
        self.last_heard.retain(|_, at| is_known(*at));
        self.members.retain(|_, member| is_known(member.last_heard) || is_serving(member.address));
        let members = &self.members;
        let is_member = |daemon: &DaemonName| members.contains_key(daemon);
        self.member_flows.retain(|daemon, at| is_member(daemon) || is_known(at));
        self.aggregators.retain(|_, peer| is_known(peer.last_heard));
        self.peer_flows.retain(|_, at| is_known(at));
        self.summary_flows.retain(|_, last_heard| is_known(last_heard));
        self.other_groups.remove_expired(now);
    }
}

/// Returns the departure to report, unless the daemon moves to another aggregator.
fn departure(local: &LocalState) -> Departure {
    if local.has_left { Departure::Left } else { Departure::Stays }
}

fn add_to(sums: &mut FlowTotals, delta: &FlowDelta) {
    let sum = sums.entry(delta.organisation).or_default();
    sum.0 += delta.taken;
    sum.1 += delta.asked;
}
