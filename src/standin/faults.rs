//! Fault injection for the stand-ins: a queue of faults, one per request.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A fault injected into one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandinFault {
    /// No fault.
    None,
    /// The connection is reset after this many events.
    Truncated(u64),
    /// Nothing is sent after this many events; the connection stays open and the job goes on.
    Silent(u64),
    /// The response carries the id of another request.
    Crossed,
    /// The response head is delayed by this time.
    Delayed(Duration),
    /// Every event is sent twice.
    Duplicated,
    /// The connection is reset before any of the body, and an engine cancels the job.
    Reset,
}

/// Queue of faults for the next requests.
#[derive(Debug, Default)]
pub struct FaultPlan(Mutex<VecDeque<StandinFault>>);

impl FaultPlan {
    /// Queues a fault for the next request that has none assigned.
    pub fn push(&self, fault: StandinFault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(fault);
    }

    /// Removes and returns the fault for the current request.
    pub fn next(&self) -> StandinFault {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
            .unwrap_or(StandinFault::None)
    }
}
