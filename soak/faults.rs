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
    /// The execution fails, with 500.
    FailedRun,
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

    /// Draws whether a fault occurs, and which.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Option<FaultKind> {
        let is_faulty = rng.random_range(0..1_000) < self.rate.load(Ordering::Relaxed);
        if is_faulty { self.kinds.choose(rng).copied() } else { None }
    }
}
