//! Quarantined contents: reported by daemons that saw upstreams end, sent to daemons that start,
//! and released by operators.

use super::ControlLoop;
use crate::control::ledger::ControlCommand;
use crate::control::quarantine_log::QuarantineRow;
use crate::control::rpc::LeaderAnswer;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::quarantine::{RequestFingerprint, SuspectRow};
use slog::info;
use std::time::Duration;

/// Time within which the same content with the same number of crashes is proposed only once,
/// however many daemons report it.
const PROPOSAL_REPEAT_DELAY: Duration = Duration::from_secs(2);
/// Time for which a release is included in all orders, so that every reporting daemon receives it
/// and tells the others.
const RELEASE_SEND_PERIOD: Duration = Duration::from_secs(10);

impl ControlLoop {
    /// Proposes what the reports add to the ledger: further crashes, or that a content was cleared.
    pub(super) fn on_suspects(&mut self, rows: Vec<SuspectRow>) {
        let now = self.now();
        self.recent_suspects.expire(PROPOSAL_REPEAT_DELAY, now);
        let new_rows: Vec<SuspectRow> = rows
            .into_iter()
            .filter(|row| self.ledger.quarantine().is_news(row))
            .filter(|row| self.recent_suspects.insert(row.request, row.crashes.len(), now))
            .collect();
        if !new_rows.is_empty() {
            let command = ControlCommand::Quarantine { rows: new_rows, at: unix_millis() };
            self.proposals.push((vec![command], EntryWaiter::NoReply));
        }
    }

    pub(super) fn on_release(
        &mut self,
        request: RequestFingerprint,
        reply: LeaderReplySender<Vec<QuarantineRow>>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
        }
        info!(self.setup.log, "request released by an operator"; "fingerprint" => request.to_string());
        self.recent_releases.insert(request, 0, self.now());
        let command = ControlCommand::Release { request, at: unix_millis() };
        self.proposals.push((vec![command], EntryWaiter::Quarantine { reply }));
    }

    pub(super) fn quarantine_rows(&self) -> Vec<QuarantineRow> {
        self.ledger.quarantine().held(unix_millis())
    }

    /// Records of recently released contents, for all daemons.
    pub(super) fn released_rows(&mut self) -> Vec<SuspectRow> {
        self.recent_releases.expire(RELEASE_SEND_PERIOD, self.setup.clock.now());
        let log = self.ledger.quarantine();
        let now = unix_millis();
        self.recent_releases.iter().flat_map(|request| log.rows(Some(request), now)).collect()
    }
}
