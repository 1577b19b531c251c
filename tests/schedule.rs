//! An event loop that drives the pure replicas under a seeded schedule of message loss, delay,
//! reordering and duplication, crashes, restarts, pauses, partitions, wiped disks and clocks of
//! different speeds. Invariants are checked after every step.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::claim::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply};
use tarragonknot::control::{ControlCommand, ControlLedger, ControlReply, EditOutcome, TableEdit};
use tarragonknot::policy::Moment;
use tarragonknot::replica::{
    EntryPayload, FleetId, FleetMembership, HardState, InitialState, LogEntry, LogPosition,
    ReplicaConfig, ReplicaCore, ReplicaEnvelope, ReplicaOutput, ReplicaRole, SnapshotRecord,
    VoterId,
};
use tarragonknot::table::{OperatorTable, TierRow};

const VOTERS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const FLEET_ID: FleetId = FleetId(7);

/// A rule that is broken on purpose, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// No rule is broken.
    Nothing,
    /// Writes that need a sync are lost in a crash.
    SkipSync,
    /// The lease counts as valid whenever the role is leader.
    SkipLeaseCheck,
    /// A wiped voter rejoins under its old identity.
    KeepWipedIdentity,
    /// Resent edits get a new id and are applied again.
    ForgetEditIds,
}

/// Contents of a voter's disk.
#[derive(Clone)]
struct VoterDisk {
    hard: HardState,
    snapshot: SnapshotRecord,
    entries: Vec<LogEntry<ControlCommand>>,
}

struct TestVoter {
    id: VoterId,
    disk: VoterDisk,
    /// The part that survives a crash; equal to `disk` unless the sync rule is broken.
    synced: VoterDisk,
    core: Option<ReplicaCore<ControlCommand>>,
    ledger: ControlLedger,
    paused_until: u64,
    down_until: u64,
    /// Speed of the voter's clock relative to true time.
    speed: f64,
    version: u64,
}

struct InFlightMessage {
    at: u64,
    envelope: ReplicaEnvelope<ControlCommand>,
}

/// A set of voters, the messages in flight between them and the facts that must not change.
pub struct Schedule {
    rng: ChaCha8Rng,
    config: ReplicaConfig,
    rule: BrokenRule,
    now: u64,
    voters: Vec<TestVoter>,
    in_flight: Vec<InFlightMessage>,
    blocked_links: BTreeSet<(usize, usize)>,
    heal_at: u64,
    leaders_by_term: BTreeMap<u64, VoterId>,
    committed: BTreeMap<u64, (u64, ControlCommand)>,
    acked_index: u64,
    edit_versions: BTreeMap<String, u64>,
    claim_owners: BTreeMap<String, ClaimOwner>,
    next_edit: u64,
    next_folder: u32,
    /// End of fault injection; the rest of the run must show recovery.
    faults_end: u64,
}

/// Counts of a completed run.
#[derive(Debug, Default)]
pub struct ScheduleEnd {
    pub commits: u64,
    pub edits: usize,
    pub claims: usize,
    pub terms: usize,
}

fn member_address(position: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + position as u16))
}

/// Snapshots are frequent, and every second seed retains some of the entries that they cover.
fn config(seed: u64) -> ReplicaConfig {
    let retained_log_bytes = if seed.is_multiple_of(2) { 0 } else { 4_000 };
    ReplicaConfig { max_log_entries: 40, retained_log_bytes, ..ReplicaConfig::default() }
}

impl Schedule {
    pub fn new(seed: u64, rule: BrokenRule) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let id = |position: usize| VoterId {
            daemon: format!("entry-{position}").as_str().into(),
            folder_id: position as u32,
        };
        let mut membership = FleetMembership { fleet: FLEET_ID, ..FleetMembership::default() };
        membership.voters =
            (0..VOTERS).map(|position| (id(position), member_address(position))).collect();
        let snapshot =
            SnapshotRecord { at: LogPosition::default(), membership, state: Arc::from("") };
        let disk = VoterDisk { hard: HardState::default(), snapshot, entries: Vec::new() };
        let voters = (0..VOTERS)
            .map(|position| TestVoter {
                id: id(position),
                disk: disk.clone(),
                synced: disk.clone(),
                core: None,
                ledger: ControlLedger::default(),
                paused_until: 0,
                down_until: 0,
                speed: rng.random_range(0.95..1.05),
                version: 0,
            })
            .collect();
        let mut schedule = Schedule {
            rng,
            config: config(seed),
            rule,
            now: 1_000,
            voters,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            heal_at: 0,
            leaders_by_term: BTreeMap::new(),
            committed: BTreeMap::new(),
            acked_index: 0,
            edit_versions: BTreeMap::new(),
            claim_owners: BTreeMap::new(),
            next_edit: 1,
            next_folder: 100,
            faults_end: 0,
        };
        (0..VOTERS).for_each(|position| schedule.restart(position));
        schedule
    }

    /// Runs with faults for `seconds` and then without for 8 s; at the end the fleet must have
    /// recovered.
    pub fn run(mut self, seconds: u64) -> Result<ScheduleEnd, String> {
        self.faults_end = self.now + seconds * 1_000_000;
        let end = self.faults_end + 8_000_000;
        while self.now < end {
            self.now += STEP.as_micros() as u64;
            if self.now < self.faults_end {
                self.inject_fault();
            } else {
                self.blocked_links.clear();
            }
            self.deliver()?;
            self.tick_voters()?;
            self.drive_leaders()?;
            self.check()?;
        }
        let acked_index = self.acked_index;
        if acked_index == 0 {
            return Err("no command was committed".to_owned());
        }
        let leaders = self.voters.iter().filter(|voter| {
            voter.core.as_ref().is_some_and(|core| core.role() == ReplicaRole::Leader)
        });
        if leaders.count() != 1 {
            return Err("the fleet did not recover after the faults".to_owned());
        }
        Ok(ScheduleEnd {
            commits: self.acked_index,
            edits: self.edit_versions.len(),
            claims: self.claim_owners.len(),
            terms: self.leaders_by_term.len(),
        })
    }

    fn local_time(&self, position: usize) -> Moment {
        Moment((self.now as f64 * self.voters[position].speed) as u64)
    }

    fn is_awake(&self, position: usize) -> bool {
        let voter = &self.voters[position];
        voter.core.is_some() && voter.paused_until <= self.now
    }

    fn inject_fault(&mut self) {
        let draw: f64 = self.rng.random();
        let position = self.rng.random_range(0..VOTERS);
        let random_span =
            |rng: &mut ChaCha8Rng, max_micros: u64| rng.random_range(10_000..max_micros);
        match draw {
            draw if draw < 0.004 => {
                self.voters[position].core = None;
                self.voters[position].disk = self.voters[position].synced.clone();
                self.voters[position].down_until = self.now + random_span(&mut self.rng, 1_500_000);
            }
            draw if draw < 0.007 => {
                self.voters[position].paused_until =
                    self.now + random_span(&mut self.rng, 2_000_000)
            }
            draw if draw < 0.011 => {
                let other = self.rng.random_range(0..VOTERS);
                self.blocked_links.insert((position, other));
                // Some partitions cut one direction only, which the sender does not notice.
                if self.rng.random_bool(0.6) {
                    self.blocked_links.insert((other, position));
                }
                self.heal_at = self.now + random_span(&mut self.rng, 2_500_000);
            }
            draw if draw < 0.0125 => self.wipe(position),
            _ => {}
        }
        if self.now >= self.heal_at {
            self.blocked_links.clear();
        }
    }

    /// Wipes a disk. The voter rejoins under a new identity, unless that rule is broken. The next
    /// disk is wiped only after the repair is complete: if two of three were lost at once, no
    /// protocol could keep all data.
    fn wipe(&mut self, position: usize) {
        let ids: BTreeSet<VoterId> = self.voters.iter().map(|voter| voter.id.clone()).collect();
        let is_whole = |voter: &TestVoter| {
            let membership = voter.core.as_ref().map(ReplicaCore::membership);
            membership.is_some_and(|membership| {
                membership.voters.keys().cloned().collect::<BTreeSet<VoterId>>() == ids
            })
        };
        if !self.voters.iter().all(is_whole) {
            return;
        }
        let voter = &mut self.voters[position];
        if self.rule != BrokenRule::KeepWipedIdentity {
            voter.id = VoterId { daemon: voter.id.daemon.clone(), folder_id: self.next_folder };
            self.next_folder += 1;
        }
        let membership = match self.rule {
            BrokenRule::KeepWipedIdentity => voter.disk.snapshot.membership.clone(),
            _ => FleetMembership { fleet: FLEET_ID, ..FleetMembership::default() },
        };
        let snapshot =
            SnapshotRecord { at: LogPosition::default(), membership, state: Arc::from("") };
        voter.disk = VoterDisk { hard: HardState::default(), snapshot, entries: Vec::new() };
        voter.synced = voter.disk.clone();
        voter.core = None;
        voter.version = 0;
        voter.down_until = self.now + 50_000;
    }

    fn restart(&mut self, position: usize) {
        let now = self.local_time(position);
        let voter = &mut self.voters[position];
        let disk = voter.disk.clone();
        voter.ledger =
            ControlLedger::from_json(&disk.snapshot.state).expect("ledger JSON is valid");
        let start = InitialState {
            id: voter.id.clone(),
            hard_state: disk.hard,
            snapshot: disk.snapshot,
            entries: disk.entries,
            commit_index: 0,
        };
        voter.core = Some(ReplicaCore::new(self.config, start, now, &mut self.rng));
    }

    fn deliver(&mut self) -> Result<(), String> {
        let due: Vec<InFlightMessage> = {
            let (due, later) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|message| message.at <= self.now);
            self.in_flight = later;
            due
        };
        for message in due {
            let to = self.voters.iter().position(|voter| voter.id == message.envelope.to);
            let Some(position) = to.filter(|position| self.voters[*position].core.is_some()) else {
                continue;
            };
            if !self.is_awake(position) {
                // A paused process receives the message when it resumes.
                self.in_flight.push(InFlightMessage {
                    at: self.voters[position].paused_until + 1,
                    envelope: message.envelope,
                });
                continue;
            }
            let now = self.local_time(position);
            let Some(core) = &mut self.voters[position].core else { continue };
            let output = core.receive(message.envelope, now, &mut self.rng);
            self.apply_output(position, output)?;
        }
        Ok(())
    }

    fn tick_voters(&mut self) -> Result<(), String> {
        for position in 0..VOTERS {
            if self.voters[position].core.is_none() && self.voters[position].down_until <= self.now
            {
                self.restart(position);
            }
            if !self.is_awake(position) {
                continue;
            }
            let now = self.local_time(position);
            let Some(core) = &mut self.voters[position].core else { continue };
            let output = core.tick(now, &mut self.rng);
            self.apply_output(position, output)?;
        }
        Ok(())
    }

    fn apply_output(
        &mut self,
        position: usize,
        output: ReplicaOutput<ControlCommand>,
    ) -> Result<(), String> {
        let is_synced = self.rule != BrokenRule::SkipSync || self.rng.random_bool(0.05);
        let voter = &mut self.voters[position];
        if output.must_sync() {
            if let Some(hard) = &output.hard_state {
                voter.disk.hard = hard.clone();
            }
            if let Some(snapshot) = &output.install_snapshot {
                voter.disk.snapshot = snapshot.clone();
                voter.disk.entries.clear();
            }
            if let Some(index) = output.truncate_from {
                voter.disk.entries.retain(|entry| entry.at.index < index);
            }
            voter.disk.entries.extend(output.entries.iter().cloned());
            let base = voter.disk.snapshot.at.index;
            voter.disk.entries.retain(|entry| entry.at.index > base);
        }
        if is_synced && output.must_sync() {
            voter.synced = voter.disk.clone();
        }
        if let Some(snapshot) = &output.install_snapshot {
            voter.ledger =
                ControlLedger::from_json(&snapshot.state).map_err(|error| error.to_string())?;
        }
        for envelope in output.messages {
            self.send(position, envelope);
        }
        for entry in output.committed {
            self.apply(position, entry)?;
        }
        self.compact(position);
        Ok(())
    }

    fn send(&mut self, from: usize, envelope: ReplicaEnvelope<ControlCommand>) {
        let to = self.voters.iter().position(|voter| voter.id == envelope.to);
        let Some(to) = to else { return };
        let has_faults = self.now < self.faults_end;
        let is_lost =
            self.blocked_links.contains(&(from, to)) || (has_faults && self.rng.random_bool(0.02));
        if is_lost {
            return;
        }
        let max_delay_micros = if has_faults { 30_000 } else { 3_000 };
        let copies = if has_faults && self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(500..max_delay_micros);
            self.in_flight.push(InFlightMessage { at, envelope: envelope.clone() });
        }
    }

    fn apply(&mut self, position: usize, entry: LogEntry<ControlCommand>) -> Result<(), String> {
        let EntryPayload::Command(command) = entry.payload else { return Ok(()) };
        let index = entry.at.index;
        match self.committed.get(&index) {
            None => drop(self.committed.insert(index, (entry.at.term, command.clone()))),
            Some((term, known)) if *term == entry.at.term && *known == command => {}
            Some(known) => {
                return Err(format!("entry {index} changed from {known:?} to {command:?}"));
            }
        }
        let is_first = index > self.acked_index;
        let reply = self.voters[position].ledger.apply(&command);
        if is_first {
            self.acked_index = index;
            self.check_reply(&command, &reply)?;
        }
        Ok(())
    }

    /// Checks that an outcome that was reported to an operator or a caller never changes.
    fn check_reply(
        &mut self,
        command: &ControlCommand,
        reply: &ControlReply,
    ) -> Result<(), String> {
        match (command, reply) {
            (ControlCommand::Edit(edit), ControlReply::Edit(outcome)) => {
                let EditOutcome::Accepted(record) = outcome.as_ref() else { return Ok(()) };
                // Keyed by operator, not by edit id: a forgotten id must not hide a second
                // application.
                let key = edit.operator.clone();
                match self.edit_versions.insert(key, record.version) {
                    Some(version) if version != record.version => {
                        return Err(format!(
                            "edit {} was applied as version {version} and {}",
                            edit.operator, record.version
                        ));
                    }
                    _ => {}
                }
            }
            (
                ControlCommand::Claim(ClaimCommand::Acquire { key, owner, .. }),
                ControlReply::Claim(ClaimReply::Granted),
            ) => match self.claim_owners.insert(key.to_string(), owner.clone()) {
                Some(known) if known != *owner => {
                    return Err(format!("claim {key} granted to {known:?} and {owner:?}"));
                }
                _ => {}
            },
            _ => {}
        }
        Ok(())
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
        voter.synced = voter.disk.clone();
    }

    /// Sends commands to every replica that believes it is the leader, and lets it change the
    /// voters.
    fn drive_leaders(&mut self) -> Result<(), String> {
        for position in 0..VOTERS {
            if !self.is_awake(position) {
                continue;
            }
            let now = self.local_time(position);
            let is_leader = self.voters[position]
                .core
                .as_ref()
                .is_some_and(|core| core.role() == ReplicaRole::Leader);
            if !is_leader {
                continue;
            }
            if self.rng.random_bool(0.08) {
                let commands = self.random_commands(position);
                let Some(core) = &mut self.voters[position].core else { continue };
                if let Ok((_, output)) = core.propose(commands, now) {
                    self.apply_output(position, output)?;
                }
            }
            if let Some(membership) = self.next_membership(position) {
                let Some(core) = &mut self.voters[position].core else { continue };
                if let Ok(output) = core.change_membership(membership, now) {
                    self.apply_output(position, output)?;
                }
            }
        }
        Ok(())
    }

    fn random_commands(&mut self, position: usize) -> Vec<ControlCommand> {
        let count = self.rng.random_range(1..4);
        (0..count)
            .map(|_| {
                if self.rng.random_bool(0.5) {
                    self.random_edit(position)
                } else {
                    self.random_claim()
                }
            })
            .collect()
    }

    /// Returns a new edit or resends an earlier one; its base version is often out of date.
    fn random_edit(&mut self, position: usize) -> ControlCommand {
        let number = if self.rng.random_bool(0.4) {
            self.rng.random_range(1..=self.next_edit)
        } else {
            self.next_edit
        };
        self.next_edit = self.next_edit.max(number + 1);
        let base = self.voters[position].ledger.table().clone();
        let tier = TierRow { tier: "only".into(), rank: 0, weight: number as u32 };
        let edit_id = match self.rule {
            BrokenRule::ForgetEditIds => format!("edit-{number}-{}", self.now),
            _ => format!("edit-{number}"),
        };
        ControlCommand::Edit(Box::new(TableEdit {
            edit_id,
            operator: format!("operator-{number}"),
            at: self.now,
            base_version: base.version,
            base_hash: base.hash,
            table: OperatorTable { tiers: vec![tier], ..OperatorTable::default() },
        }))
    }

    /// Returns a request to acquire a claim, possibly repeated for another owner, or to settle one.
    fn random_claim(&mut self) -> ControlCommand {
        let number = self.rng.random_range(1..200);
        let key = ClaimKey { organisation: "org".into(), key: format!("key-{number}") };
        let owner = ClaimOwner {
            daemon: "entry-0".into(),
            boot: 1,
            request: format!("request-{}", self.rng.random_range(0..6)),
        };
        let command = match self.rng.random_bool(0.8) {
            true => ClaimCommand::Acquire {
                key,
                digest: "same".to_owned(),
                owner,
                timestamp_ms: self.now / 1_000,
                ttl_ms: 3_600_000,
            },
            false => ClaimCommand::Settle { key, owner, outcome: ClaimOutcome::Unknown },
        };
        ControlCommand::Claim(command)
    }

    /// Returns the leader's next membership change, chosen as the control loop does.
    fn next_membership(&self, position: usize) -> Option<FleetMembership> {
        let core = self.voters[position].core.as_ref()?;
        let membership = core.membership();
        let newcomer = self
            .voters
            .iter()
            .enumerate()
            .find(|(_, voter)| voter.core.is_some() && membership.address(&voter.id).is_none());
        if let Some((other, voter)) = newcomer {
            return Some(membership.with_learner(voter.id.clone(), member_address(other)));
        }
        let is_caught_up = |id: &&VoterId| {
            core.match_index(id)
                .is_some_and(|matched| matched > 0 && matched + 64 >= core.commit_index())
        };
        let learner = membership.learners.keys().find(is_caught_up)?;
        match membership.voters.keys().find(|id| id.daemon == learner.daemon) {
            Some(old) if membership.voters.len() > 1 => Some(membership.without_member(old)),
            _ => Some(membership.with_voter(learner)),
        }
    }

    fn check(&mut self) -> Result<(), String> {
        for position in 0..VOTERS {
            let now = self.local_time(position);
            let is_awake = self.is_awake(position);
            let voter = &mut self.voters[position];
            let Some(core) = &voter.core else { continue };
            if core.role() == ReplicaRole::Leader {
                match self.leaders_by_term.insert(core.term(), voter.id.clone()) {
                    Some(known) if known != voter.id => {
                        return Err(format!(
                            "term {} has leaders {known} and {}",
                            core.term(),
                            voter.id
                        ));
                    }
                    _ => {}
                }
            }
            let is_lease_holder = match self.rule {
                BrokenRule::SkipLeaseCheck => core.role() == ReplicaRole::Leader,
                _ => core.has_lease(now),
            };
            if is_awake && is_lease_holder && core.applied_index() < self.acked_index {
                return Err(format!(
                    "{} holds the lease at entry {} of {}",
                    voter.id,
                    core.applied_index(),
                    self.acked_index
                ));
            }
            let version = voter.ledger.table().version;
            if version < voter.version && core.applied_index() >= self.acked_index {
                return Err(format!(
                    "{} went back from table version {} to {version}",
                    voter.id, voter.version
                ));
            }
            voter.version = voter.version.max(version);
        }
        Ok(())
    }
}
