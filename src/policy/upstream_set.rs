//! The upstreams of one pool: liveness, free capacity, group membership and incarnations.

use super::upstreams::CAPACITY_CLASSES;
use super::{
    CapacityClass, ColdBound, DispatchOutcome, FleetGroup, LearnedLimit, LoadReport, Moment,
    OwnerRing, PeerWork, PlacementDemand, PlacementQuery, RateReport, RateStatement, UpstreamEvent,
    UpstreamIndex, UpstreamSource, UpstreamState, UpstreamStatus,
};
use crate::table::{SoftwareVersion, UpstreamName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An upstream is a straggler if its time between tokens exceeds this multiple of the pool's
/// median.
const STRAGGLER_RATIO: f64 = 2.0;
/// An upstream that another daemon could not reach gets no work for this long, until this daemon
/// has probed it.
const REMOTE_DOWN_PAUSE: Duration = Duration::from_millis(250);
/// An upstream that sent events within this time is considered reachable, whatever other daemons
/// report.
const REACHABLE_WINDOW: Duration = Duration::from_millis(500);
/// The incarnation of an upstream that has not reported one.
const UNKNOWN_INCARNATION: u64 = 0;
/// An incarnation that has left is not taken up again for this long after it was last listed, since
/// an older list may still arrive from a daemon that was cut off.
pub const DEPARTED_TTL: Duration = Duration::from_secs(10);
/// A departure that an upstream states is reported to the other daemons for this long.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(3);
/// Weight of a new request in the mean of the tokens that requests may use of an upstream's memory.
const HELD_TOKENS_WEIGHT: f64 = 0.05;
/// Minimum number of upstreams per group; pools with fewer are shared by all groups.
const MIN_GROUP_UPSTREAMS: usize = 4;

/// The upstreams of a pool.
#[derive(Debug, Default)]
pub struct UpstreamSet {
    upstreams: BTreeMap<UpstreamIndex, UpstreamStatus>,
    by_name: HashMap<UpstreamName, UpstreamIndex>,
    open: [Vec<UpstreamIndex>; CAPACITY_CLASSES],
    headroom: f64,
    next_index: u32,
    live: usize,
    share: Option<f64>,
    group: FleetGroup,
    /// The membership generation for which the group's upstreams were computed.
    group_generation: Option<u64>,
    /// Incarnations that announced their departure, or were reported as leaving, and when a source
    /// last listed them; kept for [`DEPARTED_TTL`] after that. Without this record, an upstream that
    /// is gone and forgotten is added as new again by a list that lags behind.
    departed: HashMap<(UpstreamName, u64), Option<Moment>>,
    /// Incarnations that have stated their departure to this daemon, and when; kept for
    /// [`DEPARTURE_REPORT_TIME`].
    announced: HashMap<(UpstreamName, u64), Moment>,
    /// Incremented on each change of the usable upstreams.
    pub generation: u64,
    /// See [`UpstreamSet::lone_versions`], and the generation for which they were found.
    lone_versions: (Option<u64>, Arc<[UpstreamIndex]>),
    /// Bound on requests to cold upstreams, if there is one.
    cold_bound: Option<ColdBound>,
    owners: Arc<OwnerRing>,
    /// Mean tokens that this daemon's requests may use of an upstream's memory.
    mean_held_tokens: Option<f64>,
}

impl UpstreamSet {
    /// The upstream with this index, if it is still known.
    pub fn get(&self, index: UpstreamIndex) -> Option<&UpstreamStatus> {
        self.upstreams.get(&index)
    }

    /// All upstreams, ordered by index.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamStatus> {
        self.upstreams.values()
    }

    /// Upstreams that may be given work now, in arbitrary order.
    pub fn open(&self, class: CapacityClass) -> &[UpstreamIndex] {
        &self.open[class as usize]
    }

    /// Sets the share of each upstream's limit that is reserved for the highest tier.
    pub fn set_headroom(&mut self, headroom: f64) {
        self.headroom = headroom;
        self.update_all(|status| status.headroom = headroom);
    }

    /// The index of the upstream with this name.
    pub fn find(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.by_name.get(name).copied()
    }

    /// The number of usable upstreams.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// True if some usable upstream may serve requests with this demand.
    pub fn has_usable(&self, demand: &PlacementDemand) -> bool {
        let serves = |status: &UpstreamStatus| status.is_usable() && status.meets(demand);
        self.live > 0 && (demand.is_empty() || self.upstreams.values().any(serves))
    }

    /// True if some upstream in service may serve requests with this demand, now or once it is
    /// reached again.
    pub fn has_in_service(&self, demand: &PlacementDemand) -> bool {
        let serves = |status: &UpstreamStatus| status.is_in_service() && status.meets(demand);
        self.upstreams.values().any(serves)
    }

    /// Upstreams that are the only ones of their version in service, if another version has several.
    /// A stream that begins at one of them cannot be resumed once it is gone.
    pub fn lone_versions(&mut self) -> Arc<[UpstreamIndex]> {
        if self.lone_versions.0 != Some(self.generation) {
            self.lone_versions = (Some(self.generation), self.find_lone_versions().into());
        }
        Arc::clone(&self.lone_versions.1)
    }

    fn find_lone_versions(&self) -> Vec<UpstreamIndex> {
        let mut by_version: BTreeMap<&SoftwareVersion, Vec<UpstreamIndex>> = BTreeMap::new();
        for status in self.upstreams.values().filter(|status| status.is_in_service()) {
            let Some(version) = &status.source.version else { continue };
            by_version.entry(version).or_default().push(status.index);
        }
        let has_lasting = by_version.values().any(|indexes| indexes.len() > 1);
        let lone = by_version.into_values().filter(|indexes| has_lasting && indexes.len() == 1);
        lone.flatten().collect()
    }

    /// True if a later upstream has the address of this one, or this one is forgotten.
    pub fn is_replaced(&self, index: UpstreamIndex) -> bool {
        let Some(status) = self.upstreams.get(&index) else { return true };
        let mut later = self.upstreams.range(index..).skip(1);
        later.any(|(_, other)| other.source.address == status.source.address)
    }

    /// True if the version of any upstream is known.
    pub fn has_versions(&self) -> bool {
        self.upstreams.values().any(|status| status.source.version.is_some())
    }

    /// True if there are other upstreams in service than this one, and none of them can be reached.
    pub fn is_last_reachable(&self, index: UpstreamIndex) -> bool {
        let mut others = self.upstreams.values().filter(|status| {
            status.index != index
                && matches!(status.state(), UpstreamState::Live | UpstreamState::Suspect)
        });
        let mut count = 0;
        others.all(|status| {
            count += 1;
            status.state() == UpstreamState::Suspect
        }) && count > 0
    }

    /// True if this daemon may send requests with this demand to some usable upstream before `latest`.
    /// It may not if each of them rests until then, or states a limited rate that is left to another
    /// daemon.
    pub fn takes_requests_before(&self, demand: &PlacementDemand, latest: Moment) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|status| status.takes_requests_before(latest) && status.meets(demand))
    }

    /// When the first upstream that may serve requests with this demand ends its rest; `None` if one of
    /// them does not rest, or there is none.
    pub fn rest_end(&self, demand: &PlacementDemand) -> Option<Moment> {
        let serves = |status: &&UpstreamStatus| status.is_usable() && status.meets(demand);
        let ends: Option<Vec<Moment>> =
            self.upstreams.values().filter(serves).map(|status| status.rest_until).collect();
        ends?.into_iter().min()
    }

    /// Gives an upstream no work until then, or until the end of a longer rest.
    pub fn rest(&mut self, index: UpstreamIndex, until: Moment) {
        self.update(index, |status| status.rest_until = status.rest_until.max(Some(until)));
    }

    /// This daemon's part of what the usable upstreams take at a time, in tokens, for requests of
    /// `mean_cost` that run for `run_seconds`.
    pub fn live_limit(&self, mean_cost: f64, run_seconds: f64) -> f64 {
        let usable =
            self.upstreams.values().filter(|status| status.is_usable() && !status.is_resting());
        usable.map(|status| status.capacity_tokens(mean_cost, run_seconds)).sum()
    }

    /// Applies the merged list of upstreams from the table and the platform. A known name with a
    /// larger incarnation is a different upstream: the old one leaves, whatever its own list entry
    /// says.
    pub fn set_sources(
        &mut self,
        sources: &[UpstreamSource],
        new_limit: impl Fn(Option<u32>) -> LearnedLimit,
        now: Moment,
    ) {
        let listed: HashSet<(&UpstreamName, u64)> =
            sources.iter().map(|source| (&source.name, source.incarnation)).collect();
        self.departed.retain(|(name, incarnation), listed_at| {
            if listed_at.is_none() || listed.contains(&(name, *incarnation)) {
                *listed_at = Some(now);
            }
            listed_at.is_some_and(|at| now.since(at) < DEPARTED_TTL)
        });
        for source in sources {
            let has_departed =
                self.departed.contains_key(&(source.name.clone(), source.incarnation));
            if has_departed && self.find(&source.name).is_none() {
                continue;
            }
            match self.find(&source.name).and_then(|index| self.upstreams.get(&index)) {
                Some(known) if known.source.incarnation > source.incarnation => continue,
                Some(known)
                    if known.source.incarnation == source.incarnation
                        && known.source.address == source.address => {}
                Some(known)
                    if known.source.incarnation == UNKNOWN_INCARNATION
                        && known.source.address == source.address =>
                {
                    let index = known.index;
                    self.observe_incarnation(index, source.incarnation, &new_limit, now);
                }
                Some(known) => {
                    let old = known.index;
                    self.apply_event(old, UpstreamEvent::Absent);
                    self.add(source.clone(), new_limit(source.places));
                }
                None => self.add(source.clone(), new_limit(source.places)),
            }
            self.update_availability(source, now);
            if source.is_leaving
                && let Some(index) = self.find(&source.name)
            {
                self.apply_event(index, UpstreamEvent::Leaving);
            }
        }
        let names: HashSet<&UpstreamName> = sources.iter().map(|source| &source.name).collect();
        let absent: Vec<UpstreamIndex> = self
            .upstreams
            .values()
            .filter(|status| !names.contains(&status.source.name))
            .map(|status| status.index)
            .collect();
        absent.into_iter().for_each(|index| self.apply_event(index, UpstreamEvent::Absent));
    }

    /// Applies what a source says of an upstream besides its life cycle. The upstreams of a data
    /// centre that returns to use may be cold by then, and the list is updated with a delay.
    fn update_availability(&mut self, source: &UpstreamSource, now: Moment) {
        let Some(index) = self.find(&source.name) else { return };
        let bound = self.cold_bound;
        let known = self.upstreams.get(&index).map(|status| &status.source);
        let is_changed = known.is_some_and(|known| {
            known.version != source.version
                || known.is_evacuated != source.is_evacuated
                || known.is_unannounced != source.is_unannounced
        });
        self.generation += u64::from(is_changed);
        self.update(index, |status| {
            let returns = status.source.is_evacuated && !source.is_evacuated;
            if let Some(bound) = bound.filter(|_| returns) {
                status.cold_pace.set_cold_until(Some(now + bound.duration));
            }
            status.source.version.clone_from(&source.version);
            status.source.data_centre.clone_from(&source.data_centre);
            status.source.region.clone_from(&source.region);
            status.source.is_evacuated = source.is_evacuated;
            status.source.is_cold = source.is_cold;
            status.source.is_unannounced = source.is_unannounced;
            status.review_pace(bound.as_ref(), now);
        });
    }

    /// Sets the bound on requests to cold upstreams.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>) {
        self.cold_bound = bound;
    }

    /// Sets which daemons own which upstreams while these are cold or state a rate.
    pub fn set_owners(&mut self, owners: Arc<OwnerRing>, now: Moment) {
        let bound = self.cold_bound;
        self.update_all(|status| {
            status.is_owned = owners.is_owner(status.source.address);
            if status.rate_pace.is_limited() {
                let rate = status.rate_pace.rate();
                let share = owners.rate_share(status.source.address, rate, now.0);
                status.rate_pace.set_share(share, now);
            }
            status.review_pace(bound.as_ref(), now);
        });
        self.owners = owners;
    }

    /// The owners of cold upstreams.
    pub fn owners(&self) -> &Arc<OwnerRing> {
        &self.owners
    }

    /// Applies an upstream's report that it is cold until `until`, or that it is not.
    pub fn report_cold(&mut self, index: UpstreamIndex, until: Option<Moment>, now: Moment) {
        let bound = self.cold_bound;
        self.update(index, |status| {
            status.cold_pace.set_cold_until(until);
            status.review_pace(bound.as_ref(), now);
        });
    }

    /// Applies the rate that an upstream states in an answer to this daemon.
    pub fn state_rate(&mut self, index: UpstreamIndex, rate: RateStatement, now: Moment) {
        let (bound, owners) = (self.cold_bound, Arc::clone(&self.owners));
        self.update(index, |status| {
            let share = owners.rate_share(status.source.address, rate, now.0);
            status.rate_pace.record_statement(rate, share, now);
            status.review_pace(bound.as_ref(), now);
        });
    }

    /// Applies an incarnation reported by an upstream. A later incarnation is a different upstream
    /// without learned state; an earlier one comes from an outdated report and is ignored. The
    /// first report of an unknown incarnation does not make it a different upstream.
    pub fn observe_incarnation(
        &mut self,
        index: UpstreamIndex,
        incarnation: u64,
        new_limit: impl Fn(Option<u32>) -> LearnedLimit,
        now: Moment,
    ) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let is_current = self.by_name.get(&status.source.name) == Some(&index);
        if !is_current || status.source.incarnation >= incarnation {
            return;
        }
        if status.source.incarnation == UNKNOWN_INCARNATION {
            status.source.incarnation = incarnation;
            return;
        }
        let source = UpstreamSource { incarnation, is_leaving: false, ..status.source.clone() };
        self.apply_event(index, UpstreamEvent::Absent);
        let limit = new_limit(source.places);
        let name = source.name.clone();
        self.add(source, limit);
        // It has just started, so it is cold whatever the list says of its predecessor.
        if let (Some(added), Some(bound)) = (self.find(&name), self.cold_bound) {
            self.report_cold(added, Some(now + bound.duration), now);
        }
    }

    fn add(&mut self, source: UpstreamSource, limit: LearnedLimit) {
        let index = UpstreamIndex(self.next_index);
        self.next_index += 1;
        self.by_name.insert(source.name.clone(), index);
        let share = self.share.unwrap_or(1.0);
        let mut status = UpstreamStatus::new(index, source, limit, share, self.headroom);
        status.is_owned = self.owners.is_owner(status.source.address);
        self.upstreams.insert(index, status);
        self.generation += 1;
        self.refresh(index);
    }

    /// Applies a life-cycle event of an upstream and forgets the upstream once it is gone.
    pub fn apply_event(&mut self, index: UpstreamIndex, event: UpstreamEvent) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let before = status.machine.state();
        if event == UpstreamEvent::Leaving {
            let departed = (status.source.name.clone(), status.source.incarnation);
            self.departed.entry(departed).or_insert(None);
        }
        status.machine.step(event);
        if status.in_flight == 0 {
            status.machine.step(UpstreamEvent::Idle);
        }
        let after = status.machine.state();
        if before != after {
            self.generation += 1;
        }
        self.refresh(index);
        if after == UpstreamState::Gone {
            self.forget(index);
        }
    }

    /// Applies an upstream's own statement that it leaves.
    pub fn announce_departure(&mut self, index: UpstreamIndex, now: Moment) {
        let Some(status) = self.upstreams.get(&index) else { return };
        let departed = (status.source.name.clone(), status.source.incarnation);
        self.announced.entry(departed).or_insert(now);
        self.apply_event(index, UpstreamEvent::Leaving);
    }

    /// Names and incarnations of the upstreams that have lately stated their departure.
    pub fn announced_departures(&self, now: Moment) -> impl Iterator<Item = (&UpstreamName, u64)> {
        let recent = self.announced.iter();
        let recent = recent.filter(move |(_, at)| now.since(**at) < DEPARTURE_REPORT_TIME);
        recent.map(|((name, incarnation), _)| (name, *incarnation))
    }

    fn forget(&mut self, index: UpstreamIndex) {
        let Some(status) = self.upstreams.remove(&index) else { return };
        if self.by_name.get(&status.source.name) == Some(&index) {
            self.by_name.remove(&status.source.name);
        }
    }

    /// Modifies an upstream and keeps the lists of open ones consistent.
    pub fn update(&mut self, index: UpstreamIndex, change: impl FnOnce(&mut UpstreamStatus)) {
        if let Some(status) = self.upstreams.get_mut(&index) {
            change(status);
            self.refresh(index);
        }
    }

    /// Modifies every upstream, as [`UpstreamSet::update`] does for one.
    pub fn update_all(&mut self, change: impl Fn(&mut UpstreamStatus)) {
        let indexes: Vec<UpstreamIndex> = self.upstreams.keys().copied().collect();
        indexes.into_iter().for_each(|index| self.update(index, &change));
    }

    /// Sets this daemon's share of every upstream's limit, including upstreams added later.
    pub fn set_share(&mut self, share: f64) {
        if self.share == Some(share) {
            return;
        }
        self.share = Some(share);
        self.update_all(|status| status.share = share);
    }

    /// Applies the work that other daemons report for each upstream. An upstream that they cannot
    /// reach gets no work for a while. A daemon that reaches nothing is itself disconnected, so
    /// reports that cover more than half of the live upstreams are not trusted.
    pub fn set_peer_work(&mut self, rows: &[(UpstreamName, PeerWork)], now: Moment) {
        let down = rows.iter().filter(|(_, work)| work.is_down).count();
        let is_trusted = down * 2 <= self.live;
        let (bound, owners) = (self.cold_bound, Arc::clone(&self.owners));
        for (name, work) in rows {
            let Some(index) = self.find(name) else { continue };
            self.update(index, |status| {
                status.peer_work = *work;
                let reported_gap = (work.gap_micros > 0).then(|| f64::from(work.gap_micros));
                status.peer_gap_micros = reported_gap.or(status.peer_gap_micros);
                let is_known_reachable = now.since(status.gap_measured_at) < REACHABLE_WINDOW;
                if work.is_down && is_trusted && !is_known_reachable {
                    status.paused_until = Some(now + REMOTE_DOWN_PAUSE);
                }
                if work.stated_rate != RateReport::default() || status.rate_pace.is_limited() {
                    let rate = work.stated_rate.statement().unwrap_or(status.rate_pace.rate());
                    let share = owners.rate_share(status.source.address, rate, now.0);
                    status.rate_pace.record_report(work.stated_rate, share, now);
                    status.review_pace(bound.as_ref(), now);
                }
            });
            if work.is_leaving {
                self.apply_event(index, UpstreamEvent::Leaving);
            }
        }
    }

    /// The group of daemons that this one belongs to.
    pub fn group(&self) -> FleetGroup {
        self.group
    }

    /// Computes which upstreams belong to this daemon's group: those that are not evacuated are
    /// ordered by address and divided evenly among the groups.
    pub fn set_group(&mut self, group: FleetGroup) {
        if self.group == group && self.group_generation == Some(self.generation) {
            return;
        }
        self.group = group;
        self.group_generation = Some(self.generation);
        let divided = self.upstreams.values().filter(|status| !status.source.is_evacuated);
        let mut order: Vec<(SocketAddr, UpstreamIndex)> =
            divided.map(|status| (status.source.address, status.index)).collect();
        order.sort_unstable();
        let total = order.len();
        let is_shared = total < group.count * MIN_GROUP_UPSTREAMS;
        for (position, (_, index)) in order.into_iter().enumerate() {
            let is_in_group =
                is_shared || FleetGroup::index_of(position, total, group.count) == group.index;
            self.update(index, |status| status.is_in_group = is_in_group);
        }
    }

    /// Ends expired pauses and rests, and the holding back of upstreams that have room again, so that
    /// these upstreams may be given work.
    pub fn resume_paused(&mut self, now: Moment) {
        self.announced.retain(|_, at| now.since(*at) < DEPARTURE_REPORT_TIME);
        let is_over = |end: Option<Moment>| end.is_some_and(|at| at <= now);
        let is_expired = |status: &UpstreamStatus| is_over(status.paused_until);
        let is_rested = |status: &UpstreamStatus| is_over(status.rest_until);
        let to_review = |status: &&UpstreamStatus| {
            is_expired(status) || is_rested(status) || status.is_held_back
        };
        let chosen: Vec<UpstreamIndex> =
            self.upstreams.values().filter(to_review).map(|status| status.index).collect();
        let bound = self.cold_bound;
        for index in chosen {
            self.update(index, |status| {
                if is_expired(status) {
                    status.paused_until = None;
                }
                if is_rested(status) {
                    status.rest_until = None;
                }
                status.review_pace(bound.as_ref(), now);
            });
        }
    }

    /// Records the outcome of an exchange with an upstream.
    pub fn record_outcome(&mut self, index: UpstreamIndex, outcome: DispatchOutcome, now: Moment) {
        let has_failed = match outcome {
            DispatchOutcome::Completed { .. } => false,
            DispatchOutcome::Failed => true,
            DispatchOutcome::NotSent | DispatchOutcome::Cancelled | DispatchOutcome::NoSlot => {
                return;
            }
        };
        self.update(index, |status| {
            status.record_outcome(has_failed, now);
            if has_failed {
                status.memory.note_failure(now);
            }
        });
    }

    /// Records a dispatch.
    pub fn dispatched(&mut self, index: UpstreamIndex, cost: u32, now: Moment) {
        let bound = self.cold_bound;
        self.update(index, |status| {
            if let Some(bound) = &bound {
                status.cold_pace.record_send(bound, now);
            }
            status.rate_pace.record_send(now);
            status.review_pace(bound.as_ref(), now);
            status.in_flight += 1;
            status.in_flight_tokens += u64::from(cost);
            status.record_change(now, 1);
        });
    }

    /// Records the end of a dispatch.
    pub fn ended(&mut self, index: UpstreamIndex, cost: u32, now: Moment) {
        self.update(index, |status| {
            status.in_flight = status.in_flight.saturating_sub(1);
            status.in_flight_tokens = status.in_flight_tokens.saturating_sub(u64::from(cost));
            status.record_change(now, -1);
        });
        if self.get(index).is_some_and(|status| status.state() == UpstreamState::Leaving) {
            self.apply_event(index, UpstreamEvent::Idle);
        }
    }

    /// Counts the tokens that a request may use of the memory of the upstream it is placed at.
    pub fn hold_tokens(&mut self, index: UpstreamIndex, tokens: u32, now: Moment) {
        let sample = f64::from(tokens);
        let mean = self.mean_held_tokens;
        self.mean_held_tokens =
            Some(mean.map_or(sample, |mean| mean + (sample - mean) * HELD_TOKENS_WEIGHT));
        self.update(index, |status| status.memory.hold(tokens, now));
    }

    /// Releases the tokens of a request that has ended.
    pub fn release_tokens(&mut self, index: UpstreamIndex, tokens: u32) {
        self.update(index, |status| status.memory.release(tokens));
    }

    /// Mean tokens that a request may use of an upstream's memory; 0 if none was placed yet.
    pub fn mean_held_tokens(&self) -> f64 {
        self.mean_held_tokens.unwrap_or_default()
    }

    /// Records at which upstreams only the estimate of the other daemons' tokens keeps a request out.
    pub fn note_memory_shortage(&mut self, query: &PlacementQuery<'_>) {
        for status in self.upstreams.values_mut() {
            if query.is_kept_out_by_estimate(status) {
                status.memory.note_shortage(query.now);
            }
        }
    }

    /// Applies a load report.
    pub fn reported(&mut self, index: UpstreamIndex, report: LoadReport, now: Moment) {
        self.update(index, |status| status.record_report(report, now));
        self.apply_event(
            index,
            if report.is_leaving { UpstreamEvent::Leaving } else { UpstreamEvent::Answered },
        );
    }

    /// Updates which upstreams are stragglers, comparing each one's time between tokens with the
    /// pool's median.
    pub fn update_stragglers(&mut self) {
        let mut gaps: Vec<f64> =
            self.upstreams.values().filter_map(|status| status.gap_micros).collect();
        if gaps.len() < 3 {
            return;
        }
        let middle = gaps.len() / 2;
        let (_, median, _) = gaps.select_nth_unstable_by(middle, f64::total_cmp);
        let bound = *median * STRAGGLER_RATIO;
        for status in self.upstreams.values_mut() {
            status.is_straggler = status.gap_micros.is_some_and(|gap| gap > bound);
        }
    }

    fn refresh(&mut self, index: UpstreamIndex) {
        self.refresh_count(index);
        self.refresh_class(index, CapacityClass::Regular);
        self.refresh_class(index, CapacityClass::WithHeadroom);
    }

    fn refresh_count(&mut self, index: UpstreamIndex) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let is_usable = status.is_usable();
        if status.is_counted == is_usable {
            return;
        }
        status.is_counted = is_usable;
        self.generation += 1;
        match is_usable {
            true => self.live += 1,
            false => self.live -= 1,
        }
    }

    fn refresh_class(&mut self, index: UpstreamIndex, class: CapacityClass) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let open = &mut self.open[class as usize];
        match (status.has_capacity(class), status.open_positions[class as usize]) {
            (true, None) => {
                status.open_positions[class as usize] = Some(open.len());
                open.push(index);
            }
            (false, Some(position)) => {
                status.open_positions[class as usize] = None;
                open.swap_remove(position);
                if let Some(moved) = open.get(position).copied()
                    && let Some(status) = self.upstreams.get_mut(&moved)
                {
                    status.open_positions[class as usize] = Some(position);
                }
            }
            _ => {}
        }
    }
}
