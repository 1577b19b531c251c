//! Contents that are held back: reported by daemons that saw upstreams end, given to daemons that start, released by operators.

use super::ControlLoop;
use crate::control::ledger::ControlCommand;
use crate::control::quarantine_log::QuarantineRow;
use crate::control::rpc::LeaderAnswer;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::quarantine::{RequestFingerprint, SuspectRow};
use slog::info;
use std::time::Duration;

/// A content with so many ends is proposed once in this time, however many daemons report it.
const PROPOSED_FOR: Duration = Duration::from_secs(2);
/// A release goes with all orders for this long: every daemon that reports hears of it, and tells the others.
const RELEASED_FOR: Duration = Duration::from_secs(10);

impl ControlLoop {
    /// Proposes what a report says beyond what is kept.
    pub(super) fn take_suspects(&mut self, rows: Vec<SuspectRow>) {
        let now = self.now();
        self.proposed_suspects.expire(PROPOSED_FOR, now);
        let news: Vec<SuspectRow> = rows
            .into_iter()
            .filter(|row| self.ledger.quarantine().is_news(row))
            .filter(|row| self.proposed_suspects.insert(row.request, row.crashes.len(), now))
            .collect();
        if !news.is_empty() {
            let command = ControlCommand::Quarantine { rows: news, at: unix_millis() };
            self.proposals.push((vec![command], EntryWaiter::NoReply));
        }
    }

    pub(super) fn take_release(
        &mut self,
        request: RequestFingerprint,
        reply: LeaderReplySender<Vec<QuarantineRow>>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        info!(self.setup.log, "request released by an operator"; "fingerprint" => request.to_string());
        self.released.insert(request, 0, self.now());
        let command = ControlCommand::Release { request, at: unix_millis() };
        self.proposals.push((vec![command], EntryWaiter::Quarantine { reply }));
    }

    pub(super) fn quarantine_rows(&self) -> Vec<QuarantineRow> {
        self.ledger.quarantine().held(unix_millis())
    }

    /// What was released a moment ago, for all daemons.
    pub(super) fn released_rows(&mut self) -> Vec<SuspectRow> {
        self.released.expire(RELEASED_FOR, self.setup.clock.now());
        let log = self.ledger.quarantine();
        let now = unix_millis();
        self.released.iter().flat_map(|request| log.rows(Some(request), now)).collect()
    }
}
