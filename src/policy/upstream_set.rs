//! All upstreams of one pool: who is live, who has room, who is of this daemon's group, and births.

use super::upstreams::ROOM_KINDS;
use super::{
    DispatchOutcome, FleetGroup, LearnedLimit, LoadReport, Moment, OthersWork, RoomKind,
    UpstreamIndex, UpstreamSource, UpstreamState, UpstreamStatus, UpstreamWord,
};
use crate::table::UpstreamName;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A straggler's step is this many times its pool's median.
const STRAGGLER_RATIO: f64 = 2.0;
/// An upstream that another daemon could not reach is left alone for this long: until it has been probed there.
const TOLD_DOWN_TIME: Duration = Duration::from_millis(250);
/// An upstream whose events came this lately is not down, whatever another daemon says.
const PROVEN_TIME: Duration = Duration::from_millis(500);
/// The incarnation of an upstream that has not said when it was born.
const UNKNOWN_BIRTH: u64 = 0;
/// Upstreams for one group, at least; pools with fewer are shared by all groups.
const GROUP_UPSTREAMS: usize = 4;

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
    group: FleetGroup,
    /// The generation for which the group's upstreams were worked out.
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

    /// Takes the birth that an upstream reports. A later one is another upstream, of which nothing is known yet; an
    /// earlier one is an old report and changes nothing. The first report of a birth that was not known is no other upstream.
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
        let share = self.share.unwrap_or(1.0);
        let status = UpstreamStatus::new(index, source, limit, share, self.headroom);
        self.upstreams.insert(index, status);
        self.generation += 1;
        self.live += 1;
        self.refresh(index);
    }

    /// Takes what was learned of an upstream's life; forgets the upstream once it is gone.
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
    /// daemon that reaches nothing is itself what is cut off, so its report on most of the pool is passed over.
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

    /// The group of daemons that this one is of.
    pub fn group(&self) -> FleetGroup {
        self.group
    }

    /// Works out which upstreams are of this daemon's group: as many for each group, by order of addresses.
    pub fn set_group(&mut self, group: FleetGroup) {
        if self.group == group && self.homes_of == Some(self.generation) {
            return;
        }
        self.group = group;
        self.homes_of = Some(self.generation);
        let mut order: Vec<(SocketAddr, UpstreamIndex)> =
            self.upstreams.values().map(|status| (status.source.address, status.index)).collect();
        order.sort_unstable();
        let total = order.len();
        let is_shared = total < group.count * GROUP_UPSTREAMS;
        for (at, (_, index)) in order.into_iter().enumerate() {
            let is_home = is_shared || FleetGroup::of(at, total, group.count) == group.index;
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
            DispatchOutcome::NotSent | DispatchOutcome::Cancelled | DispatchOutcome::NoSlot => {
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
