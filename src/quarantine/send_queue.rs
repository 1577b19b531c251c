//! Queue of the rows to send in the next messages.

use super::RequestFingerprint;
use super::suspect_update::MAX_ROWS;
use std::collections::{BTreeMap, HashMap};

/// Number of messages that carry each row, since messages are sometimes lost.
const ROW_SENDS: u8 = 4;

/// Position of a row in the queue: rows with more crashes first, then in order of arrival.
type QueuePosition = (std::cmp::Reverse<usize>, u64);

/// Rows waiting to be sent, by the fingerprints of their contents.
#[derive(Clone, Debug, Default)]
pub struct SendQueue {
    positions: HashMap<RequestFingerprint, (QueuePosition, u8)>,
    order: BTreeMap<QueuePosition, RequestFingerprint>,
    next_sequence: u64,
}

impl SendQueue {
    /// Queues a row that has changed or is to be sent again; `crashes` determines its priority.
    pub fn push(&mut self, request: RequestFingerprint, crashes: usize) {
        self.insert_row(request, crashes, ROW_SENDS);
    }

    fn insert_row(&mut self, request: RequestFingerprint, crashes: usize, sends_left: u8) {
        self.remove(request);
        self.next_sequence += 1;
        let position = (std::cmp::Reverse(crashes), self.next_sequence);
        self.positions.insert(request, (position, sends_left));
        self.order.insert(position, request);
    }

    /// Removes a row whose record no longer exists.
    pub fn remove(&mut self, request: RequestFingerprint) {
        if let Some((position, _)) = self.positions.remove(&request) {
            self.order.remove(&position);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the rows for the next message.
    pub fn next_rows(&mut self) -> Vec<RequestFingerprint> {
        let chosen: Vec<RequestFingerprint> = self.order.values().take(MAX_ROWS).copied().collect();
        for request in &chosen {
            let Some(((crashes, _), sends_left)) = self.positions.get(request).copied() else {
                continue;
            };
            match sends_left {
                0 | 1 => self.remove(*request),
                _ => self.insert_row(*request, crashes.0, sends_left - 1),
            }
        }
        chosen
    }
}
