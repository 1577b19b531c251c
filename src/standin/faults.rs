//! Fault injection for the stand-ins: a queue of faults, one per request.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A fault injected into one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandinFault {
    /// No fault.
    None,
    /// The connection is reset after this many events.
    Truncated(u64),
    /// The connection is reset this long after this many events.
    TruncatedLate(u64, Duration),
    /// Nothing is sent after this many events; the connection stays open and the job goes on.
    Silent(u64),
    /// Nothing is sent after this many events for this time; the job goes on, and then the rest of
    /// the answer is sent. A whole answer pauses in its middle.
    Paused(u64, Duration),
    /// The response has this status and no answer.
    Refused(u16),
    /// The response carries the id of another request.
    Crossed,
    /// The response head is delayed by this time.
    Delayed(Duration),
    /// Every event is sent twice.
    Duplicated,
    /// The connection is reset before any of the body, and an engine cancels the job.
    Reset,
}

/// Queue of faults for the next requests, and the fault of those that have none assigned.
#[derive(Debug, Default)]
pub struct FaultPlan(Mutex<PlannedFaults>);

#[derive(Debug, Default)]
struct PlannedFaults {
    queue: VecDeque<StandinFault>,
    repeated: Option<StandinFault>,
}

impl FaultPlan {
    fn lock(&self) -> MutexGuard<'_, PlannedFaults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a fault for the next request that has none assigned.
    pub fn push(&self, fault: StandinFault) {
        self.lock().queue.push_back(fault);
    }

    /// Sets the fault of all requests that have none assigned.
    pub fn repeat(&self, fault: StandinFault) {
        self.lock().repeated = Some(fault);
    }

    /// Removes and returns the fault for the current request.
    pub fn next(&self) -> StandinFault {
        let mut faults = self.lock();
        faults.queue.pop_front().or(faults.repeated).unwrap_or(StandinFault::None)
    }
}
