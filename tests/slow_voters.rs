//! Voters in virtual time whose control thread needs time for every byte that it writes or reads,
//! and an operator who edits a large table.

use crate::order_clients::{CallAnswer, CallId, OrderClients};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::claim::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, RecordedAnswer};
use tarragonknot::control::{
    ControlCommand, ControlLedger, LeaderRoute, NumberedTable, absent_members, leader_route,
    may_join, next_membership,
};
use tarragonknot::policy::Moment;
use tarragonknot::replica::{
    EntryPayload, FleetId, FleetMembership, HardState, InitialState, LogEntry, LogPosition,
    ReplicaConfig, ReplicaCore, ReplicaEnvelope, ReplicaMessage, ReplicaOutput, ReplicaRole,
    SnapshotRecord, VoterId,
};

const STEP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
/// Bytes that a voter with a seventh of a core writes or reads in a millisecond.
const BYTES_PER_MS: u64 = 10_000;
/// Time to handle a message, apart from its bytes.
const MESSAGE_TIME: Duration = Duration::from_micros(300);
/// Pause between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a leader after which a voter that has a log asks to join again.
const REJOIN_DELAY: Duration = Duration::from_secs(2);
/// Time from a voter's SIGTERM to the end of its process.
const STOP_TIME: Duration = Duration::from_millis(600);
/// Time after which the operator sends an unanswered edit again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of edits that the operator has under way.
const MAX_EDITS_UNDER_WAY: usize = 8;
/// Time after which a daemon asks another voter.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a voter gives up an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Size of the answer recorded with a claim.
const CLAIM_BYTES: usize = 800;
const FLEET_ID: FleetId = FleetId(3);

/// What one run of the voters is like.
#[derive(Clone, Copy, Debug)]
pub struct VoterSetup {
    pub voters: usize,
    /// One-way latency between voters.
    pub latency: Duration,
    pub table_bytes: usize,
    pub replica: ReplicaConfig,
    pub seed: u64,
}

impl Default for VoterSetup {
    fn default() -> Self {
        VoterSetup {
            voters: 3,
            latency: Duration::from_millis(1),
            table_bytes: 75_000,
            replica: ReplicaConfig::default(),
            seed: 1,
        }
    }
}

struct VoterDisk {
    hard_state: HardState,
    snapshot: SnapshotRecord,
    entries: Vec<LogEntry<ControlCommand>>,
}

impl VoterDisk {
    fn new(membership: FleetMembership) -> Self {
        let at = LogPosition::default();
        let snapshot = SnapshotRecord { at, membership, state: Arc::from("") };
        VoterDisk { hard_state: HardState::default(), snapshot, entries: Vec::new() }
    }
}

/// An order that has no answer yet, and the time at which its caller gets none.
struct WaitingOrder {
    call: CallId,
    version: u64,
    until: Moment,
}

/// A machine that no longer starts.
const NEVER: Moment = Moment(u64::MAX);

struct SlowVoter {
    id: VoterId,
    disk: VoterDisk,
    /// `None` while the process is down.
    core: Option<ReplicaCore<ControlCommand>>,
    ledger: ControlLedger,
    inbox: VecDeque<(Moment, ReplicaEnvelope<ControlCommand>)>,
    busy_until: Moment,
    tick_at: Moment,
    starts_at: Moment,
    /// Time at which a process that got SIGTERM ends.
    ends_at: Option<Moment>,
    is_cut_off: bool,
    /// Last time at which a leader was known.
    last_led: Moment,
    /// Daemons that have asked for a table.
    asked_by: VecDeque<usize>,
    /// Operators' calls that have arrived, with their versions.
    calls: VecDeque<(CallId, u64)>,
    waiting: Vec<WaitingOrder>,
    /// Orders that wait until it is known who leads.
    held: Vec<WaitingOrder>,
    named_voters: usize,
}

impl SlowVoter {
    fn new(id: VoterId, disk: VoterDisk, starts_at: Moment) -> Self {
        SlowVoter {
            id,
            disk,
            core: None,
            ledger: ControlLedger::default(),
            inbox: VecDeque::new(),
            busy_until: starts_at,
            tick_at: starts_at,
            starts_at,
            ends_at: None,
            is_cut_off: false,
            last_led: starts_at,
            asked_by: VecDeque::new(),
            calls: VecDeque::new(),
            waiting: Vec::new(),
            held: Vec::new(),
            named_voters: 0,
        }
    }

    /// Ends the process; its callers get no answer.
    fn end(&mut self) {
        self.core = None;
        self.inbox.clear();
        self.calls.clear();
        self.waiting.clear();
        self.held.clear();
    }
}

/// A daemon that has started and asks one voter after the other for a table.
#[derive(Clone, Copy, Debug)]
struct StartedDaemon {
    voter: usize,
    asks_at: Moment,
    is_waiting: bool,
}

/// Daemons that start without a table.
#[derive(Clone, Copy, Debug)]
pub struct StartPlan {
    pub daemons: usize,
    /// Size of a voter's answer with a table.
    pub answer_bytes: usize,
    /// True if daemons begin with different voters.
    pub is_spread: bool,
}

/// An edit of the operator.
#[derive(Clone, Copy, Debug)]
pub struct OperatorEdit {
    pub version: u64,
    pub sent_at: Moment,
    pub acked_at: Option<Moment>,
    tried_at: Option<Moment>,
}

/// The voters and their operator.
pub struct SlowFleet {
    setup: VoterSetup,
    rng: ChaCha8Rng,
    pub now: Moment,
    voters: Vec<SlowVoter>,
    pub edits: Vec<OperatorEdit>,
    edit_interval: Option<Duration>,
    edit_at: Moment,
    next_folder: u32,
    /// Number of snapshots that are still to be lost on their way.
    snapshots_to_lose: usize,
    /// Number of snapshots, or parts of one, that were sent.
    pub snapshots_sent: usize,
    started: Vec<StartedDaemon>,
    answer_bytes: usize,
    clients: Option<OrderClients>,
    claim_interval: Option<Duration>,
    claim_at: Moment,
    claims: usize,
}

fn control_address(position: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, position as u8 + 1], 7_600))
}

fn voter_id(position: usize, folder_id: u32) -> VoterId {
    VoterId { daemon: format!("core-{position}").as_str().into(), folder_id }
}

fn is_snapshot(message: &ReplicaMessage<ControlCommand>) -> bool {
    matches!(message, ReplicaMessage::Snapshot { .. } | ReplicaMessage::SnapshotPart { .. })
}

/// A claim that is acquired and answered.
fn claim_commands(number: usize, bytes: usize) -> Vec<ControlCommand> {
    let key = ClaimKey { organisation: "org".into(), key: format!("key-{number}") };
    let owner = ClaimOwner { daemon: "entry".into(), boot: 1, request: format!("{number}") };
    let acquire = ClaimCommand::Acquire {
        key: key.clone(),
        digest: String::new(),
        owner: owner.clone(),
        timestamp_ms: 0,
        ttl_ms: 3_600_000,
    };
    let content_type = "text/plain".to_owned();
    let body = Some("a".repeat(bytes));
    let outcome = ClaimOutcome::Answered(RecordedAnswer { status: 200, content_type, body });
    let settle = ClaimCommand::Settle { key, owner, outcome };
    [acquire, settle].map(ControlCommand::Claim).into()
}

fn handling_time(bytes: usize) -> Duration {
    MESSAGE_TIME + Duration::from_micros(bytes as u64 * 1_000 / BYTES_PER_MS)
}

impl SlowFleet {
    pub fn new(setup: VoterSetup) -> Self {
        let members = (0..setup.voters).map(|at| (voter_id(at, 0), control_address(at)));
        let voters = members.collect();
        let membership = FleetMembership { voters, fleet: FLEET_ID, ..FleetMembership::default() };
        let now = Moment(1_000_000);
        let voter = |position| {
            SlowVoter::new(voter_id(position, 0), VoterDisk::new(membership.clone()), now)
        };
        SlowFleet {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now,
            voters: (0..setup.voters).map(voter).collect(),
            edits: Vec::new(),
            edit_interval: None,
            edit_at: now,
            next_folder: 1,
            snapshots_to_lose: 0,
            snapshots_sent: 0,
            started: Vec::new(),
            answer_bytes: 0,
            clients: None,
            claim_interval: None,
            claim_at: now,
            claims: 0,
        }
    }

    /// Adds operators that call the voters as the platform's operators do.
    pub fn add_clients(&mut self, clients: OrderClients) {
        self.clients = Some(clients);
    }

    /// The operators added by [`add_clients`](Self::add_clients).
    pub fn clients(&mut self) -> &mut OrderClients {
        self.clients.as_mut().expect("clients")
    }

    /// Sets how often the leader stores a claim.
    pub fn claim_every(&mut self, interval: Duration) {
        self.claim_interval = Some(interval);
        self.claim_at = self.now;
    }

    /// Passes an operator's call to a machine; false if no process runs there.
    pub fn call(&mut self, machine: usize, call: CallId, version: u64) -> bool {
        let voter = &mut self.voters[machine];
        if voter.core.is_some() {
            voter.calls.push_back((call, version));
        }
        voter.core.is_some()
    }

    fn answer_call(&mut self, call: CallId, answer: CallAnswer) {
        if let Some(clients) = &mut self.clients {
            clients.answer(call, answer, self.now);
        }
    }

    /// Takes an operator's call from the network.
    fn take_call(&mut self, position: usize) {
        let voter = &mut self.voters[position];
        let Some((call, version)) = voter.calls.pop_front() else { return };
        voter.busy_until = self.now + handling_time(self.setup.table_bytes);
        let until = self.now + ANSWER_TIMEOUT;
        self.route_order(position, WaitingOrder { call, version, until });
    }

    /// Decides an order as the control loop does.
    fn route_order(&mut self, position: usize, order: WaitingOrder) {
        let now = self.now;
        let voter = &mut self.voters[position];
        let Some(core) = &voter.core else { return };
        match leader_route(core, voter.named_voters, now) {
            LeaderRoute::Here => {
                let version = order.version;
                let is_known = version <= voter.ledger.table().version
                    || voter.waiting.iter().any(|known| known.version == version);
                voter.waiting.push(order);
                if !is_known {
                    self.propose(position, version);
                }
            }
            LeaderRoute::Elsewhere(id) => {
                voter.named_voters += 1;
                let machine = self.voters.iter().position(|voter| voter.id.daemon == id.daemon);
                let answer = machine.map_or(CallAnswer::Unknown, CallAnswer::Elsewhere);
                self.answer_call(order.call, answer);
            }
            LeaderRoute::Unsettled => voter.held.push(order),
        }
    }

    /// Decides the orders that waited until it is known who leads.
    fn retry_held(&mut self, position: usize) {
        let voter = &mut self.voters[position];
        let held = std::mem::take(&mut voter.held);
        for order in held {
            match self.now >= order.until {
                true => self.answer_call(order.call, CallAnswer::Unknown),
                false => self.route_order(position, order),
            }
        }
    }

    /// Answers the calls whose entries are applied and those that waited too long. If the voter no
    /// longer leads, the others are decided anew.
    fn answer_waiting(&mut self, position: usize) {
        let now = self.now;
        let voter = &mut self.voters[position];
        let Some(core) = &voter.core else { return };
        let leads = core.role() == ReplicaRole::Leader;
        let held = voter.ledger.table().version;
        let is_over =
            |order: &mut WaitingOrder| !leads || order.version <= held || now >= order.until;
        let over: Vec<WaitingOrder> = voter.waiting.extract_if(.., is_over).collect();
        for order in over {
            match (leads, order.version <= held) {
                (true, true) => self.answer_call(order.call, CallAnswer::Done),
                (true, false) => self.answer_call(order.call, CallAnswer::Unknown),
                (false, _) => self.voters[position].held.push(order),
            }
        }
    }

    /// Lets the operators call, and the leader store claims.
    fn drive_clients(&mut self) {
        if let Some(mut clients) = self.clients.take() {
            clients.drive(self);
            self.clients = Some(clients);
        }
        if let (Some(interval), true) = (self.claim_interval, self.now >= self.claim_at) {
            self.claim_at = self.now + interval;
            let Some(leader) = self.leader() else { return };
            self.claims += 1;
            let commands = claim_commands(self.claims, CLAIM_BYTES);
            self.propose_commands(leader, commands);
        }
    }

    /// Starts daemons that ask the voters for a table.
    pub fn start_daemons(&mut self, plan: StartPlan) {
        let count = self.voters.len();
        let daemon = |number: usize| StartedDaemon {
            voter: if plan.is_spread { number % count } else { 0 },
            asks_at: self.now,
            is_waiting: true,
        };
        self.started = (0..plan.daemons).map(daemon).collect();
        self.answer_bytes = plan.answer_bytes;
    }

    /// Number of daemons that have received no table.
    pub fn daemons_without_table(&self) -> usize {
        self.started.iter().filter(|daemon| daemon.is_waiting).count()
    }

    fn ask_for_tables(&mut self) {
        for number in 0..self.started.len() {
            let daemon = &mut self.started[number];
            if !daemon.is_waiting || daemon.asks_at > self.now {
                continue;
            }
            let voter = &mut self.voters[daemon.voter];
            let is_up = voter.core.is_some();
            daemon.asks_at = self.now + if is_up { REPORT_TIMEOUT } else { CONNECT_TIMEOUT };
            daemon.voter = (daemon.voter + 1) % self.setup.voters;
            if is_up {
                voter.asked_by.push_back(number);
            }
        }
    }

    /// Answers the daemon that has waited longest at a voter, which does not notice that a daemon has
    /// turned to another voter.
    fn answer_daemon(&mut self, position: usize) {
        let voter = &mut self.voters[position];
        let Some(daemon) = voter.asked_by.pop_front() else { return };
        voter.busy_until = self.now + handling_time(self.answer_bytes);
        let count = self.setup.voters;
        let daemon = &mut self.started[daemon];
        let is_expected =
            (daemon.voter + count - 1) % count == position && self.now < daemon.asks_at;
        daemon.is_waiting &= !is_expected;
    }

    /// Sets how often the operator edits the table; `None` for never.
    pub fn edit_every(&mut self, interval: Option<Duration>) {
        self.edit_interval = interval;
        self.edit_at = self.now;
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.drive_operator();
            self.drive_clients();
            self.ask_for_tables();
            for position in 0..self.voters.len() {
                self.run_voter(position);
            }
        }
    }

    /// The voter that leads and holds the lease.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |voter: &SlowVoter| voter.core.as_ref().is_some_and(|core| core.has_lease(self.now));
        self.voters.iter().position(leads)
    }

    /// A voter that does not lead.
    pub fn follower(&self) -> usize {
        let leader = self.leader();
        (0..self.voters.len()).find(|position| Some(*position) != leader).expect("a follower")
    }

    /// Cuts a voter off from all others, or joins it to them again.
    pub fn cut_off(&mut self, position: usize, is_cut_off: bool) {
        self.voters[position].is_cut_off = is_cut_off;
    }

    /// Loses the next snapshots, or parts of one, on their way.
    pub fn lose_snapshots(&mut self, count: usize) {
        self.snapshots_to_lose = count;
    }

    /// Stores `count` claims, each with an answer of `bytes`.
    pub fn store_claims(&mut self, count: usize, bytes: usize) {
        for number in 0..count {
            let Some(leader) = self.leader() else { return };
            let now = self.now;
            let Some(core) = &mut self.voters[leader].core else { return };
            let commands = claim_commands(number, bytes);
            let output = core.propose(commands, now).map(|(_, output)| output);
            self.process(leader, output.unwrap_or_default());
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Takes the power of a voter for `span`.
    pub fn stop(&mut self, position: usize, span: Duration) {
        let starts_at = self.now + span;
        let voter = &mut self.voters[position];
        voter.end();
        voter.starts_at = starts_at;
    }

    /// Takes the power and the disk of a voter, which starts again after `span` with an empty one.
    pub fn wipe(&mut self, position: usize, span: Duration) {
        self.stop(position, span);
        let membership = FleetMembership { fleet: FLEET_ID, ..FleetMembership::default() };
        let voter = &mut self.voters[position];
        voter.disk = VoterDisk::new(membership);
        voter.id = voter_id(position, self.next_folder);
        self.next_folder += 1;
    }

    /// Adds a machine with an empty disk, and returns its position.
    pub fn add_machine(&mut self) -> usize {
        let position = self.voters.len();
        let membership = FleetMembership { fleet: FLEET_ID, ..FleetMembership::default() };
        let id = voter_id(position, self.next_folder);
        self.next_folder += 1;
        self.voters.push(SlowVoter::new(id, VoterDisk::new(membership), self.now));
        position
    }

    /// Takes the power of a machine for good.
    pub fn remove(&mut self, position: usize) {
        self.stop(position, Duration::ZERO);
        self.voters[position].starts_at = NEVER;
    }

    /// Sends SIGTERM to a voter, which starts again `pause` after its end, or never.
    pub fn terminate(&mut self, position: usize, pause: Option<Duration>) {
        let ends_at = self.now + STOP_TIME;
        let voter = &mut self.voters[position];
        voter.ends_at = Some(ends_at);
        voter.starts_at = pause.map_or(NEVER, |pause| ends_at + pause);
    }

    /// Machines whose processes run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.voters.len()).filter(|position| self.voters[*position].core.is_some()).collect()
    }

    /// The voters as the leader knows them, and for each the machine that runs it, if any does.
    pub fn voter_machines(&self) -> Option<Vec<(VoterId, Option<usize>)>> {
        let membership = self.voters[self.leader()?].core.as_ref()?.membership();
        let machine = |id: &VoterId| {
            self.voters.iter().position(|voter| voter.id == *id && voter.core.is_some())
        };
        Some(membership.voters.keys().map(|id| (id.clone(), machine(id))).collect())
    }

    /// The longest time that an edit waited for its acknowledgement, not counted before `since`.
    pub fn longest_wait(&self, since: Moment) -> Duration {
        let wait =
            |edit: &OperatorEdit| edit.acked_at.unwrap_or(self.now).since(edit.sent_at.max(since));
        self.edits.iter().map(wait).max().unwrap_or_default()
    }

    /// Number of entries that a machine's voter lacks, as the leader knows it.
    pub fn lag(&self, position: usize) -> Option<u64> {
        let core = self.voters[self.leader()?].core.as_ref()?;
        core.lag(&self.voters[position].id).map(|lag| lag.entries)
    }

    /// True if the leader knows a machine as voter or learner.
    pub fn is_member(&self, position: usize) -> bool {
        self.lag(position).is_some()
    }

    /// Size of what a machine lacks once it votes, in bytes, as the leader knows it.
    pub fn voter_lag_bytes(&self, position: usize) -> Option<usize> {
        let core = self.voters[self.leader()?].core.as_ref()?;
        let id = &self.voters[position].id;
        core.lag(id).filter(|_| core.membership().voters.contains_key(id)).map(|lag| lag.bytes)
    }

    /// What each machine's replica has come to, for messages of failed checks.
    pub fn states(&self) -> Vec<String> {
        let state = |voter: &SlowVoter| {
            let Some(core) = &voter.core else { return format!("{}: down", voter.id) };
            let matched = core
                .membership()
                .members()
                .filter_map(|(id, _)| core.match_index(id).map(|index| format!("{id} {index}")));
            format!(
                "{}: {:?} of term {}, last {:?}, committed {}, lease {}, acknowledged {:?}",
                voter.id,
                core.role(),
                core.term(),
                core.log().last(),
                core.commit_index(),
                core.has_lease(self.now),
                matched.collect::<Vec<String>>()
            )
        };
        self.voters.iter().map(state).collect()
    }

    /// True if every voter has the newest acknowledged edit.
    pub fn is_complete(&self) -> bool {
        let newest = self.edits.iter().rev().find(|edit| edit.acked_at.is_some());
        let version = newest.map_or(0, |edit| edit.version);
        self.voters.iter().all(|voter| voter.ledger.table().version >= version)
    }

    fn drive_operator(&mut self) {
        let under_way = self.edits.iter().filter(|edit| edit.acked_at.is_none()).count();
        if let Some(interval) = self.edit_interval
            && self.now >= self.edit_at
            && under_way < MAX_EDITS_UNDER_WAY
        {
            self.edit_at = self.now + interval;
            let version = self.edits.len() as u64 + 1;
            let (sent_at, acked_at) = (self.now, None);
            self.edits.push(OperatorEdit { version, sent_at, acked_at, tried_at: None });
        }
        let Some(leader) = self.leader() else { return };
        if self.voters[leader].busy_until > self.now {
            return;
        }
        let is_due = |edit: &&mut OperatorEdit| {
            edit.acked_at.is_none()
                && edit.tried_at.is_none_or(|tried| self.now.since(tried) >= RESEND_INTERVAL)
        };
        let Some(edit) = self.edits.iter_mut().find(is_due) else { return };
        edit.tried_at = Some(self.now);
        let version = edit.version;
        self.propose(leader, version);
    }

    fn propose(&mut self, leader: usize, version: u64) {
        let text = "r".repeat(self.setup.table_bytes);
        let numbered = Box::new(NumberedTable { version, document: Arc::from(text) });
        self.voters[leader].busy_until = self.now + handling_time(self.setup.table_bytes);
        self.propose_commands(leader, vec![ControlCommand::Replace(numbered)]);
    }

    fn propose_commands(&mut self, leader: usize, commands: Vec<ControlCommand>) {
        let now = self.now;
        let Some(core) = &mut self.voters[leader].core else { return };
        if let Ok((_, output)) = core.propose(commands, now) {
            self.process(leader, output);
        }
    }

    fn run_voter(&mut self, position: usize) {
        if self.voters[position].ends_at.take_if(|ends_at| *ends_at <= self.now).is_some() {
            self.voters[position].end();
        }
        if self.voters[position].core.is_none() && self.now >= self.voters[position].starts_at {
            self.start(position);
        }
        while self.voters[position].core.is_some() && self.voters[position].busy_until <= self.now {
            let voter = &self.voters[position];
            let has_message = voter.inbox.front().is_some_and(|(at, _)| *at <= self.now);
            let has_tick = voter.tick_at <= self.now;
            let is_asked = !voter.asked_by.is_empty();
            let is_called = !voter.calls.is_empty();
            // As the control loop does, which takes whichever of its inputs it polls first.
            if is_asked && ((!has_tick && !has_message) || self.rng.random_bool(0.5)) {
                self.answer_daemon(position);
            } else if is_called && ((!has_tick && !has_message) || self.rng.random_bool(0.5)) {
                self.take_call(position);
            } else if has_tick && (!has_message || self.rng.random_bool(0.5)) {
                self.tick(position);
            } else if has_message {
                self.receive(position);
            } else {
                return;
            }
        }
    }

    fn start(&mut self, position: usize) {
        let now = self.now;
        let voter = &mut self.voters[position];
        voter.ledger = ControlLedger::from_json(&voter.disk.snapshot.state).expect("valid JSON");
        let bytes = voter.disk.entries.iter().map(LogEntry::size_bytes).sum();
        voter.busy_until = now + handling_time(bytes);
        let start = InitialState {
            id: voter.id.clone(),
            hard_state: voter.disk.hard_state.clone(),
            snapshot: voter.disk.snapshot.clone(),
            entries: voter.disk.entries.clone(),
            commit_index: 0,
        };
        let core = ReplicaCore::new(self.setup.replica, start, now, &mut self.rng);
        voter.core = Some(core);
        voter.last_led = now;
    }

    /// Members that have announced their end to the leader.
    fn stopping(&self) -> Vec<VoterId> {
        let is_stopping = |voter: &&SlowVoter| voter.ends_at.is_some() && !voter.is_cut_off;
        self.voters.iter().filter(is_stopping).map(|voter| voter.id.clone()).collect()
    }

    fn tick(&mut self, position: usize) {
        let now = self.now;
        self.voters[position].tick_at = now + TICK;
        let Some(core) = &mut self.voters[position].core else { return };
        let output = core.tick(now, &mut self.rng);
        self.process(position, output);
        self.run_leader_tasks(position);
        self.ask_to_join(position);
        self.answer_waiting(position);
        self.retry_held(position);
    }

    fn run_leader_tasks(&mut self, position: usize) {
        let now = self.now;
        let stopping = self.stopping();
        let voter = &mut self.voters[position];
        let Some(core) = voter.core.as_mut().filter(|core| core.has_lease(now)) else { return };
        let absent = absent_members(core, &stopping, now);
        let Some(membership) = next_membership(core, &voter.ledger, &absent) else { return };
        if let Ok(output) = core.change_membership(membership, now) {
            self.process(position, output);
        }
    }

    fn ask_to_join(&mut self, position: usize) {
        let now = self.now;
        let is_due = now.0 % JOIN_INTERVAL.as_micros() as u64 <= TICK.as_micros() as u64;
        let voter = &mut self.voters[position];
        let Some(core) = &voter.core else { return };
        if core.leader().is_some() {
            voter.last_led = now;
        }
        let is_new = core.membership().voters.is_empty();
        let is_leaderless = now.since(voter.last_led) >= REJOIN_DELAY;
        if voter.is_cut_off || voter.ends_at.is_some() || !(is_new || is_leaderless) {
            return;
        }
        let id = voter.id.clone();
        let Some(leader) = self.leader().filter(|leader| is_due && *leader != position) else {
            return;
        };
        let voter = &mut self.voters[leader];
        let Some(core) = &mut voter.core else { return };
        let membership = core.membership();
        if membership.address(&id).is_some() || !may_join(membership, &voter.ledger, &id, true) {
            return;
        }
        let membership = membership.with_learner(id, control_address(position));
        if let Ok(output) = core.change_membership(membership, now) {
            self.process(leader, output);
        }
    }

    fn receive(&mut self, position: usize) {
        let now = self.now;
        let voter = &mut self.voters[position];
        let Some((_, envelope)) = voter.inbox.pop_front() else { return };
        voter.busy_until = now + handling_time(envelope.message.size_bytes());
        let Some(core) = &mut voter.core else { return };
        let output = core.receive(envelope, now, &mut self.rng);
        self.process(position, output);
    }

    /// Stores, sends and applies in the order that the control loop keeps.
    fn process(&mut self, position: usize, output: ReplicaOutput<ControlCommand>) {
        let voter = &mut self.voters[position];
        if let Some(hard_state) = output.hard_state {
            voter.disk.hard_state = hard_state;
        }
        if let Some(snapshot) = output.install_snapshot {
            voter.ledger = ControlLedger::from_json(&snapshot.state).expect("valid JSON");
            voter.disk.entries.clear();
            voter.disk.snapshot = snapshot;
        }
        if let Some(index) = output.truncate_from {
            voter.disk.entries.retain(|entry| entry.at.index < index);
        }
        voter.disk.entries.extend(output.entries);
        for envelope in output.messages {
            self.send(position, envelope);
        }
        for entry in output.committed {
            self.apply(position, &entry);
        }
        self.compact(position);
    }

    fn send(&mut self, from: usize, envelope: ReplicaEnvelope<ControlCommand>) {
        let cost = handling_time(envelope.message.size_bytes());
        let sender = &mut self.voters[from];
        sender.busy_until = sender.busy_until.max(self.now) + cost;
        let arrives_at = sender.busy_until + self.setup.latency;
        self.snapshots_sent += usize::from(is_snapshot(&envelope.message));
        if self.snapshots_to_lose > 0 && is_snapshot(&envelope.message) {
            self.snapshots_to_lose -= 1;
            return;
        }
        let is_cut_off = sender.is_cut_off;
        let receiver = self.voters.iter_mut().find(|voter| voter.id == envelope.to);
        let receiver = receiver.filter(|receiver| !is_cut_off && !receiver.is_cut_off);
        if let Some(receiver) = receiver.filter(|receiver| receiver.core.is_some()) {
            receiver.inbox.push_back((arrives_at, envelope));
            receiver.inbox.make_contiguous().sort_by_key(|(at, _)| *at);
        }
    }

    fn apply(&mut self, position: usize, entry: &LogEntry<ControlCommand>) {
        let EntryPayload::Command(command) = &entry.payload else { return };
        let voter = &mut self.voters[position];
        voter.ledger.apply(command);
        let core = voter.core.as_ref();
        if core.is_some_and(|core| core.role() == ReplicaRole::Leader) {
            let version = voter.ledger.table().version;
            let acked = self.edits.iter_mut().filter(|edit| edit.version <= version);
            acked.for_each(|edit| edit.acked_at = edit.acked_at.or(Some(self.now)));
            self.answer_waiting(position);
        }
    }

    fn compact(&mut self, position: usize) {
        let voter = &mut self.voters[position];
        let Some(core) = &mut voter.core else { return };
        if !core.should_compact() {
            return;
        }
        let snapshot = core.compact(Arc::from(voter.ledger.to_json()));
        voter.disk.entries.retain(|entry| entry.at.index > snapshot.at.index);
        voter.disk.snapshot = snapshot;
    }
}
