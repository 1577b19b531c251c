//! Faults that a stand-in shows on order, one for each of the next requests.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandinFault {
    /// Nothing.
    None,
    /// The connection ends after this many pieces.
    Truncated(u64),
    /// The connection falls silent for good after this many pieces; the work goes on.
    Silent(u64),
    /// The answer carries another request's id.
    Crossed,
    /// The answer's head comes this much later.
    Late(Duration),
    /// Every piece is sent twice.
    Doubled,
    /// The connection ends without a head, and the work is forgotten.
    Died,
}

/// Faults in waiting.
#[derive(Debug, Default)]
pub struct FaultPlan(Mutex<VecDeque<StandinFault>>);

impl FaultPlan {
    /// The next request without an ordered fault shows this one.
    pub fn order(&self, fault: StandinFault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(fault);
    }

    /// The fault for the request that has just come.
    pub fn next(&self) -> StandinFault {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
            .unwrap_or(StandinFault::None)
    }
}
