//! The leader's list of daemons that serve callers, and what changed since earlier lists.
//!
//! With n daemons the whole list takes n addresses, and each daemon that starts or stops changes it
//! for all: sending it whole costs the square of n addresses for each change. The leader therefore
//! keeps its recent lists and sends a daemon what differs from the one that it knows.

use super::fleet::{FleetRegistry, ServingChange, ServingList};
use crate::policy::Moment;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which the list is built anew from the reports. Below the time for which a report is
/// held, so that no daemon hears of a change later for it than by one such interval.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of recent lists that are kept. A daemon hears of each change within half a second, in
/// which at most this many lists can be built.
const MAX_RECENT_LISTS: usize = 16;

/// The update of a daemon's list.
#[derive(Clone, Debug, PartialEq)]
pub enum ServingUpdate {
    /// The daemon knows the present list.
    Known,
    /// What differs from the list that the daemon knows.
    Change(ServingChange),
    /// The whole list.
    Whole(ServingList),
}

/// The present list and the most recent ones, the present one last.
#[derive(Debug, Default)]
pub struct ServingHistory {
    lists: VecDeque<(u64, ServingList)>,
    refreshed_at: Option<Moment>,
}

impl ServingHistory {
    /// Builds the list anew if that is due.
    pub fn refresh(&mut self, registry: &FleetRegistry, now: Moment) {
        if self.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        let list = registry.serving_list(now);
        if self.lists.back().is_some_and(|(_, known)| *known == list) {
            return;
        }
        self.lists.push_back((list.digest(), list));
        if self.lists.len() > MAX_RECENT_LISTS {
            self.lists.pop_front();
        }
    }

    /// Forgets all lists, when the leader changes.
    pub fn clear(&mut self) {
        *self = ServingHistory::default();
    }

    /// Returns the update for a daemon that knows the list with digest `known`, and that can apply
    /// changes if `takes_changes`.
    pub fn update_for(&self, known: u64, takes_changes: bool) -> ServingUpdate {
        let Some((digest, list)) = self.lists.back() else { return ServingUpdate::Known };
        if *digest == known {
            return ServingUpdate::Known;
        }
        let base = self.lists.iter().rev().find(|(digest, _)| *digest == known);
        match base.filter(|_| takes_changes) {
            Some((_, base)) => ServingUpdate::Change(ServingChange {
                base: known,
                digest: *digest,
                added: missing_in(base, list),
                removed: missing_in(list, base),
            }),
            None => ServingUpdate::Whole(list.clone()),
        }
    }
}

/// Returns the addresses of `list` that `other` does not have.
fn missing_in(other: &ServingList, list: &ServingList) -> Vec<SocketAddr> {
    let is_missing = |address: &&SocketAddr| other.addresses.binary_search(address).is_err();
    list.addresses.iter().filter(is_missing).copied().collect()
}
