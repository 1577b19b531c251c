//! One upstream as this daemon sees it: life cycle, work in flight, load reports.

use super::{LearnedLimit, Moment, UpstreamIndex};
use crate::chart::{ChartMachine, StateChart};
use crate::chart_names;
use crate::table::UpstreamName;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::LazyLock;
use std::time::Duration;

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
    pub(super) machine: ChartMachine<UpstreamState, UpstreamWord, NoAction>,
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
    pub(super) headroom: f64,
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
    pub(super) crowded_until: Option<Moment>,
    /// Refusals of a place in a row.
    crowded_in_row: u32,
    /// True if it is of this daemon's group, and used first.
    pub is_home: bool,
    /// Time between tokens as another daemon told it, in microseconds.
    pub(super) told_gap: Option<f64>,
    /// When this daemon learned of its speed last.
    pub learned_at: Moment,
    pub(super) open_positions: [Option<usize>; ROOM_KINDS],
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
    /// Requests of daemons outside of this one's group, by old reports: a hint, and never passed on.
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
pub(super) const ROOM_KINDS: usize = 2;

impl UpstreamStatus {
    /// An upstream of which nothing is known but how it is named and reached.
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
            was_crowded: false,
            clock_offset: None,
            changes: VecDeque::new(),
            headroom,
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
        }
    }

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

    /// Prompt tokens that it has not read yet, of this daemon's requests and of the others'.
    pub fn all_unread(&self) -> u64 {
        self.unread_tokens + self.others.unread_tokens
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
    pub(super) fn judge_end(&mut self, has_failed: bool, now: Moment) {
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

    pub(super) fn note_change(&mut self, now: Moment, change: i32) {
        self.changes.push_back((now, change));
        while self.changes.front().is_some_and(|(at, _)| now.since(*at) > CORRECTION_WINDOW) {
            self.changes.pop_front();
        }
    }

    /// Places a report in this daemon's time by the least offset seen between the two clocks; a report
    /// without a stamp counts as fresh. One that is older than the last is passed over.
    pub(super) fn take_report(&mut self, report: LoadReport, now: Moment) {
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
