//! Edits, numbered tables, claims and reads: requests that only the leader may answer.

use super::ControlLoop;
use crate::claim::{ClaimCommand, ClaimReply};
use crate::control::ledger::{
    ControlCommand, ControlReply, EditOutcome, NumberedOutcome, NumberedTable, TableEdit,
};
use crate::control::rpc::{ApplyAnswer, EditProgress, LeaderAnswer};
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, InForceWaiter, LeaderReplySender};
use crate::policy::Moment;
use crate::replica::LogPosition;
use slog::info;
use std::time::Duration;

/// Maximum time that an operator's `--wait` lasts.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(10);

impl ControlLoop {
    pub(super) fn on_edit(
        &mut self,
        edit: Box<TableEdit>,
        wait: bool,
        reply: LeaderReplySender<ApplyAnswer>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
        }
        let mut edit = edit;
        edit.at = unix_millis();
        let command = ControlCommand::Edit(edit);
        self.proposals.push((vec![command], EntryWaiter::Edit { wait, reply }));
    }

    pub(super) fn on_numbered(
        &mut self,
        numbered: Box<NumberedTable>,
        reply: LeaderReplySender<NumberedOutcome>,
    ) {
        if !self.holds_lease() {
            self.log_undecided(numbered.version);
            return drop(reply.send(LeaderAnswer::Elsewhere(self.operators_leader())));
        }
        if let Some(outcome) = self.ledger.outcome_of(&numbered) {
            return drop(reply.send(LeaderAnswer::Done(outcome)));
        }
        let reply = match self.add_waiter(&numbered, reply) {
            Some(reply) => reply,
            None => return,
        };
        info!(self.setup.log, "numbered table proposed"; "version" => numbered.version,
            "held" => self.ledger.table().version, "bytes" => numbered.document.len());
        let waiter = EntryWaiter::Replace { numbered: numbered.clone(), replies: vec![reply] };
        self.proposals.push((vec![ControlCommand::Replace(numbered)], waiter));
    }

    /// Lets a caller wait for the entry of the same table, if one is under way; returns the caller
    /// otherwise.
    fn add_waiter(
        &mut self,
        numbered: &NumberedTable,
        reply: LeaderReplySender<NumberedOutcome>,
    ) -> Option<LeaderReplySender<NumberedOutcome>> {
        let proposed = self.proposals.iter_mut().map(|(_, waiter)| waiter);
        let logged = self.waiting.entries.iter_mut().map(|(_, _, waiter)| waiter);
        let replies = proposed.chain(logged).find_map(|waiter| match waiter {
            EntryWaiter::Replace { numbered: known, replies } if **known == *numbered => {
                Some(replies)
            }
            _ => None,
        });
        let Some(replies) = replies else { return Some(reply) };
        replies.retain(|waiting| !waiting.is_closed());
        replies.push(reply);
        None
    }

    /// Logs an order that this daemon cannot decide, with the leader that it knows.
    fn log_undecided(&self, version: u64) {
        let core = self.core.as_ref();
        let heard = core.and_then(|core| core.leader().and(core.leader_heard()));
        info!(self.setup.log, "numbered table not decided here"; "version" => version,
            "leader" => self.leader_address().map_or_else(String::new, |leader| leader.to_string()),
            "leader_silent_ms" => heard.map(|heard| self.now().since(heard).as_millis() as u64));
    }

    pub(super) fn on_claims(
        &mut self,
        commands: Vec<ClaimCommand>,
        reply: LeaderReplySender<Vec<ClaimReply>>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
        }
        let stamp = unix_millis();
        let mut commands = commands;
        for command in &mut commands {
            if let ClaimCommand::Acquire { timestamp_ms, .. } = command {
                *timestamp_ms = stamp;
            }
        }
        let entries_left = commands.len();
        if entries_left == 0 {
            return drop(reply.send(LeaderAnswer::Done(Vec::new())));
        }
        let commands = commands.into_iter().map(ControlCommand::Claim).collect();
        self.proposals
            .push((commands, EntryWaiter::Claims { replies: Vec::new(), entries_left, reply }));
    }

    /// Answers a read. Reads require the lease, so that no answer is older than one given before.
    pub(super) fn answer_read<T>(&mut self, value: T, reply: LeaderReplySender<T>) {
        let answer = if self.holds_lease() {
            LeaderAnswer::Done(value)
        } else {
            LeaderAnswer::Elsewhere(self.operators_leader())
        };
        let _ = reply.send(answer);
    }

    /// Passes an applied entry's reply to its waiter. A waiter of another term lost its entry to a
    /// new leader and is told to ask again.
    pub(super) fn answer_entry(&mut self, at: LogPosition, reply: ControlReply) {
        while let Some((index, term, _)) = self.waiting.entries.front() {
            if *index < at.index || (*index == at.index && *term != at.term) {
                if let Some((_, _, waiter)) = self.waiting.entries.pop_front() {
                    waiter.redirect(None);
                }
                continue;
            }
            break;
        }
        if let Some((index, _, EntryWaiter::Claims { replies, entries_left, .. })) =
            self.waiting.entries.front_mut()
            && *index - (*entries_left as u64) < at.index
            && let ControlReply::Claim(claim) = &reply
        {
            replies.push(claim.clone());
            *entries_left -= 1;
        }
        if self.waiting.entries.front().is_some_and(|(index, _, _)| *index == at.index)
            && let Some((_, _, waiter)) = self.waiting.entries.pop_front()
        {
            self.answer_waiter(waiter, reply);
        }
    }

    pub(super) fn answer_waiter(&mut self, waiter: EntryWaiter, reply: ControlReply) {
        match (waiter, reply) {
            (EntryWaiter::Edit { wait, reply, .. }, ControlReply::Edit(outcome)) => {
                self.answer_edit(*outcome, wait, reply)
            }
            (EntryWaiter::Replace { replies, .. }, ControlReply::Replace(outcome)) => {
                for reply in replies {
                    let _ = reply.send(LeaderAnswer::Done(outcome));
                }
            }
            (EntryWaiter::Claims { mut replies, reply, .. }, _) => {
                self.mark_dead_owners(&mut replies);
                let _ = reply.send(LeaderAnswer::Done(replies));
            }
            (EntryWaiter::Rollout { reply, .. }, ControlReply::Rollout(answer)) => {
                let _ = reply.send(LeaderAnswer::Done(*answer));
            }
            (EntryWaiter::Evacuation { reply, .. }, ControlReply::Evacuation(record)) => {
                let _ = reply.send(LeaderAnswer::Done(record));
            }
            (EntryWaiter::Quarantine { reply }, _) => {
                let _ = reply.send(LeaderAnswer::Done(self.quarantine_rows()));
            }
            (EntryWaiter::Voters { reply }, _) => {
                let _ = reply.send(LeaderAnswer::Done(self.voter_rows()));
            }
            _ => {}
        }
    }

    /// Marks claims of dead owners as unknown: they will never be settled, and their requests may
    /// have been executed.
    pub(super) fn mark_dead_owners(&self, replies: &mut [ClaimReply]) {
        let now = self.now();
        let Some(registry) = &self.registry else { return };
        for reply in replies {
            if let ClaimReply::Running(owner) = reply
                && !registry.is_boot_live(&owner.daemon, owner.boot, now)
            {
                *reply = ClaimReply::Unknown;
            }
        }
    }

    pub(super) fn answer_edit(
        &mut self,
        outcome: EditOutcome,
        wait: bool,
        reply: LeaderReplySender<ApplyAnswer>,
    ) {
        let progress = EditProgress { is_in_force: false, lagging: Vec::new() };
        let answer = ApplyAnswer { outcome, progress };
        match &answer.outcome {
            EditOutcome::Accepted(record) => {
                let until = if wait { self.now() + MAX_IN_FORCE_WAIT } else { Moment(0) };
                self.waiting.in_force.push(InForceWaiter {
                    version: record.version,
                    until,
                    answer,
                    reply,
                });
            }
            EditOutcome::Conflict(_) => {
                let _ = reply.send(LeaderAnswer::Done(answer));
            }
        }
    }
}
