//! Faults of the simulated engines, drawn from the seeded generator.

use clap::ValueEnum;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicU64, Ordering};

/// A fault of an engine's answer or connection. Unless stated otherwise, the request is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FaultKind {
    /// 503 or 429 with the header that states that the request was not executed, which is true.
    Refusal,
    /// The connection closes before the answer.
    LostAnswer,
    /// The connection closes in the middle of the answer.
    TruncatedAnswer,
    /// An answer under another id follows at once.
    ExtraAnswer,
    /// A second copy of the answer, which may also be a refusal or a failure, is written when the
    /// next request has been read.
    LateAnswer,
    /// The execution fails, with a status of the engine's own.
    FailedRun,
    /// A refusal is written before the body is read; not executed.
    EarlyRefusal,
    /// A failure is written before the body is read.
    EarlyFailure,
    /// The connection is reset between head and body; not executed.
    ResetBeforeBody,
    /// The connection is reset in the middle of the body; not executed.
    ResetInBody,
    /// The connection is reset during the execution.
    ResetInRun,
    /// A second copy of a reservation's reply follows at once.
    DoubledReservation,
    /// A second copy of a reservation's reply is written when the next request has been read.
    LateReservation,
    /// The stream pauses and is whole otherwise.
    Pause,
    /// 408 or 503 on an idle connection, which is then closed or kept.
    IdleNotice,
    /// The same at the moment when the next request has been read.
    LateNotice,
}

/// What a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPlace {
    Request,
    Reservation,
    IdleConnection,
}

impl FaultKind {
    fn place(self) -> FaultPlace {
        match self {
            FaultKind::DoubledReservation | FaultKind::LateReservation => FaultPlace::Reservation,
            FaultKind::IdleNotice | FaultKind::LateNotice => FaultPlace::IdleConnection,
            _ => FaultPlace::Request,
        }
    }
}

/// The faults that a run injects, and their rates per thousand.
#[derive(Debug)]
pub struct FaultSettings {
    kinds: Vec<FaultKind>,
    base_rate: u64,
    rate: AtomicU64,
}

impl FaultSettings {
    /// Injects `kinds` at `base_rate`; an empty list stands for all kinds.
    pub fn new(kinds: &[FaultKind], base_rate: u64) -> Self {
        let kinds = if kinds.is_empty() { FaultKind::value_variants() } else { kinds };
        FaultSettings { kinds: kinds.to_owned(), base_rate, rate: AtomicU64::new(base_rate) }
    }

    /// Adds to the base rate from now on.
    pub fn set_added_rate(&self, per_mille: u64) {
        self.rate.store(self.base_rate + per_mille, Ordering::Relaxed);
    }

    /// Ends all faults.
    pub fn stop(&self) {
        self.rate.store(0, Ordering::Relaxed);
    }

    /// Draws whether a fault of `place` occurs, and which.
    pub fn draw(&self, place: FaultPlace, rng: &mut ChaCha8Rng) -> Option<FaultKind> {
        let is_faulty = rng.random_range(0..1_000) < self.rate.load(Ordering::Relaxed);
        let enabled: Vec<FaultKind> =
            self.kinds.iter().filter(|kind| kind.place() == place).copied().collect();
        if is_faulty { enabled.choose(rng).copied() } else { None }
    }
}
