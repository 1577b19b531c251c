//! Queue of the rows to send in the next messages.

use super::RequestFingerprint;
use super::suspect_news::MOST_ROWS;
use std::collections::{BTreeMap, HashMap};

/// Number of messages that carry each row, since messages are sometimes lost.
const TOLD_TIMES: u8 = 4;

/// Position of a row in the queue: rows with more crashes first, then in order of arrival.
type QueuePlace = (std::cmp::Reverse<usize>, u64);

/// Rows waiting to be sent, by the fingerprints of their contents.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    places: HashMap<RequestFingerprint, (QueuePlace, u8)>,
    order: BTreeMap<QueuePlace, RequestFingerprint>,
    next: u64,
}

impl NewsQueue {
    /// Queues a row that has changed or is to be sent again; `crashes` determines its priority.
    pub fn push(&mut self, request: RequestFingerprint, crashes: usize) {
        self.put(request, crashes, TOLD_TIMES);
    }

    fn put(&mut self, request: RequestFingerprint, crashes: usize, times: u8) {
        self.remove(request);
        self.next += 1;
        let place = (std::cmp::Reverse(crashes), self.next);
        self.places.insert(request, (place, times));
        self.order.insert(place, request);
    }

    /// Removes a row whose record no longer exists.
    pub fn remove(&mut self, request: RequestFingerprint) {
        if let Some((place, _)) = self.places.remove(&request) {
            self.order.remove(&place);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the rows for the next message.
    pub fn next_rows(&mut self) -> Vec<RequestFingerprint> {
        let chosen: Vec<RequestFingerprint> =
            self.order.values().take(MOST_ROWS).copied().collect();
        for request in &chosen {
            let Some(((crashes, _), times)) = self.places.get(request).copied() else { continue };
            match times {
                0 | 1 => self.remove(*request),
                _ => self.put(*request, crashes.0, times - 1),
            }
        }
        chosen
    }
}
