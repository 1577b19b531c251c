//! A release in virtual time, beside daemons that are cut off, stand still, or do not read the list of
//! upstreams, while callers take their streams up again.

use crate::origin_fleet::{HORIZON, OriginFleet, key, version};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::policy::Moment;
use tarragonknot::stream_origin::{
    LookupResult, OriginFinding, OriginLookup, ROUND_TIMEOUT, VERSION_REPORT_INTERVAL,
};

/// Machines of the deployment that the play is about.
const DAEMONS: usize = 7;
const VOTERS: usize = 5;
/// Length of the play after the first version has served alone for long.
const LENGTH: Duration = Duration::from_secs(14);
const TICK: Duration = Duration::from_millis(20);
/// Interval between two readings of the list by a daemon.
const READING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two announcements of a version.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a disruption from which a daemon counts as in touch again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Which disruptions a play has.
#[derive(Clone, Copy, Debug)]
pub struct PlaySettings {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Maximum number of daemons that are out of step at a time.
    pub group_size: usize,
    /// True if voters start again, too, and know nothing then.
    pub restarts_voters: bool,
}

/// A daemon as the play disturbs it.
#[derive(Clone, Copy, Debug)]
struct PlayDaemon {
    read_at: Moment,
    announced_at: Moment,
    reported_at: Moment,
    paused_until: Moment,
    /// Until when it can't read the list.
    blind_until: Moment,
    disturbed_at: Option<Moment>,
    /// True until a daemon that has started again reaches a majority of the voters.
    is_starting: bool,
}

/// A stream that has begun.
#[derive(Clone, Copy, Debug)]
struct PlayStream {
    version: u8,
    daemon: usize,
    taken_up_at: Moment,
    is_taken_up: bool,
}

/// A question on its way to `to`, or its reply on the way back.
#[derive(Clone, Copy, Debug)]
struct PlayMessage {
    at: Moment,
    to: SocketAddr,
    reply: Option<OriginFinding>,
}

struct PlayLookup {
    daemon: usize,
    stream: usize,
    lookup: OriginLookup,
    round_end: Moment,
    messages: Vec<PlayMessage>,
}

/// What became of the streams that were taken up again.
#[derive(Clone, Debug, Default)]
pub struct PlayReport {
    /// Streams that went on at another version, with the daemon and the time.
    pub joined: Vec<String>,
    pub gone_on: usize,
    pub refused: usize,
    /// The same at daemons in touch, while the version of the stream serves.
    pub gone_on_in_touch: usize,
    pub refused_in_touch: usize,
    /// Streams that began at another version than the first.
    pub begun_at_new: usize,
}

/// A release, and what is known of each machine.
pub struct ReleasePlay {
    settings: PlaySettings,
    fleet: OriginFleet,
    rng: ChaCha8Rng,
    listed: Vec<u8>,
    changes: Vec<(Moment, Vec<u8>)>,
    daemons: Vec<PlayDaemon>,
    cut_until: Moment,
    streams: Vec<PlayStream>,
    lookups: Vec<PlayLookup>,
    report: PlayReport,
}

impl ReleasePlay {
    pub fn new(seed: u64, settings: PlaySettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = OriginFleet::with_voters(DAEMONS, VOTERS);
        fleet.rng = ChaCha8Rng::seed_from_u64(rng.random());
        fleet.list_everywhere(&[1]);
        fleet.advance(HORIZON * 2);
        let now = fleet.now;
        let daemon = PlayDaemon {
            read_at: now,
            announced_at: now,
            reported_at: now,
            paused_until: now,
            blind_until: now,
            disturbed_at: None,
            is_starting: false,
        };
        let mut daemons = vec![daemon; DAEMONS];
        for daemon in &mut daemons {
            daemon.read_at = now.before(Duration::from_millis(rng.random_range(0..1_000)));
            daemon.reported_at = now.before(Duration::from_millis(rng.random_range(0..1_000)));
        }
        let changes = Self::draw_changes(&mut rng, now);
        ReleasePlay {
            settings,
            fleet,
            rng,
            listed: vec![1],
            changes,
            daemons,
            cut_until: now,
            streams: Vec::new(),
            lookups: Vec::new(),
            report: PlayReport::default(),
        }
    }

    /// The versions that the platform lists, with the time of each change. A version stays for some
    /// seconds.
    fn draw_changes(rng: &mut ChaCha8Rng, start: Moment) -> Vec<(Moment, Vec<u8>)> {
        let after = |from: Moment, rng: &mut ChaCha8Rng| {
            from + Duration::from_millis(rng.random_range(3_000..6_000))
        };
        let joined = start + Duration::from_millis(rng.random_range(500..3_000));
        let left = after(joined, rng);
        let last: &[u8] = match rng.random_range(0..3) {
            0 => &[1],
            1 => &[2],
            _ => &[1, 2],
        };
        vec![(joined, vec![1, 2]), (left, last.to_vec())]
    }

    /// Plays the release, and returns what became of the streams.
    pub fn play(mut self) -> PlayReport {
        let end = self.fleet.now + LENGTH;
        while self.fleet.now < end {
            self.fleet.now = self.fleet.now + TICK;
            self.fleet.loss = self.settings.loss;
            self.change_list();
            self.disturb();
            (0..DAEMONS).for_each(|daemon| self.run_daemon(daemon));
            self.begin_stream();
            self.take_up_streams();
            self.run_lookups();
        }
        self.report
    }

    fn change_list(&mut self) {
        while let Some((at, versions)) = self.changes.first().cloned()
            && at <= self.fleet.now
        {
            self.listed = versions;
            self.changes.remove(0);
        }
    }

    /// Cuts a group off, stops a daemon for a while, or ends one.
    fn disturb(&mut self) {
        let now = self.fleet.now;
        if now >= self.cut_until {
            self.fleet.daemons.iter_mut().for_each(|daemon| daemon.side = 0);
            self.fleet.voters.iter_mut().for_each(|voter| voter.side = 0);
        }
        if self.rng.random_range(0..60) > 0 {
            return;
        }
        let lasts = Duration::from_millis(self.rng.random_range(300..5_000));
        let mut group: Vec<usize> = (0..DAEMONS).collect();
        group.shuffle(&mut self.rng);
        group.truncate(self.rng.random_range(1..=self.settings.group_size));
        match self.rng.random_range(0..5) {
            0 | 1 if now >= self.cut_until => self.cut(&group, lasts),
            2 => self.pause(group[0], lasts),
            3 => self.end(group[0]),
            4 if self.settings.restarts_voters => {
                let voter = self.rng.random_range(0..VOTERS);
                self.fleet.restart_voter(voter);
            }
            _ => {}
        }
    }

    /// Cuts a group of daemons and perhaps of voters off from all others, and perhaps from the platform.
    fn cut(&mut self, group: &[usize], lasts: Duration) {
        let until = self.fleet.now + lasts;
        self.cut_until = until;
        let is_blind = self.rng.random_bool(0.5);
        for daemon in group {
            self.fleet.daemons[*daemon].side = 1;
            self.daemons[*daemon].disturbed_at = Some(until);
            if is_blind {
                self.daemons[*daemon].blind_until = until;
            }
        }
        let voters = self.rng.random_range(0..=VOTERS);
        let mut numbers: Vec<usize> = (0..VOTERS).collect();
        numbers.shuffle(&mut self.rng);
        let taken = if self.rng.random_bool(0.5) { 0 } else { voters };
        numbers.truncate(taken);
        numbers.iter().for_each(|voter| self.fleet.voters[*voter].side = 1);
        if taken > 0 {
            self.daemons.iter_mut().for_each(|daemon| daemon.disturbed_at = Some(until));
        }
    }

    fn pause(&mut self, daemon: usize, lasts: Duration) {
        let until = self.fleet.now + lasts;
        self.daemons[daemon].paused_until = until;
        self.daemons[daemon].disturbed_at = Some(until);
    }

    /// Ends a daemon, which starts again at once and knows nothing.
    fn end(&mut self, daemon: usize) {
        let now = self.fleet.now;
        self.fleet.restart(daemon);
        self.lookups.retain(|lookup| lookup.daemon != daemon);
        for stream in self.streams.iter_mut().filter(|stream| stream.daemon == daemon) {
            let delay = Duration::from_millis(self.rng.random_range(20..1_500));
            stream.taken_up_at = stream.taken_up_at.min(now + delay);
        }
        let state = &mut self.daemons[daemon];
        state.is_starting = true;
        state.disturbed_at = Some(now);
        state.read_at = now.before(READING_INTERVAL);
    }

    fn is_paused(&self, daemon: usize) -> bool {
        self.fleet.now < self.daemons[daemon].paused_until
    }

    fn serves(&self, daemon: usize) -> bool {
        !self.is_paused(daemon) && !self.daemons[daemon].is_starting
    }

    fn is_in_touch(&self, daemon: usize) -> bool {
        let now = self.fleet.now;
        self.serves(daemon)
            && self.daemons[daemon].disturbed_at.is_none_or(|at| now >= at + CONTACT_TIME)
    }

    /// Reads the list and sends what is due, as each daemon does.
    fn run_daemon(&mut self, daemon: usize) {
        let now = self.fleet.now;
        if self.is_paused(daemon) {
            return;
        }
        let state = self.daemons[daemon];
        if now >= state.blind_until && now.since(state.read_at) >= READING_INTERVAL {
            self.daemons[daemon].read_at = now;
            let listed = self.listed.clone();
            self.fleet.list(daemon, &listed);
        }
        if now.since(state.reported_at) >= VERSION_REPORT_INTERVAL {
            self.daemons[daemon].reported_at = now;
            self.fleet.report(daemon);
        }
        if now.since(state.announced_at) >= ANNOUNCEMENT_INTERVAL {
            self.daemons[daemon].announced_at = now;
            self.fleet.announce(daemon);
        }
        let has_list = now.since(self.daemons[daemon].read_at) < READING_INTERVAL;
        if state.is_starting && has_list && self.fleet.reaches_majority(daemon) {
            self.daemons[daemon].is_starting = false;
        }
    }

    /// The versions that a daemon lists and that serve.
    fn usable(&mut self, daemon: usize) -> Vec<u8> {
        let reports = self.fleet.daemons[daemon].history.reports(None);
        let names = |number: u8| {
            reports.iter().any(|report| report.versions.contains(&Some(version(number))))
        };
        let known: Vec<u8> = [1, 2].into_iter().filter(|number| names(*number)).collect();
        let listed = self.listed.clone();
        let serving = known.into_iter().filter(|number| listed.contains(number));
        serving.filter(|number| self.fleet.may_begin(daemon, *number)).collect()
    }

    fn begin_stream(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        if !self.serves(daemon) || self.rng.random_bool(0.5) {
            return;
        }
        let Some(version) = self.usable(daemon).choose(&mut self.rng).copied() else { return };
        self.report.begun_at_new += usize::from(version != 1);
        self.fleet.begin(daemon, key(self.streams.len()), version);
        let delay = Duration::from_millis(self.rng.random_range(20..2_500));
        let taken_up_at = self.fleet.now + delay;
        self.streams.push(PlayStream { version, daemon, taken_up_at, is_taken_up: false });
    }

    /// Callers take their streams up at any daemon, once.
    fn take_up_streams(&mut self) {
        let now = self.fleet.now;
        for number in 0..self.streams.len() {
            let stream = &mut self.streams[number];
            if stream.is_taken_up || stream.taken_up_at > now {
                continue;
            }
            stream.is_taken_up = true;
            let daemon = self.rng.random_range(0..DAEMONS);
            if !self.serves(daemon) {
                continue;
            }
            match self.fleet.lookup(daemon, key(number)) {
                Ok(lookup) => self.lookups.push(PlayLookup {
                    daemon,
                    stream: number,
                    lookup,
                    round_end: now,
                    messages: Vec::new(),
                }),
                Err(found) => self.finish(daemon, number, found),
            }
        }
    }

    fn run_lookups(&mut self) {
        for mut lookup in std::mem::take(&mut self.lookups) {
            match self.run_lookup(&mut lookup) {
                Some(found) => self.finish(lookup.daemon, lookup.stream, found),
                None => self.lookups.push(lookup),
            }
        }
    }

    /// Handles what has arrived for a lookup; returns its result once it has one.
    fn run_lookup(&mut self, state: &mut PlayLookup) -> Option<LookupResult> {
        let (now, daemon) = (self.fleet.now, state.daemon);
        self.answer_questions(state);
        if self.is_paused(daemon) {
            return None;
        }
        // A round whose time is over ends before late replies are read.
        while now >= state.round_end || state.lookup.may_go_on() {
            let Some(asked) = state.lookup.next_round() else {
                let number = state.stream;
                return Some(self.fleet.conclude(daemon, key(number), &mut state.lookup));
            };
            state.round_end = now + ROUND_TIMEOUT;
            for to in asked {
                let at = now + self.draw_delay();
                state.messages.push(PlayMessage { at, to, reply: None });
            }
            self.answer_questions(state);
            if let Some(found) = Self::handle_replies(state, now) {
                return Some(found);
            }
        }
        Self::handle_replies(state, now)
    }

    /// Time that a message takes; some machines are busy.
    fn draw_delay(&mut self) -> Duration {
        match self.rng.random_range(0..8) {
            0 => Duration::from_millis(self.rng.random_range(20..300)),
            _ => Duration::ZERO,
        }
    }

    /// Lets those reply that a question has reached. A daemon that stands still replies later.
    fn answer_questions(&mut self, state: &mut PlayLookup) {
        let now = self.fleet.now;
        let messages = std::mem::take(&mut state.messages);
        for message in messages {
            let position = self.fleet.addresses.iter().position(|it| *it == message.to);
            let is_paused = position.is_some_and(|daemon| self.is_paused(daemon));
            if message.reply.is_some() || message.at > now || is_paused {
                state.messages.push(message);
                continue;
            }
            let reply = self.fleet.reply(state.daemon, message.to, key(state.stream));
            if reply.is_some() {
                let at = now + self.draw_delay();
                state.messages.push(PlayMessage { at, reply, ..message });
            }
        }
    }

    fn handle_replies(state: &mut PlayLookup, now: Moment) -> Option<LookupResult> {
        let messages = std::mem::take(&mut state.messages);
        let mut found = None;
        for message in messages {
            match message.reply {
                Some(reply) if message.at <= now => {
                    found = found.or(state.lookup.handle_reply(message.to, reply));
                }
                _ => state.messages.push(message),
            }
        }
        found
    }

    fn finish(&mut self, daemon: usize, number: usize, found: LookupResult) {
        let stream = self.streams[number];
        let is_in_touch = self.is_in_touch(daemon) && self.listed.contains(&stream.version);
        let version = match found {
            LookupResult::Known { origin, .. } | LookupResult::SoleVersion(origin) => {
                origin.version
            }
            _ => None,
        };
        match version {
            Some(found) if found == crate::origin_fleet::version(stream.version) => {
                self.report.gone_on += 1;
                self.report.gone_on_in_touch += usize::from(is_in_touch);
            }
            Some(_) => self.report.joined.push(format!(
                "stream {number} of version {} at daemon {daemon}, {:?}",
                stream.version, self.fleet.now
            )),
            None => {
                self.report.refused += 1;
                self.report.refused_in_touch += usize::from(is_in_touch);
            }
        }
    }
}
