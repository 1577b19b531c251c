//! The upstreams of one pool as this daemon sees them: life cycle, work in flight, load reports.

use super::{DispatchOutcome, FleetCell, LearnedLimit, Moment, UpstreamIndex};
use crate::chart::{ChartMachine, StateChart};
use crate::chart_names;
use crate::table::UpstreamName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

/// A straggler's step is this many times its pool's median.
const STRAGGLER_RATIO: f64 = 2.0;
/// Sends and ends older than this no longer correct a report.
const CORRECTION_WINDOW: Duration = Duration::from_secs(5);
/// A report older than this says nothing.
const REPORT_LIFE: Duration = Duration::from_secs(10);
/// Requests that may wait inside an upstream, and one more for so many in its batch: some are always on their
/// way into the next step. Only a queue that two reports in a row show is one that the batch holds back; one
/// report alone kept the bound at the first guess for ever.
const QUEUED_TOLERANCE: u32 = 2;
const QUEUED_PART: u32 = 16;
/// Weight of a new gap in an upstream's mean.
const GAP_WEIGHT: f64 = 0.2;
/// Weight of a new end in the share of failures.
const FAILING_WEIGHT: f64 = 0.2;
/// Failures in a row after which an upstream rests: one alone is often the request's or the connection's.
const FAILURES_TO_REST: u32 = 2;
/// The first rest.
const FIRST_REST: Duration = Duration::from_millis(500);
/// A rest is doubled at most so often: 4 s, so that an upstream that is sound again is soon found.
const MOST_DOUBLINGS: u32 = 3;
/// An upstream without a place is not asked again for this long, doubled with each refusal in a row: with 4 places and
/// runs of half a second one becomes free each 125 ms.
const FIRST_CROWDED: Duration = Duration::from_millis(30);
/// Most doublings: 120 ms.
const MOST_CROWDED_DOUBLINGS: u32 = 2;
/// An upstream that another daemon could not reach is left alone for this long: until it has been probed there.
const TOLD_DOWN_TIME: Duration = Duration::from_millis(250);
/// An upstream whose events came this lately is not down, whatever another daemon says.
const PROVEN_TIME: Duration = Duration::from_millis(500);
/// The incarnation of an upstream that has not said when it was born.
const UNKNOWN_BIRTH: u64 = 0;
/// Upstreams in one cell, at least; pools with fewer are shared by all cells.
const CELL_UPSTREAMS: usize = 4;

chart_names! {
    /// Where an upstream is in its life.
    UpstreamState {
        /// May get work.
        Live,
        /// Could not be reached; gets work again once it answers.
        Suspect,
        /// Gets no new work; running work ends.
        Leaving,
        /// Leaving, and nothing runs there any more.
        Gone,
    }
}

chart_names! {
    /// What is learned of an upstream's life.
    UpstreamWord {
        /// It answered a request or a poll.
        Answered,
        /// A connection to it could not be opened.
        Unreachable,
        /// It, or the platform, says it is leaving.
        Leaving,
        /// Neither the table nor the platform's list names it any more.
        Absent,
        /// Nothing of this daemon runs there.
        Idle,
    }
}

chart_names! {
    /// The upstream chart has no actions.
    NoAction {
        /// Never used; a chart needs at least one name.
        Nothing,
    }
}

/// The chart of an upstream.
pub type UpstreamChart = StateChart<UpstreamState, UpstreamWord, NoAction>;

static CHART: LazyLock<UpstreamChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/upstream.json"))
        .expect("charts/upstream.json is checked by a test")
});

/// The upstream chart, loaded once.
pub fn upstream_chart() -> &'static UpstreamChart {
    &CHART
}

/// An upstream as the table or the platform's list names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSource {
    /// Its name.
    pub name: UpstreamName,
    /// Grows when another process takes the name or address.
    pub incarnation: u64,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// True if a source says that it is leaving.
    pub is_leaving: bool,
    /// Requests that it works on at once, where a source says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub places: Option<u32>,
}

/// Load as an upstream reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream's own time stamp, in microseconds of its own clock; 0 if it gives none.
    pub stamp: u64,
    /// Requests in its batch.
    pub running: u32,
    /// Requests waiting inside it.
    pub queued: u32,
    /// Its present step time, in microseconds; 0 if it does not say.
    pub step_micros: u32,
    /// True if it says that it is leaving.
    pub is_leaving: bool,
}

/// One upstream.
#[derive(Debug)]
pub struct UpstreamStatus {
    /// Its number.
    pub index: UpstreamIndex,
    /// How it is named and reached.
    pub source: UpstreamSource,
    machine: ChartMachine<UpstreamState, UpstreamWord, NoAction>,
    /// The learned bound.
    pub limit: LearnedLimit,
    /// Estimated tokens of this daemon in flight.
    pub in_flight_tokens: u64,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// This daemon's share of the limit, 0.0 to 1.0.
    pub share: f64,
    /// Mean time between tokens, in microseconds.
    pub gap_micros: Option<f64>,
    /// True while much slower than its pool.
    pub is_straggler: bool,
    report: Option<(Moment, LoadReport)>,
    /// True if requests waited inside it by the last report.
    was_crowded: bool,
    /// The least difference seen between arrival and stamp: the offset between the two clocks.
    clock_offset: Option<i64>,
    changes: VecDeque<(Moment, i32)>,
    /// The part of the share that only the highest tier may use.
    headroom: f64,
    /// Work of the other daemons there, as last heard.
    pub others: OthersWork,
    /// Prompt tokens of this daemon's requests that it has not yet read.
    pub unread_tokens: u64,
    /// Recent failures: 1.0 when all fail, 0.0 when none does.
    pub failing: f64,
    /// Failures in a row.
    failed_in_row: u32,
    /// It gets no work until then, unless nobody else has room.
    pub rests_until: Moment,
    /// It had no place to reserve; it is not asked again until then.
    crowded_until: Option<Moment>,
    /// Refusals of a place in a row.
    crowded_in_row: u32,
    /// True if it is of this daemon's cell, and used first.
    pub is_home: bool,
    /// Time between tokens as another daemon told it, in microseconds.
    told_gap: Option<f64>,
    /// When this daemon learned of its speed last.
    pub learned_at: Moment,
    open_positions: [Option<usize>; ROOM_KINDS],
}

/// Work of the other daemons at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OthersWork {
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens that it has not yet read.
    pub unread_tokens: u64,
    /// Time between its tokens as one of them measured it last, in microseconds; 0 if none did.
    pub gap_micros: u32,
    /// True if it could not be reached.
    pub is_down: bool,
    /// Requests of daemons outside of this one's cell, by old word: a hint, and never told on.
    #[serde(skip)]
    pub hinted: u32,
}

impl OthersWork {
    /// Requests there as far as is known.
    pub fn all_requests(&self) -> u32 {
        self.requests + self.hinted
    }
}

/// For whom there must be room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomKind {
    /// Any tier.
    Usual = 0,
    /// The highest tier, which may use the headroom too.
    Highest = 1,
}

/// Kinds of room.
const ROOM_KINDS: usize = 2;

impl UpstreamStatus {
    /// Where it is in its life.
    pub fn state(&self) -> UpstreamState {
        self.machine.state()
    }

    /// True if it may be given more work now.
    pub fn has_room(&self, kind: RoomKind) -> bool {
        let part = match kind {
            RoomKind::Usual => 1.0 - self.headroom,
            RoomKind::Highest => 1.0,
        };
        self.state() == UpstreamState::Live
            && self.share > 0.0
            && self.crowded_until.is_none()
            && (self.in_flight + self.others.requests == 0 || self.used() < self.share * part)
    }

    /// The part of the bound that this daemon's work takes up, with the others' where that is known well enough.
    pub fn used(&self) -> f64 {
        self.limit.used(self.in_flight_tokens, self.in_flight + self.others.requests)
    }

    /// Requests there as far as is known, as a part of its places.
    pub fn occupied(&self) -> f64 {
        f64::from(self.in_flight + self.others.all_requests()) / self.limit.requests().max(1.0)
    }

    /// Mean time between tokens, in microseconds: this daemon's own measure, or else another one's.
    pub fn gap(&self) -> Option<f64> {
        self.gap_micros.or(self.told_gap)
    }

    /// It had no place to reserve.
    pub(super) fn crowd(&mut self, now: Moment) {
        let doublings = self.crowded_in_row.min(MOST_CROWDED_DOUBLINGS);
        self.crowded_in_row += 1;
        self.crowded_until = Some(now + FIRST_CROWDED * 2u32.pow(doublings));
    }

    /// A place there became free.
    pub(super) fn uncrowd(&mut self) {
        self.crowded_until = None;
        self.crowded_in_row = 0;
    }

    /// The upstream has read this many prompt tokens, or will not read them any more.
    pub fn read(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(u64::from(tokens));
    }

    /// Learns how an exchange ended. After failures in a row the upstream rests, longer each time: one that
    /// answers its health checks but no requests would else be chosen first, since nothing runs there.
    fn judge_end(&mut self, has_failed: bool, now: Moment) {
        let sample = f64::from(u8::from(has_failed));
        self.failing += (sample - self.failing) * FAILING_WEIGHT;
        self.failed_in_row = if has_failed { self.failed_in_row + 1 } else { 0 };
        if self.failed_in_row >= FAILURES_TO_REST {
            let doublings = (self.failed_in_row - FAILURES_TO_REST).min(MOST_DOUBLINGS);
            self.rests_until = now + FIRST_REST * 2u32.pow(doublings);
        }
    }

    /// This daemon's work as a part of its share of the bound.
    pub fn load(&self) -> f64 {
        self.used() / self.share.max(1e-6)
    }

    /// True if the last report says that nothing waits inside the upstream.
    pub fn reports_no_queue(&self) -> bool {
        self.report.is_some_and(|(_, report)| report.queued == 0)
    }

    /// Requests last reported, running and queued, uncorrected; the baselines use it.
    pub fn reported_requests(&self) -> u32 {
        self.report.map_or(0, |(_, report)| report.running + report.queued)
    }

    /// Requests at the upstream now: the report, plus what this daemon sent since the report was
    /// true, less what ended since. Without the correction all daemons run to the same minimum until
    /// the next report.
    pub fn corrected_requests(&self, now: Moment) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((time, _)) = self.report.filter(|(time, _)| now.since(*time) < REPORT_LIFE) else {
            return own;
        };
        let since: i32 = self
            .changes
            .iter()
            .rev()
            .take_while(|(at, _)| *at > time)
            .map(|(_, change)| change)
            .sum();
        (f64::from(self.reported_requests()) + f64::from(since)).max(own)
    }

    fn note_change(&mut self, now: Moment, change: i32) {
        self.changes.push_back((now, change));
        while self.changes.front().is_some_and(|(at, _)| now.since(*at) > CORRECTION_WINDOW) {
            self.changes.pop_front();
        }
    }

    /// Places a report in this daemon's time by the least offset seen between the two clocks; a report
    /// without a stamp counts as fresh. One that is older than the last is passed over.
    fn take_report(&mut self, report: LoadReport, now: Moment) {
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
        let is_crowded = report.queued > QUEUED_TOLERANCE + report.running / QUEUED_PART;
        if is_crowded && self.was_crowded {
            self.limit.crowded(report.running, now);
        }
        self.was_crowded = is_crowded;
        if report.step_micros > 0 {
            self.learn_gap(f64::from(report.step_micros), now);
        }
    }

    /// Blends a time between tokens, in microseconds, into the mean.
    pub fn learn_gap(&mut self, micros: f64, now: Moment) {
        self.learned_at = now;
        self.gap_micros =
            Some(self.gap_micros.map_or(micros, |mean| mean + (micros - mean) * GAP_WEIGHT));
    }
}

/// All upstreams of a pool.
#[derive(Debug, Default)]
pub struct UpstreamSet {
    upstreams: BTreeMap<UpstreamIndex, UpstreamStatus>,
    by_name: HashMap<UpstreamName, UpstreamIndex>,
    open: [Vec<UpstreamIndex>; ROOM_KINDS],
    headroom: f64,
    next: u32,
    live: usize,
    share: Option<f64>,
    cell: FleetCell,
    /// The generation for which the cell's upstreams were worked out.
    homes_of: Option<u64>,
    /// Incarnations that said that they leave, or were said to, for as long as a source names them. What goes wrong
    /// without them: one that is gone is forgotten, and the lagging list brings it back as new, again and again.
    left: HashSet<(UpstreamName, u64)>,
    /// Grows with each change of membership.
    pub generation: u64,
}

impl UpstreamSet {
    /// The upstream with this number, if it is still known.
    pub fn get(&self, index: UpstreamIndex) -> Option<&UpstreamStatus> {
        self.upstreams.get(&index)
    }

    /// All upstreams, in order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamStatus> {
        self.upstreams.values()
    }

    /// Upstreams that may be given work now, in no order.
    pub fn open(&self, kind: RoomKind) -> &[UpstreamIndex] {
        &self.open[kind as usize]
    }

    /// Sets the part of every upstream's limit that only the highest tier may use.
    pub fn set_headroom(&mut self, headroom: f64) {
        self.headroom = headroom;
        self.update_all(|status| status.headroom = headroom);
    }

    /// The number of the upstream of this name.
    pub fn find(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.by_name.get(name).copied()
    }

    /// Live upstreams.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Sum of the bounds of live upstreams for this daemon, in tokens of requests of the usual cost.
    pub fn live_limit(&self, mean_cost: f64) -> f64 {
        let live = self.upstreams.values().filter(|status| status.state() == UpstreamState::Live);
        live.map(|status| status.limit.usual_tokens(mean_cost) * status.share).sum()
    }

    /// Takes the merged list of the table and the platform. A known name with a larger incarnation is
    /// another upstream: the old one leaves, whatever its own list entry says.
    pub fn set_sources(
        &mut self,
        sources: &[UpstreamSource],
        new_limit: impl Fn(Option<u32>) -> LearnedLimit,
    ) {
        self.left.retain(|(name, incarnation)| {
            sources.iter().any(|source| source.name == *name && source.incarnation == *incarnation)
        });
        for source in sources {
            let has_left = self.left.contains(&(source.name.clone(), source.incarnation));
            if has_left && self.find(&source.name).is_none() {
                continue;
            }
            match self.find(&source.name).and_then(|index| self.upstreams.get(&index)) {
                Some(known) if known.source.incarnation > source.incarnation => continue,
                Some(known)
                    if known.source.incarnation == source.incarnation
                        && known.source.address == source.address => {}
                Some(known)
                    if known.source.incarnation == UNKNOWN_BIRTH
                        && known.source.address == source.address =>
                {
                    let index = known.index;
                    self.born(index, source.incarnation, &new_limit);
                }
                Some(known) => {
                    let old = known.index;
                    self.tell(old, UpstreamWord::Absent);
                    self.add(source.clone(), new_limit(source.places));
                }
                None => self.add(source.clone(), new_limit(source.places)),
            }
            if source.is_leaving
                && let Some(index) = self.find(&source.name)
            {
                self.tell(index, UpstreamWord::Leaving);
            }
        }
        let absent: Vec<UpstreamIndex> = self
            .upstreams
            .values()
            .filter(|status| !sources.iter().any(|source| source.name == status.source.name))
            .map(|status| status.index)
            .collect();
        absent.into_iter().for_each(|index| self.tell(index, UpstreamWord::Absent));
    }

    /// Takes an upstream's own word on its birth. A later one is another upstream, of which nothing is known yet; an
    /// earlier one is old word and changes nothing. The first word on a birth that was not known is no news of another.
    pub fn born(
        &mut self,
        index: UpstreamIndex,
        incarnation: u64,
        new_limit: impl Fn(Option<u32>) -> LearnedLimit,
    ) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let is_current = self.by_name.get(&status.source.name) == Some(&index);
        if !is_current || status.source.incarnation >= incarnation {
            return;
        }
        if status.source.incarnation == UNKNOWN_BIRTH {
            status.source.incarnation = incarnation;
            return;
        }
        let source = UpstreamSource { incarnation, is_leaving: false, ..status.source.clone() };
        self.tell(index, UpstreamWord::Absent);
        let limit = new_limit(source.places);
        self.add(source, limit);
    }

    fn add(&mut self, source: UpstreamSource, limit: LearnedLimit) {
        let index = UpstreamIndex(self.next);
        self.next += 1;
        self.by_name.insert(source.name.clone(), index);
        let status = UpstreamStatus {
            index,
            source,
            machine: upstream_chart().start(),
            limit,
            in_flight_tokens: 0,
            in_flight: 0,
            share: self.share.unwrap_or(1.0),
            gap_micros: None,
            is_straggler: false,
            report: None,
            was_crowded: false,
            clock_offset: None,
            changes: VecDeque::new(),
            headroom: self.headroom,
            others: OthersWork::default(),
            unread_tokens: 0,
            failing: 0.0,
            failed_in_row: 0,
            rests_until: Moment(0),
            crowded_until: None,
            crowded_in_row: 0,
            is_home: true,
            told_gap: None,
            learned_at: Moment(0),
            open_positions: [None; ROOM_KINDS],
        };
        self.upstreams.insert(index, status);
        self.generation += 1;
        self.live += 1;
        self.refresh(index);
    }

    /// Takes a word on an upstream's life; forgets the upstream once it is gone.
    pub fn tell(&mut self, index: UpstreamIndex, word: UpstreamWord) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let before = status.machine.state();
        if word == UpstreamWord::Leaving {
            self.left.insert((status.source.name.clone(), status.source.incarnation));
        }
        status.machine.step(word);
        if status.in_flight == 0 {
            status.machine.step(UpstreamWord::Idle);
        }
        let after = status.machine.state();
        self.live -= usize::from(before == UpstreamState::Live);
        self.live += usize::from(after == UpstreamState::Live);
        if before != after {
            self.generation += 1;
        }
        self.refresh(index);
        if after == UpstreamState::Gone {
            self.forget(index);
        }
    }

    fn forget(&mut self, index: UpstreamIndex) {
        let Some(status) = self.upstreams.remove(&index) else { return };
        if self.by_name.get(&status.source.name) == Some(&index) {
            self.by_name.remove(&status.source.name);
        }
    }

    /// Changes an upstream and keeps the list of open ones right.
    pub fn update(&mut self, index: UpstreamIndex, change: impl FnOnce(&mut UpstreamStatus)) {
        if let Some(status) = self.upstreams.get_mut(&index) {
            change(status);
            self.refresh(index);
        }
    }

    /// Changes every upstream, as [`UpstreamSet::update`] does one.
    pub fn update_all(&mut self, change: impl Fn(&mut UpstreamStatus)) {
        let indexes: Vec<UpstreamIndex> = self.upstreams.keys().copied().collect();
        indexes.into_iter().for_each(|index| self.update(index, &change));
    }

    /// Sets this daemon's share of every upstream's limit, for new ones too.
    pub fn set_share(&mut self, share: f64) {
        if self.share == Some(share) {
            return;
        }
        self.share = Some(share);
        self.update_all(|status| status.share = share);
    }

    /// Takes what the other daemons have at each upstream. One that they cannot reach is not asked for a while; but a
    /// daemon that reaches nothing is itself what is cut off, so its word on most of the pool is passed over.
    pub fn set_others(&mut self, rows: &[(UpstreamName, OthersWork)], now: Moment) {
        let down = rows.iter().filter(|(_, others)| others.is_down).count();
        let believes = down * 2 <= self.live;
        for (name, others) in rows {
            let Some(index) = self.find(name) else { continue };
            self.update(index, |status| {
                status.others = *others;
                let told = (others.gap_micros > 0).then(|| f64::from(others.gap_micros));
                status.told_gap = told.or(status.told_gap);
                let is_proven = now.since(status.learned_at) < PROVEN_TIME;
                if others.is_down && believes && !is_proven {
                    status.crowded_until = Some(now + TOLD_DOWN_TIME);
                }
            });
        }
    }

    /// Works out which upstreams are of this daemon's cell: as many for each cell, by order of addresses.
    pub fn set_cell(&mut self, cell: FleetCell) {
        if self.cell == cell && self.homes_of == Some(self.generation) {
            return;
        }
        self.cell = cell;
        self.homes_of = Some(self.generation);
        let mut order: Vec<(SocketAddr, UpstreamIndex)> =
            self.upstreams.values().map(|status| (status.source.address, status.index)).collect();
        order.sort_unstable();
        let total = order.len();
        let is_shared = total < cell.count * CELL_UPSTREAMS;
        for (at, (_, index)) in order.into_iter().enumerate() {
            let is_home = is_shared || FleetCell::of(at, total, cell.count) == cell.index;
            self.update(index, |status| status.is_home = is_home);
        }
    }

    /// Lets upstreams be asked again whose pause after a refusal is over.
    pub fn reopen(&mut self, now: Moment) {
        let over = |status: &&UpstreamStatus| status.crowded_until.is_some_and(|at| at <= now);
        let over: Vec<UpstreamIndex> =
            self.upstreams.values().filter(over).map(|status| status.index).collect();
        over.into_iter().for_each(|index| self.update(index, |status| status.crowded_until = None));
    }

    /// Learns how an exchange ended at an upstream.
    pub fn judge_end(&mut self, index: UpstreamIndex, outcome: DispatchOutcome, now: Moment) {
        let has_failed = match outcome {
            DispatchOutcome::Completed { .. } => false,
            DispatchOutcome::Failed => true,
            DispatchOutcome::NotSent | DispatchOutcome::Cancelled | DispatchOutcome::Crowded => {
                return;
            }
        };
        self.update(index, |status| status.judge_end(has_failed, now));
    }

    /// Counts a dispatch.
    pub fn dispatched(&mut self, index: UpstreamIndex, cost: u32, now: Moment) {
        self.update(index, |status| {
            status.in_flight += 1;
            status.in_flight_tokens += u64::from(cost);
            status.note_change(now, 1);
        });
    }

    /// Counts the end of a dispatch.
    pub fn ended(&mut self, index: UpstreamIndex, cost: u32, now: Moment) {
        self.update(index, |status| {
            status.in_flight = status.in_flight.saturating_sub(1);
            status.in_flight_tokens = status.in_flight_tokens.saturating_sub(u64::from(cost));
            status.note_change(now, -1);
        });
        if self.get(index).is_some_and(|status| status.state() == UpstreamState::Leaving) {
            self.tell(index, UpstreamWord::Idle);
        }
    }

    /// Takes a load report.
    pub fn reported(&mut self, index: UpstreamIndex, report: LoadReport, now: Moment) {
        self.update(index, |status| status.take_report(report, now));
        self.tell(
            index,
            if report.is_leaving { UpstreamWord::Leaving } else { UpstreamWord::Answered },
        );
    }

    /// Judges every upstream's gap against the pool's median.
    pub fn judge_stragglers(&mut self) {
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
        self.refresh_kind(index, RoomKind::Usual);
        self.refresh_kind(index, RoomKind::Highest);
    }

    fn refresh_kind(&mut self, index: UpstreamIndex, kind: RoomKind) {
        let Some(status) = self.upstreams.get_mut(&index) else { return };
        let open = &mut self.open[kind as usize];
        match (status.has_room(kind), status.open_positions[kind as usize]) {
            (true, None) => {
                status.open_positions[kind as usize] = Some(open.len());
                open.push(index);
            }
            (false, Some(position)) => {
                status.open_positions[kind as usize] = None;
                open.swap_remove(position);
                if let Some(moved) = open.get(position).copied()
                    && let Some(status) = self.upstreams.get_mut(&moved)
                {
                    status.open_positions[kind as usize] = Some(position);
                }
            }
            _ => {}
        }
    }
}
