//! The state of one upstream as seen by this daemon: life cycle, work in flight and load reports.

use super::{
    ColdBound, ColdPace, EngineMemory, LearnedLimit, MemoryNeed, Moment, PlacementDemand, RatePace,
    RateReport, UpstreamIndex,
};
use crate::chart::{ChartMachine, NoAction, StateChart};
use crate::chart_names;
use crate::table::{DataCentreName, RegionName, SoftwareVersion, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::LazyLock;
use std::time::Duration;

/// Dispatches and ends older than this no longer correct a load report.
const CORRECTION_WINDOW: Duration = Duration::from_secs(5);
/// Load reports older than this are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Requests that may wait inside an upstream without counting as a queue, plus one for every
/// `QUEUED_BATCH_DIVISOR` in its batch, since some are always about to enter the next step. A queue
/// lowers the limit only if two consecutive reports show it: when one report sufficed, the limit
/// never rose above its initial value.
const QUEUED_TOLERANCE: u32 = 2;
const QUEUED_BATCH_DIVISOR: u32 = 16;
/// Weight of a new sample in an upstream's mean time between tokens.
const GAP_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Consecutive failures after which an upstream is backed off; a single one is often the fault of
/// the request or the connection.
const BACKOFF_AFTER_FAILURES: u32 = 2;
/// Duration of the first backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// A backoff is doubled at most this many times, to 4 s, so that a recovered upstream is soon used
/// again.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// An upstream that refused a slot is not asked again for this long, doubled with each consecutive
/// refusal: with 4 slots and runs of half a second, one becomes free every 125 ms.
const INITIAL_REFUSAL_PAUSE: Duration = Duration::from_millis(30);
/// Maximum doublings of that pause, to 120 ms.
const MAX_REFUSAL_PAUSE_DOUBLINGS: u32 = 2;

chart_names! {
    /// The life-cycle state of an upstream.
    UpstreamState {
        /// May be given work.
        Live,
        /// Could not be reached; is given work again once it answers.
        Suspect,
        /// Is given no new work; running work may finish.
        Leaving,
        /// Has left, and none of this daemon's requests run there any more.
        Gone,
    }
}

chart_names! {
    /// An event in the life cycle of an upstream.
    UpstreamEvent {
        /// It answered a request or a probe.
        Answered,
        /// A connection to it could not be opened.
        Unreachable,
        /// The upstream or the platform reports that it is leaving.
        Leaving,
        /// Neither the table nor the platform's list contains it any more.
        Absent,
        /// None of this daemon's requests run there.
        Idle,
    }
}

/// The state chart of an upstream's life cycle.
pub type UpstreamChart = StateChart<UpstreamState, UpstreamEvent, NoAction>;

static CHART: LazyLock<UpstreamChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/upstream.json"))
        .expect("charts/upstream.json is checked by a test")
});

/// The upstream chart, loaded once.
pub fn upstream_chart() -> &'static UpstreamChart {
    &CHART
}

/// An upstream as listed by the table or the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSource {
    pub name: UpstreamName,
    /// Increases when another process takes over the name or address.
    pub incarnation: u64,
    pub address: std::net::SocketAddr,
    /// True if a source lists it as leaving.
    pub is_leaving: bool,
    /// Concurrent request slots, if a source states them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub places: Option<u32>,
    /// Its software version, if a source states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// The data centre it runs in, if a source states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreName>,
    /// The region of that data centre, if the settings name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
    /// True while its data centre is evacuated, so that it gets no work.
    #[serde(default)]
    pub is_evacuated: bool,
    /// True if a source lists it as cold; see [`ColdBound`].
    #[serde(default)]
    pub is_cold: bool,
    /// True while a majority of the voters has not heard of its version.
    #[serde(default)]
    pub is_unannounced: bool,
}

impl UpstreamSource {
    /// Creates the source of an upstream of which only the name and address are known.
    pub fn new(name: UpstreamName, address: std::net::SocketAddr) -> Self {
        UpstreamSource {
            name,
            incarnation: 0,
            address,
            is_leaving: false,
            places: None,
            version: None,
            data_centre: None,
            region: None,
            is_evacuated: false,
            is_cold: false,
            is_unannounced: false,
        }
    }
}

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The report's time by the upstream's own clock, in microseconds; 0 if not given.
    pub stamp: u64,
    /// Requests in its batch.
    pub running: u32,
    /// Requests waiting inside the upstream.
    pub queued: u32,
    /// Current step time in microseconds; 0 if not given.
    pub step_micros: u32,
    /// True if the upstream reports that it is leaving.
    pub is_leaving: bool,
}

/// What this daemon knows about one upstream.
#[derive(Debug)]
pub struct UpstreamStatus {
    pub index: UpstreamIndex,
    /// The list entry that names the upstream and gives its address.
    pub source: UpstreamSource,
    pub(super) machine: ChartMachine<UpstreamState, UpstreamEvent, NoAction>,
    /// The learned limit on work in flight.
    pub limit: LearnedLimit,
    /// Estimated tokens of this daemon's requests in flight.
    pub in_flight_tokens: u64,
    /// This daemon's requests in flight.
    pub in_flight: u32,
    /// This daemon's share of the limit, from 0.0 to 1.0.
    pub share: f64,
    /// Mean time between tokens, in microseconds.
    pub gap_micros: Option<f64>,
    /// True while the upstream is much slower than its pool.
    pub is_straggler: bool,
    report: Option<(Moment, LoadReport)>,
    /// True if the last report showed a queue inside the upstream.
    had_queue: bool,
    /// The smallest difference observed between arrival time and stamp, used as the offset between
    /// the two clocks.
    clock_offset: Option<i64>,
    recent_changes: VecDeque<(Moment, i32)>,
    /// The part of the share that is reserved for the highest tier.
    pub(super) headroom: f64,
    /// The other daemons' work there, as last reported.
    pub peer_work: PeerWork,
    /// Prompt tokens of this daemon's requests that the upstream has not yet processed.
    pub unread_tokens: u64,
    /// Moving average of failures, from 0.0 (none) to 1.0 (all).
    pub failure_rate: f64,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// After consecutive failures, it gets work until then only if no other upstream has capacity.
    pub backoff_until: Moment,
    /// It gets no work until then, after it refused a slot or another daemon could not reach it.
    pub(super) paused_until: Option<Moment>,
    /// Until then it gets no work, as it has asked this daemon for rest.
    pub(super) rest_until: Option<Moment>,
    /// Consecutive refusals of a slot.
    consecutive_refusals: u32,
    /// True if the upstream belongs to this daemon's group, whose upstreams are preferred.
    pub is_in_group: bool,
    /// Time between tokens as reported by another daemon, in microseconds.
    pub(super) peer_gap_micros: Option<f64>,
    /// When this daemon last measured the time between tokens.
    pub gap_measured_at: Moment,
    pub(super) open_positions: [Option<usize>; CAPACITY_CLASSES],
    /// This daemon's recent requests there, for the bound on requests to cold upstreams.
    pub(super) cold_pace: ColdPace,
    /// The rate at which it states to take requests.
    pub rate_pace: RatePace,
    /// Rejections per second that it states to bear, if it states a number.
    pub rejection_bound: Option<u32>,
    /// True if this daemon may send requests there while it is cold.
    pub(super) is_owned: bool,
    /// True while the bound on requests to cold upstreams, or its stated rate, allows no request from
    /// this daemon.
    pub(super) is_held_back: bool,
    /// True if it is counted among the usable upstreams of its pool.
    pub(super) is_counted: bool,
    /// Tokens that the known requests may use of its memory.
    pub memory: EngineMemory,
}

/// The other daemons' work at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWork {
    pub requests: u32,
    /// Prompt tokens that the upstream has not yet processed.
    pub unread_tokens: u64,
    /// Time between tokens as last measured by one of the daemons, in microseconds; 0 if unknown.
    pub gap_micros: u32,
    /// True if one of the daemons could not reach the upstream.
    pub is_down: bool,
    /// True if the upstream is known to leave to one of the daemons.
    pub is_leaving: bool,
    /// The rate that the upstream stated to one of the daemons.
    pub stated_rate: RateReport,
    /// Requests of daemons outside this one's group, from outdated reports; an estimate that is
    /// never forwarded.
    #[serde(skip)]
    pub hinted: u32,
}

impl PeerWork {
    /// The known requests there, including those from outdated reports.
    pub fn total_requests(&self) -> u32 {
        self.requests + self.hinted
    }
}

/// Which share of an upstream's capacity a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityClass {
    /// The capacity open to every tier.
    Regular = 0,
    /// All capacity, including the headroom reserved for the highest tier.
    WithHeadroom = 1,
}

/// Number of capacity classes.
pub(super) const CAPACITY_CLASSES: usize = 2;

impl UpstreamStatus {
    /// Creates the status of an upstream about which only its list entry is known.
    pub(super) fn new(
        index: UpstreamIndex,
        source: UpstreamSource,
        limit: LearnedLimit,
        share: f64,
        headroom: f64,
    ) -> Self {
        UpstreamStatus {
            index,
            source,
            machine: upstream_chart().start(),
            limit,
            in_flight_tokens: 0,
            in_flight: 0,
            share,
            gap_micros: None,
            is_straggler: false,
            report: None,
            had_queue: false,
            clock_offset: None,
            recent_changes: VecDeque::new(),
            headroom,
            peer_work: PeerWork::default(),
            unread_tokens: 0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            backoff_until: Moment(0),
            paused_until: None,
            rest_until: None,
            consecutive_refusals: 0,
            is_in_group: true,
            peer_gap_micros: None,
            gap_measured_at: Moment(0),
            open_positions: [None; CAPACITY_CLASSES],
            cold_pace: ColdPace::default(),
            rate_pace: RatePace::default(),
            rejection_bound: None,
            is_owned: false,
            is_held_back: false,
            is_counted: false,
            memory: EngineMemory::default(),
        }
    }

    /// The life-cycle state.
    pub fn state(&self) -> UpstreamState {
        self.machine.state()
    }

    /// True if the upstream is in service and its data centre is not evacuated.
    pub fn is_usable(&self) -> bool {
        self.state() == UpstreamState::Live && !self.source.is_evacuated
    }

    /// True if the upstream is not leaving, whether this daemon reaches it or not.
    pub fn is_in_service(&self) -> bool {
        let is_listed = matches!(self.state(), UpstreamState::Live | UpstreamState::Suspect);
        is_listed && !self.source.is_evacuated
    }

    /// True if the upstream may serve requests with this demand.
    pub fn meets(&self, demand: &PlacementDemand) -> bool {
        demand.allows(&self.source)
    }

    /// True while the upstream is cold, by the list or by its own report.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.source.is_cold || self.cold_pace.is_cold(now)
    }

    /// Updates whether the bound on requests to cold upstreams and the stated rate allow a further
    /// request.
    pub(super) fn review_pace(&mut self, bound: Option<&ColdBound>, now: Moment) {
        let is_too_cold = bound.is_some_and(|bound| {
            let may_send = self.is_owned && self.cold_pace.has_room(bound, now);
            self.is_cold(now) && !may_send
        });
        self.is_held_back = is_too_cold || !self.rate_pace.has_room(self.has_rate_report(), now);
    }

    /// True while other daemons report what rate the upstream states.
    fn has_rate_report(&self) -> bool {
        self.peer_work.stated_rate != RateReport::default()
    }

    /// True while the upstream rests, as it has asked this daemon for.
    pub fn is_resting(&self) -> bool {
        self.rest_until.is_some()
    }

    /// True if the upstream is in service and this daemon may send it requests, now or soon.
    pub fn takes_requests_here(&self) -> bool {
        !self.is_resting() && self.is_open_here()
    }

    /// True if this daemon may send the upstream requests before `latest`.
    pub fn takes_requests_before(&self, latest: Moment) -> bool {
        self.rest_until.is_none_or(|end| end < latest) && self.is_open_here()
    }

    fn is_open_here(&self) -> bool {
        self.is_usable() && !(self.rate_pace.is_left_to_owners() && self.is_held_back)
    }

    /// This daemon's part of what the upstream takes at a time, in tokens, for requests of `mean_cost`
    /// that run for `run_seconds`.
    pub fn capacity_tokens(&self, mean_cost: f64, run_seconds: f64) -> f64 {
        let tokens = self.limit.tokens_at_mean_cost(mean_cost) * self.share;
        match self.rate_pace.own_rate() {
            None => tokens,
            Some(rate) => tokens.min(rate * run_seconds * mean_cost),
        }
    }

    /// True if the upstream may be given more work now.
    pub fn has_capacity(&self, class: CapacityClass) -> bool {
        let usable_share = match class {
            CapacityClass::Regular => 1.0 - self.headroom,
            CapacityClass::WithHeadroom => 1.0,
        };
        self.is_usable()
            && self.share > 0.0
            && self.paused_until.is_none()
            && !self.is_resting()
            && !self.is_held_back
            && (self.in_flight + self.peer_work.requests == 0
                || self.utilisation() < self.share * usable_share)
    }

    /// True if a request fits into the upstream's memory besides all known ones.
    pub fn has_memory(&self, need: &MemoryNeed, now: Moment) -> bool {
        self.memory.fits(need, self.peer_work.total_requests(), now)
    }

    /// The share of the limit in use by this daemon's work, including the requests of the other
    /// daemons known from current reports.
    pub fn utilisation(&self) -> f64 {
        self.limit.utilisation(self.in_flight_tokens, self.in_flight + self.peer_work.requests)
    }

    /// Prompt tokens not yet processed there, of this daemon's requests and of the others'.
    pub fn total_unread_tokens(&self) -> u64 {
        self.unread_tokens + self.peer_work.unread_tokens
    }

    /// All known requests there relative to the limit on requests.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.in_flight + self.peer_work.total_requests()) / self.limit.requests().max(1.0)
    }

    /// Mean time between tokens in microseconds, measured by this daemon or else by another one.
    pub fn gap(&self) -> Option<f64> {
        self.gap_micros.or(self.peer_gap_micros)
    }

    /// Records that the upstream refused a slot.
    pub(super) fn record_refusal(&mut self, now: Moment) {
        let doublings = self.consecutive_refusals.min(MAX_REFUSAL_PAUSE_DOUBLINGS);
        self.consecutive_refusals += 1;
        self.paused_until = Some(now + INITIAL_REFUSAL_PAUSE * 2u32.pow(doublings));
    }

    /// True if it gets no work because it has refused a slot.
    pub(super) fn is_refusing(&self, now: Moment) -> bool {
        self.consecutive_refusals > 0 && self.paused_until.is_some_and(|until| until > now)
    }

    /// Records that a slot there became free.
    pub(super) fn clear_refusals(&mut self) {
        self.paused_until = None;
        self.consecutive_refusals = 0;
    }

    /// Records that the upstream has processed this many prompt tokens, or never will.
    pub fn record_processed_tokens(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(u64::from(tokens));
    }

    /// Records the outcome of an exchange. Consecutive failures back the upstream off, longer each
    /// time. Otherwise one that answers health checks but no requests would be preferred, since it
    /// is idle.
    pub(super) fn record_outcome(&mut self, has_failed: bool, now: Moment) {
        let sample = f64::from(u8::from(has_failed));
        self.failure_rate += (sample - self.failure_rate) * FAILURE_WEIGHT;
        self.consecutive_failures = if has_failed { self.consecutive_failures + 1 } else { 0 };
        if self.consecutive_failures >= BACKOFF_AFTER_FAILURES {
            let doublings =
                (self.consecutive_failures - BACKOFF_AFTER_FAILURES).min(MAX_BACKOFF_DOUBLINGS);
            self.backoff_until = now + INITIAL_BACKOFF * 2u32.pow(doublings);
        }
    }

    /// The work counted by [`UpstreamStatus::utilisation`], relative to this daemon's share of the
    /// limit.
    pub fn load(&self) -> f64 {
        self.utilisation() / self.share.max(1e-6)
    }

    /// True if the last report shows no queue inside the upstream.
    pub fn reports_no_queue(&self) -> bool {
        self.report.is_some_and(|(_, report)| report.queued == 0)
    }

    /// Running and queued requests in the last report, uncorrected; used by the baseline policies.
    pub fn reported_requests(&self) -> u32 {
        self.report.map_or(0, |(_, report)| report.running + report.queued)
    }

    /// Estimates the requests at the upstream now: the reported number, plus this daemon's
    /// dispatches since the time of the report, less the ends. Without this correction all daemons
    /// choose the same least loaded upstream until the next report.
    pub fn corrected_requests(&self, now: Moment) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((time, _)) = self.report.filter(|(time, _)| now.since(*time) < MAX_REPORT_AGE)
        else {
            return own;
        };
        let since: i32 = self
            .recent_changes
            .iter()
            .rev()
            .take_while(|(at, _)| *at > time)
            .map(|(_, change)| change)
            .sum();
        (f64::from(self.reported_requests()) + f64::from(since)).max(own)
    }

    pub(super) fn record_change(&mut self, now: Moment, change: i32) {
        self.recent_changes.push_back((now, change));
        while self.recent_changes.front().is_some_and(|(at, _)| now.since(*at) > CORRECTION_WINDOW)
        {
            self.recent_changes.pop_front();
        }
    }

    /// Applies a load report. Its stamp is converted to this daemon's clock by the smallest offset
    /// observed between the two clocks; a report without a stamp counts as current. Reports older
    /// than the latest one are ignored.
    pub(super) fn record_report(&mut self, report: LoadReport, now: Moment) {
        let time = match report.stamp {
            0 => now,
            stamp => {
                let offset = now.0 as i64 - stamp as i64;
                let least = self.clock_offset.map_or(offset, |least| least.min(offset));
                self.clock_offset = Some(least);
                Moment((stamp as i64).saturating_add(least).max(0) as u64)
            }
        };
        if self.report.is_some_and(|(last, _)| last > time) {
            return;
        }
        self.report = Some((time, report));
        let has_queue = report.queued > QUEUED_TOLERANCE + report.running / QUEUED_BATCH_DIVISOR;
        if has_queue && self.had_queue {
            self.limit.record_queueing(report.running, now);
        }
        self.had_queue = has_queue;
        if report.step_micros > 0 {
            self.learn_gap(f64::from(report.step_micros), now);
        }
    }

    /// Adds a time between tokens, in microseconds, to the moving average.
    pub fn learn_gap(&mut self, micros: f64, now: Moment) {
        self.gap_measured_at = now;
        self.gap_micros =
            Some(self.gap_micros.map_or(micros, |mean| mean + (micros - mean) * GAP_WEIGHT));
    }
}
