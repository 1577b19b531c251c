//! What the other daemons have sent where, as they tell; pure.
//!
//! What goes wrong without it: each daemon sees only its own requests at an engine and reports that are seconds
//! old, so several choose the same engine at once; and each applies an organisation's whole limit by itself. One
//! would notice by engines with long queues beside idle ones, and by limits exceeded as often as there are daemons.

use super::{LateWord, Moment, OthersWork};
use crate::table::{DaemonName, OrganisationName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Least time between two notices of one daemon: what was sent meanwhile is told together.
const LEAST_PAUSE: Duration = Duration::from_millis(40);
/// Notices that one daemon sends in a second at most, to all others together: the cost of a notice is near
/// 20 us at either end, and 100 of them are 0.2 % of a core.
const MOST_A_SECOND: f64 = 100.0;
/// Daemons in one cell, at least. Eight tell each other each 70 ms at [`MOST_A_SECOND`], a seventh of a usual run; and
/// callers, who are spread unevenly, make the cells' loads differ by a tenth only.
const CELL_SIZE: usize = 8;
/// The part of each limit that a daemon uses that knows of no other one: as in a fleet of one cell.
const UNINFORMED_SHARE: f64 = 1.0 / CELL_SIZE as f64;
/// A neighbour's work counts for this long after its last notice, or for some pauses between notices where those
/// are longer: it may have died, and its requests with it.
const WORK_LIFE: Duration = Duration::from_millis(1_000);
/// A neighbour unheard for this long, or for some pauses, is taken to go on as before with the organisations'
/// limits: it may be cut off from us and still serve callers.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// Pauses between notices that a silence is longer than.
const SILENT_PAUSES: u32 = 3;
/// What was reckoned for a silent neighbour beyond what it turns out to have let through is given back, up to this
/// many seconds' worth: after a longer silence the bucket has been refilled meanwhile.
const REFUND_SECONDS: f64 = 2.0;
/// A silent neighbour is forgotten after this long, though the leader may have done so before: a daemon that is cut
/// off from the voters goes on serving, and looks the same as a dead one. Above the cuts that are usual.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);
/// What was told of an upstream's speed counts for this long; upstreams come and go.
const SPEED_LIFE: Duration = Duration::from_secs(60);
/// A daemon that lets through less than this many tokens a second for an organisation does not count as one of those
/// that share its limit.
const LEAST_RATE: f64 = 50.0;
/// Time over which a neighbour's rate is averaged.
const RATE_TIME: Duration = Duration::from_secs(2);

/// What a daemon tells the others, each time anew and whole, so that a lost notice does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkNotice {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its boot number.
    pub boot: u64,
    /// Rises with each notice.
    pub sequence: u64,
    /// Where notices to it go.
    pub address: SocketAddr,
    /// Its requests at upstreams; upstreams without any, and without news of their speed, are left out.
    pub work: Vec<(UpstreamMark, OthersWork)>,
    /// Tokens that it has let through since its boot, by organisation.
    pub taken: Vec<(OrganisationName, i64)>,
    /// Milliseconds until each organisation's bucket is full again, as it reckons.
    pub refills: Vec<(OrganisationName, u32)>,
    /// True once it has drained and lets nothing through any more.
    pub is_leaving: bool,
}

/// What a daemon tells the others of its cell, more often: its work alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellNotice {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its boot number.
    pub boot: u64,
    /// Rises with each notice, of either kind.
    pub sequence: u64,
    /// Its requests at upstreams.
    pub work: Vec<(UpstreamMark, OthersWork)>,
}

/// A part of the fleet, by place in the order of addresses, so that those of one data centre mostly meet.
///
/// Daemons of a cell tell each other what they send at once, and use the upstreams of the cell first. What goes wrong
/// without cells: notices to the whole fleet cost each daemon as much as there are others, so they are made seldom, and
/// what they say of upstreams is about requests that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetCell {
    /// Its number, from 0.
    pub index: usize,
    /// Number of cells.
    pub count: usize,
}

impl Default for FleetCell {
    fn default() -> Self {
        FleetCell { index: 0, count: 1 }
    }
}

impl FleetCell {
    /// The cell of the one at `position` among `total` in order.
    pub fn of(position: usize, total: usize, count: usize) -> usize {
        position * count / total.max(1)
    }
}

/// Stands for an upstream in notices, in four bytes instead of its names. Two of 11,000 upstreams have the same mark in
/// one fleet of 70; each then counts with the other's work, which costs a worse placement now and then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamMark(u32);

impl UpstreamMark {
    /// The mark of one incarnation of an upstream: what is told of another one of the same name says nothing of it.
    pub fn of(service: &ServiceName, upstream: &UpstreamName, incarnation: u64) -> Self {
        let seed = xxh3_64_with_seed(service.as_str().as_bytes(), incarnation);
        UpstreamMark(xxh3_64_with_seed(upstream.as_str().as_bytes(), seed) as u32)
    }
}

/// How fast an upstream is by another daemon's word.
#[derive(Clone, Copy, Debug)]
struct ToldSpeed {
    gap_micros: u32,
    at: Moment,
}

fn learn_speeds(
    speeds: &mut BTreeMap<UpstreamMark, ToldSpeed>,
    work: &[(UpstreamMark, OthersWork)],
    now: Moment,
) {
    for (mark, work) in work.iter().filter(|(_, work)| work.gap_micros > 0) {
        speeds.insert(*mark, ToldSpeed { gap_micros: work.gap_micros, at: now });
    }
}

#[derive(Clone, Debug)]
struct NeighbourState {
    notice: WorkNotice,
    heard: Moment,
    /// The work that it told last, in which notice, and when.
    work: Vec<(UpstreamMark, OthersWork)>,
    work_sequence: u64,
    work_heard: Moment,
    /// Until when its silence has been reckoned with.
    reckoned: Moment,
    /// Tokens reckoned since its last notice, by organisation.
    assumed: BTreeMap<OrganisationName, AssumedTokens>,
    /// Its part of all that was let through when it was last heard, by organisation. Worked out later it would be too
    /// small: this daemon takes more as soon as the other's charges stay away.
    parts: BTreeMap<OrganisationName, f64>,
    flow: TokenFlow,
}

/// Tokens reckoned for a silent neighbour.
#[derive(Clone, Copy, Debug, Default)]
struct AssumedTokens {
    /// All of them.
    sum: f64,
    /// Those that may be given back.
    refundable: f64,
}

/// Tokens a second that a daemon lets through, by organisation.
#[derive(Clone, Debug, Default)]
struct TokenFlow {
    rates: BTreeMap<OrganisationName, f64>,
}

impl TokenFlow {
    fn learn(&mut self, organisation: &OrganisationName, delta: i64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = (seconds / RATE_TIME.as_secs_f64()).min(1.0);
        let rate = self.rates.entry(organisation.clone()).or_default();
        *rate += (delta.max(0) as f64 / seconds - *rate) * weight;
    }

    fn rate(&self, organisation: &OrganisationName) -> f64 {
        self.rates.get(organisation).copied().unwrap_or(0.0)
    }
}

/// This daemon's own totals, as of when they were looked at last.
#[derive(Clone, Debug, Default)]
struct OwnFlow {
    totals: BTreeMap<OrganisationName, i64>,
    at: Option<Moment>,
    flow: TokenFlow,
}

/// The other daemons as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct NeighbourBook {
    named: Vec<SocketAddr>,
    known: BTreeMap<DaemonName, NeighbourState>,
    own: OwnFlow,
    speeds: BTreeMap<UpstreamMark, ToldSpeed>,
}

impl NeighbourBook {
    /// Takes the leader's list of daemons that serve callers.
    pub fn set_named(&mut self, named: Vec<SocketAddr>) {
        self.named = named;
    }

    /// The part of the organisations' limits that this daemon may use: the whole, which all daemons charge, once it
    /// knows of the others. What goes wrong without it: after a restart of the whole fleet there is no leader for a
    /// second, nobody knows of anybody, and each daemon lets the whole limit through. One would notice by limits
    /// exceeded in the first seconds.
    pub fn limit_share(&self) -> f64 {
        let is_informed = !self.named.is_empty() || !self.known.is_empty();
        if is_informed { 1.0 } else { UNINFORMED_SHARE }
    }

    /// Where notices go: to those whom the leader names, and to those who were heard lately.
    pub fn addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let heard = self.known.values().filter(|state| now.since(state.heard) < FORGOTTEN_AFTER);
        let mut addresses: Vec<SocketAddr> =
            heard.map(|state| state.notice.address).chain(self.named.iter().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Takes a notice. Returns the tokens that its daemon has let through since its last one, less what was
    /// reckoned while it was silent.
    pub fn take(&mut self, notice: WorkNotice, now: Moment) -> Vec<(OrganisationName, i64)> {
        let Some(state) = self.known.get_mut(&notice.daemon) else {
            if notice.is_leaving {
                return Vec::new();
            }
            let daemon = notice.daemon.clone();
            let assumed = BTreeMap::new();
            let flow = TokenFlow::default();
            let parts = BTreeMap::new();
            let state = NeighbourState {
                work: notice.work.clone(),
                work_sequence: notice.sequence,
                work_heard: now,
                notice,
                heard: now,
                reckoned: now,
                assumed,
                parts,
                flow,
            };
            self.known.insert(daemon, state);
            return Vec::new();
        };
        let is_new_boot = state.notice.boot != notice.boot;
        if !is_new_boot && state.notice.sequence >= notice.sequence {
            return Vec::new();
        }
        learn_speeds(&mut self.speeds, &notice.work, now);
        if is_new_boot || notice.sequence > state.work_sequence {
            state.work.clone_from(&notice.work);
            state.work_sequence = notice.sequence;
            state.work_heard = now;
        }
        let mut taken = Vec::new();
        let elapsed = now.since(state.heard);
        for (organisation, total) in &notice.taken {
            let before = state.notice.taken.iter().find(|(name, _)| name == organisation);
            let before = before.filter(|_| !is_new_boot).map_or(0, |(_, total)| *total);
            let delta = total - before;
            state.flow.learn(organisation, delta, elapsed);
            let assumed = state.assumed.get(organisation).copied().unwrap_or_default();
            let charge = (delta - assumed.sum as i64).max(-(assumed.refundable as i64));
            taken.push((organisation.clone(), charge));
        }
        state.assumed.clear();
        if notice.is_leaving {
            self.known.remove(&notice.daemon);
            return taken;
        }
        state.notice = notice;
        state.heard = now;
        state.reckoned = now;
        let daemon = state.notice.daemon.clone();
        self.learn_parts(&daemon);
        taken
    }

    /// Takes a notice of a daemon of this one's cell; one that was overtaken is passed over.
    pub fn take_cell(&mut self, notice: CellNotice, now: Moment) {
        let Some(state) = self.known.get_mut(&notice.daemon) else { return };
        if state.notice.boot != notice.boot || state.work_sequence >= notice.sequence {
            return;
        }
        learn_speeds(&mut self.speeds, &notice.work, now);
        state.work = notice.work;
        state.work_sequence = notice.sequence;
        state.work_heard = now;
    }

    /// The daemons that serve, this one among them, in order of their addresses.
    fn in_order(&self, own: SocketAddr, now: Moment) -> Vec<SocketAddr> {
        let mut addresses = self.addresses(now);
        addresses.push(own);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// The cell of the daemon at `own`.
    pub fn cell(&self, own: SocketAddr, now: Moment) -> FleetCell {
        let addresses = self.in_order(own, now);
        let count = (addresses.len() / CELL_SIZE).max(1);
        let position = addresses.iter().position(|address| *address == own).unwrap_or(0);
        FleetCell { index: FleetCell::of(position, addresses.len(), count), count }
    }

    /// The other daemons of its cell.
    pub fn cell_addresses(&self, own: SocketAddr, now: Moment) -> Vec<SocketAddr> {
        let cell = self.cell(own, now);
        let addresses = self.in_order(own, now);
        let total = addresses.len();
        let numbered = addresses.into_iter().enumerate();
        let mates = numbered.filter(|(at, _)| FleetCell::of(*at, total, cell.count) == cell.index);
        mates.map(|(_, address)| address).filter(|address| *address != own).collect()
    }

    /// Time between two notices to the others of a cell.
    pub fn cell_pause(mates: usize) -> Duration {
        Duration::from_secs_f64(mates as f64 / MOST_A_SECOND).max(LEAST_PAUSE)
    }

    /// Notes a neighbour's part of all that is let through now.
    fn learn_parts(&mut self, daemon: &DaemonName) {
        let Some(state) = self.known.get(daemon) else { return };
        let part = |organisation: &OrganisationName| {
            let others: f64 = self.known.values().map(|other| other.flow.rate(organisation)).sum();
            let sum = others + self.own.flow.rate(organisation);
            let equal = 1.0 / (self.known.len() + 1) as f64;
            if sum > 1.0 { state.flow.rate(organisation) / sum } else { equal }
        };
        let names = state.notice.taken.iter().map(|(organisation, _)| organisation);
        let parts = names.map(|organisation| (organisation.clone(), part(organisation))).collect();
        self.known.entry(daemon.clone()).and_modify(|state| state.parts = parts);
    }

    /// Learns what this daemon itself lets through, from its totals.
    pub fn learn_own(&mut self, totals: &[(OrganisationName, i64)], now: Moment) {
        let elapsed = self.own.at.map_or(Duration::ZERO, |at| now.since(at));
        for (organisation, total) in totals {
            let before = self.own.totals.insert(organisation.clone(), *total).unwrap_or(0);
            self.own.flow.learn(organisation, total - before, elapsed);
        }
        self.own.at = Some(now);
    }

    /// The tokens that silent neighbours may have let through since this was asked last, given the rates that the
    /// limits let through. Each is reckoned with its part of all that was let through when it was last heard, so
    /// that daemons that hear nothing of each other still keep to the whole between them.
    pub fn reckon_silent(
        &mut self,
        limits: &[(OrganisationName, f64)],
        now: Moment,
    ) -> Vec<(OrganisationName, i64)> {
        self.forget_gone(now);
        let mut taken = Vec::new();
        let silent_after = self.silent_after();
        for (organisation, limit) in limits {
            let equal = 1.0 / (self.known.len() + 1) as f64;
            let is_silent = |state: &&mut NeighbourState| now.since(state.heard) >= silent_after;
            for state in self.known.values_mut().filter(is_silent) {
                let part = state.parts.get(organisation).copied().unwrap_or(equal);
                let tokens = limit * part * now.since(state.reckoned).as_secs_f64();
                let assumed = state.assumed.entry(organisation.clone()).or_default();
                assumed.sum += tokens;
                assumed.refundable = assumed.sum.min(limit * part * REFUND_SECONDS);
                taken.push((organisation.clone(), tokens as i64));
            }
        }
        let silent = self.known.values_mut().filter(|state| now.since(state.heard) >= silent_after);
        silent.for_each(|state| state.reckoned = now);
        taken
    }

    /// Time between two notices of one daemon in a fleet of this size.
    pub fn notice_pause(&self) -> Duration {
        let others = self.known.len().max(self.named.len()) as f64;
        Duration::from_secs_f64(others / MOST_A_SECOND).max(LEAST_PAUSE)
    }

    /// What is known of the others that share each limited organisation's limit, where their word comes late since the
    /// fleet is larger than one cell.
    pub fn late_words(&self, limited: &[OrganisationName]) -> BTreeMap<OrganisationName, LateWord> {
        let others = self.known.len().max(self.named.len());
        if others < 2 * CELL_SIZE {
            return BTreeMap::new();
        }
        let pause = self.notice_pause().as_secs_f64();
        let word = |organisation: &OrganisationName| {
            let is_active = |state: &&NeighbourState| state.flow.rate(organisation) > LEAST_RATE;
            let active = self.known.values().filter(is_active).count();
            LateWord { others, active, usual: self.own.flow.rate(organisation) * pause }
        };
        limited.iter().map(|organisation| (organisation.clone(), word(organisation))).collect()
    }

    fn silent_after(&self) -> Duration {
        SILENT_AFTER.max(self.notice_pause() * SILENT_PAUSES)
    }

    fn forget_gone(&mut self, now: Moment) {
        self.speeds.retain(|_, speed| now.since(speed.at) < SPEED_LIFE);
        let named = &self.named;
        self.known.retain(|_, state| {
            named.contains(&state.notice.address) || now.since(state.heard) < FORGOTTEN_AFTER
        });
    }

    /// True if the daemon at `own` is the one that reads the platform's list for all that hear each other: the one
    /// with the lowest address among those heard lately. Where they do not hear each other, each side has one.
    pub fn is_reader(&self, own: SocketAddr, now: Moment) -> bool {
        let life = self.work_life();
        let fresh = self.known.values().filter(|state| now.since(state.heard) < life);
        fresh.map(|state| state.notice.address).all(|address| own < address)
    }

    fn work_life(&self) -> Duration {
        WORK_LIFE.max(self.notice_pause() * SILENT_PAUSES)
    }

    /// The work of all neighbours together at each upstream, and its speed as one of them told it last. Only what
    /// those of this daemon's cell have there is known well enough to take up places.
    pub fn others(&self, own: SocketAddr, now: Moment) -> BTreeMap<UpstreamMark, OthersWork> {
        let mut sums: BTreeMap<UpstreamMark, OthersWork> = BTreeMap::new();
        let mates = self.cell_addresses(own, now);
        let life = self.work_life();
        let fresh = self.known.values().filter(|state| now.since(state.work_heard) < life);
        for state in fresh {
            let is_mate = mates.contains(&state.notice.address);
            for (mark, work) in &state.work {
                let sum = sums.entry(*mark).or_default();
                sum.unread_tokens += work.unread_tokens;
                sum.is_down |= work.is_down && is_mate;
                let requests = if is_mate { &mut sum.requests } else { &mut sum.hinted };
                *requests += work.requests;
            }
        }
        for (mark, speed) in &self.speeds {
            sums.entry(*mark).or_default().gap_micros = speed.gap_micros;
        }
        sums
    }
}
