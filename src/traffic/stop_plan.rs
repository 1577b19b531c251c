//! The time that a stopping daemon has left for its answers.
//!
//! After the signal to stop, the platform waits for a grace time and then kills the process, which
//! cuts every answer that has not ended. So requests that would not end in time are refused before
//! they are sent, and those without an answer get one before the process is killed.

use crate::clock::MonotonicClock;
use crate::policy::Moment;
use std::time::Duration;
use tokio::sync::watch;

/// Part of the grace time that is kept for writing the last answers.
const WRITE_RATIO: f64 = 1.0 / 16.0;

/// When the answers of a stopping daemon must have begun, and when its connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Requests without an answer are refused then.
    pub answers_until: Moment,
    /// Connections without an answer in progress are closed then.
    pub connections_until: Moment,
}

/// The times of the daemon's stop, once it has begun.
#[derive(Debug)]
pub struct StopPlan {
    times: watch::Sender<Option<StopTimes>>,
}

impl Default for StopPlan {
    fn default() -> Self {
        StopPlan { times: watch::Sender::new(None) }
    }
}

impl StopPlan {
    /// Begins the stop at `now`; the process is killed after `grace`. Further calls have no effect.
    pub fn begin(&self, grace: Duration, now: Moment) {
        let times = StopTimes {
            answers_until: now + grace.mul_f64(1.0 - WRITE_RATIO),
            connections_until: now + grace.mul_f64(1.0 - WRITE_RATIO / 2.0),
        };
        self.times.send_if_modified(|known| {
            let is_first = known.is_none();
            known.get_or_insert(times);
            is_first
        });
    }

    /// The times of the stop; `None` unless it has begun.
    pub fn times(&self) -> Option<StopTimes> {
        *self.times.borrow()
    }

    /// Returns a receiver that is notified when the stop begins.
    pub fn subscribe(&self) -> watch::Receiver<Option<StopTimes>> {
        self.times.subscribe()
    }

    /// Completes when requests without an answer are to be refused.
    pub async fn answers_due(&self, clock: MonotonicClock) {
        let times = self.begun().await;
        tokio::time::sleep(times.answers_until.since(clock.now())).await;
    }

    /// Completes when connections are to be closed.
    pub async fn connections_due(&self, clock: MonotonicClock) {
        let times = self.begun().await;
        tokio::time::sleep(times.connections_until.since(clock.now())).await;
    }

    async fn begun(&self) -> StopTimes {
        let mut changes = self.subscribe();
        let begun = changes.wait_for(Option::is_some).await.ok().and_then(|times| *times);
        match begun {
            Some(times) => times,
            None => std::future::pending().await,
        }
    }
}
