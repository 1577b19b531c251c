//! Queries on the fleet's state by the traffic layer.

use super::{FleetState, ISOLATED_SHARE, LIVENESS_TIMEOUT};
use crate::fleet_state::OrganisationHash;
use crate::fleet_state::waiting_table::{WaitingTable, add_waiting, subtract_waiting};
use crate::fleet_state::work_tables::{add_hints, add_work, subtract_work};
use crate::policy::{FleetGroup, LimitForecast, Moment, OwnerRing, PeerWork, UpstreamHash};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of hops until the whole fleet knows the present state of this daemon: its report, its
/// group's sum, and the summaries.
const FLEET_HOPS: u32 = 3;

/// Number of hops within a group: the report and the summary.
const GROUP_HOPS: u32 = 2;

/// Changes of the list are forwarded to aggregators heard within this time, and a daemon that has
/// heard no other within it is cut off.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The role of a daemon in the exchange of the fleet's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// The fleet is small; every daemon reports to all others.
    Mesh,
    /// The daemon reports to the aggregator at this address.
    Member(SocketAddr),
    /// The daemon aggregates for its group.
    Aggregator,
}

impl FleetState {
    pub fn role(&self, now: Moment) -> FleetRole {
        let own = self.identity.address;
        match self.choice.chosen() {
            _ if self.is_mesh(now) => FleetRole::Mesh,
            Some(address) if address != own => FleetRole::Member(address),
            _ => FleetRole::Aggregator,
        }
    }

    pub fn group(&self) -> FleetGroup {
        self.layout.group_of(self.identity.address)
    }

    /// Returns the addresses of all known daemons that serve callers, including this one.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.layout.addresses()
    }

    /// Returns the owners of cold upstreams; none before the leader has named the daemons.
    pub fn owners(&self) -> Arc<OwnerRing> {
        Arc::clone(&self.owners)
    }

    /// Returns the interval between two messages.
    pub fn send_interval(&self) -> Duration {
        self.layout.send_interval()
    }

    /// Returns the share of the organisations' limits that this daemon may use: the whole limit,
    /// which all daemons charge, once it knows of the others. After a restart of the whole fleet
    /// there is no leader for about a second and no daemon knows of any other. If each then
    /// admitted the whole limit, limits would be exceeded in the first seconds.
    pub fn limit_share(&self) -> f64 {
        let has_known_daemons = self.has_serving_list() || !self.last_heard.is_empty();
        if has_known_daemons { 1.0 } else { ISOLATED_SHARE }
    }

    /// Returns true once the leader has named the daemons that serve callers.
    pub fn has_serving_list(&self) -> bool {
        self.serving_list.as_ref().is_some_and(|(serving_list, _)| !serving_list.is_empty())
    }

    /// Returns the number of daemons that the sums cover, including this one.
    pub fn covered_daemons(&self, now: Moment) -> usize {
        let timeout = self.silence_timeout();
        let is_fresh = |last_heard: Moment| now.since(last_heard) < timeout;
        if !self.has_direct_view(now) {
            let fresh = self.summary.as_ref().filter(|summary| is_fresh(summary.last_heard));
            return fresh.map_or(1, |summary| summary.covered_daemons as usize);
        }
        let own = &self.identity.daemon;
        let others = self.members.iter().filter(|(daemon, _)| *daemon != own);
        let members = others.filter(|(_, member)| is_fresh(member.last_heard)).count();
        let peers = self.aggregators.values().filter(|peer| is_fresh(peer.last_heard));
        1 + members + peers.map(|peer| peer.members.len()).sum::<usize>()
    }

    /// Returns the age of the oldest part of the fleet's sums, excluding silent daemons.
    pub fn sums_age(&self, now: Moment) -> Duration {
        if !self.has_direct_view(now) {
            return self.summary.as_ref().map_or(Duration::ZERO, |summary| {
                (now.since(summary.last_heard) + summary.age).min(self.silence_timeout())
            });
        }
        let timeout = self.silence_timeout();
        let live = self.aggregators.values().filter(|peer| now.since(peer.last_heard) < timeout);
        let peers = live.map(|peer| now.since(peer.last_heard) + peer.age).max();
        peers.unwrap_or_default().max(self.members_age(now))
    }

    pub(super) fn members_age(&self, now: Moment) -> Duration {
        let timeout = self.silence_timeout();
        let ages = self.members.values().map(|member| now.since(member.last_heard));
        ages.filter(|age| *age < timeout).max().unwrap_or_default()
    }

    /// Returns a function that gives the forecast of what the other daemons admit against an
    /// organisation's limit.
    pub fn forecasts(&self, now: Moment) -> impl Fn(OrganisationHash) -> LimitForecast {
        // The ages of the parts range from zero to that of the oldest, so half of it is the mean.
        let age = self.sums_age(now) / 2;
        let counted_until = Moment(now.0.saturating_sub(age.as_micros() as u64));
        let hops = if self.is_mesh(now) { 1 } else { FLEET_HOPS };
        let horizon = self.send_interval() * hops;
        move |organisation| {
            let taken = self.taken_rates.rate(organisation, now);
            let own = self.own_rates.rate(organisation, now);
            let fleet_requested_rate = self.asked_rates.rate(organisation, now);
            let others_admitted_rate = (taken - own).max(0.0);
            LimitForecast { others_admitted_rate, fleet_requested_rate, counted_until, horizon }
        }
    }

    /// Returns a function that gives what an organisation asks of the whole fleet and what is
    /// admitted of it, in tokens per second; `None` while the sums cover less than half of the fleet.
    pub fn organisation_rates(
        &self,
        now: Moment,
    ) -> Option<impl Fn(OrganisationHash) -> (f64, f64)> {
        let is_covered = self.covered_daemons(now) * 2 >= self.layout.addresses().len();
        let rates = move |organisation| {
            let asked = self.asked_rates.rate(organisation, now);
            (asked, self.taken_rates.rate(organisation, now))
        };
        is_covered.then_some(rates)
    }

    /// Returns true if this daemon is the one that reads the platform's list: the aggregator with
    /// the lowest address among those that are live and can read it, or in a mesh the daemon with
    /// the lowest one. Partitions of the fleet that cannot hear each other have one reader each.
    /// When the reader falls silent, the next one in order takes over.
    pub fn is_list_reader(&self, now: Moment) -> bool {
        if !self.has_direct_view(now) {
            return false;
        }
        let own = (!self.local.can_read_list, self.identity.address);
        let timeout =
            LIVENESS_TIMEOUT.max(self.layout.send_interval() * super::MIN_TIMEOUT_INTERVALS);
        let is_fresh = |last_heard: Moment| now.since(last_heard) < timeout;
        let members = self.members.values().filter(|_| self.is_mesh(now));
        let members =
            members.map(|member| (member.last_heard, member.can_read_list, member.address));
        let peers = self.aggregators.values();
        let peers = peers.map(|peer| (peer.last_heard, peer.can_read_list, peer.address));
        let others = members.chain(peers).filter(|(last_heard, ..)| is_fresh(*last_heard));
        others.map(|(_, can_read, address)| (!can_read, address)).all(|other| own <= other)
    }

    /// Returns true if another daemon was heard recently.
    pub fn hears_others(&self, now: Moment) -> bool {
        let last_heard = self.last_heard.values().max();
        last_heard.is_some_and(|at| now.since(*at) < FORWARD_TIMEOUT)
    }

    /// Returns the receivers of a change of the list: the reader sends it to the aggregators, and
    /// they forward it to their groups.
    pub fn list_receivers(&self, now: Moment) -> Vec<SocketAddr> {
        let is_fresh = |last_heard: Moment| now.since(last_heard) < FORWARD_TIMEOUT;
        let is_list_reader = self.is_list_reader(now);
        let peers =
            self.aggregators.values().filter(|peer| is_list_reader && is_fresh(peer.last_heard));
        // The aggregators come first, since they forward the change to their groups.
        let mut receivers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        let group = self.layout.members(self.group().index).iter().copied();
        let members = self.others_among(group).into_iter();
        receivers.extend(members.filter(|member| !receivers.contains(member)).collect::<Vec<_>>());
        receivers
    }

    /// Returns true if this daemon forwards changes of the list to its group.
    pub fn is_list_forwarder(&self, now: Moment) -> bool {
        self.role(now) == FleetRole::Aggregator
    }

    /// Returns a daemon to ask for the list; `draw` (0.0..1.0) selects among those that may know it.
    /// A member asks its aggregator or, as often, another member of its group: those that have the
    /// list already share the work of passing it on. An aggregator asks another aggregator.
    pub fn list_source(&self, draw: f64, now: Moment) -> Option<SocketAddr> {
        let group = self.layout.members(self.group().index).iter().copied();
        let others = match self.role(now) {
            FleetRole::Mesh => self.others_among(self.layout.addresses().iter().copied()),
            FleetRole::Member(aggregator) if draw < 0.5 => return Some(aggregator),
            FleetRole::Member(_) => self.others_among(group),
            FleetRole::Aggregator => {
                let is_fresh = |last_heard| now.since(last_heard) < FORWARD_TIMEOUT;
                let peers = self.aggregators.values().filter(|peer| is_fresh(peer.last_heard));
                self.others_among(peers.map(|peer| peer.address).chain(group))
            }
        };
        others.get((draw.fract() * others.len() as f64) as usize).copied()
    }

    /// Returns the waiting requests of the other daemons of the group.
    pub fn others_waiting(&self, now: Moment) -> WaitingTable {
        if self.has_direct_view(now) {
            return self.members_waiting(false, now);
        }
        let mut table = WaitingTable::new();
        let fresh =
            self.summary.as_ref().filter(|view| now.since(view.last_heard) < LIVENESS_TIMEOUT);
        if let Some(summary) = fresh {
            add_waiting(&mut table, &summary.waiting);
            subtract_waiting(&mut table, self.history.included_waiting());
        }
        table
    }

    /// Returns the time until the rest of the group knows the present state of this daemon.
    pub fn group_delay(&self, now: Moment) -> Duration {
        let hops = if self.has_direct_view(now) { 1 } else { GROUP_HOPS };
        self.send_interval() * hops
    }

    /// Returns the requests of all other daemons at each upstream, and the latest speed that one of
    /// them measured. Only the requests of this daemon's own group are recent enough to count
    /// against an upstream's places; those of other groups are hints.
    pub fn others_work(&self, now: Moment) -> BTreeMap<UpstreamHash, PeerWork> {
        let mut sums = BTreeMap::new();
        if self.has_direct_view(now) {
            let ttl = self.work_ttl();
            let own = &self.identity.daemon;
            let others = self.members.iter().filter(|(daemon, _)| *daemon != own);
            let fresh = others.filter(|(_, member)| now.since(member.last_heard) < ttl);
            fresh.for_each(|(_, member)| add_work(&mut sums, member.work.iter().copied()));
        } else if let Some(summary) = &self.summary {
            add_work(&mut sums, summary.work.iter().copied());
            subtract_work(&mut sums, self.history.included_work());
        }
        if !self.is_mesh(now) {
            add_hints(&mut sums, self.other_groups.rows());
        }
        self.other_groups.add_speeds(&mut sums);
        sums
    }
}
