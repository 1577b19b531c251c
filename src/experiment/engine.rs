//! One engine of an experiment: the stand-in's model, run step by step by the event loop.

use crate::policy::LoadReport;
use crate::standin::{EngineJob, EngineModel, EngineShape, EngineStep, JobId, PrefillLedger};

/// How much slower a straggler is.
const STRAGGLER_SLOWNESS: f64 = 3.0;

/// One engine.
pub struct SimulatedEngine {
    model: EngineModel,
    step: Option<EngineStep>,
    is_dead: bool,
    is_leaving: bool,
}

impl SimulatedEngine {
    /// An idle engine.
    pub fn new(shape: EngineShape) -> Self {
        let model = EngineModel::new(shape);
        SimulatedEngine { model, step: None, is_dead: false, is_leaving: false }
    }

    /// Makes it a straggler.
    pub fn slow_down(&mut self) {
        self.model.slowness = STRAGGLER_SLOWNESS;
    }

    /// Ends it, with all the work on it.
    pub fn die(&mut self) {
        self.is_dead = true;
        self.step = None;
    }

    /// True until it ends.
    pub fn lives(&self) -> bool {
        !self.is_dead
    }

    /// Makes it say that it is leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes a job; false if the engine is dead and took nothing.
    pub fn submit(&mut self, job: EngineJob) -> bool {
        if !self.is_dead {
            self.model.submit(job);
        }
        !self.is_dead
    }

    /// Drops a job.
    pub fn cancel(&mut self, id: JobId, ledger: &PrefillLedger) {
        self.model.cancel(id, ledger);
    }

    /// Begins a step unless one is under way; its length in microseconds, or none if there is nothing to do.
    pub fn begin_step(&mut self, ledger: &PrefillLedger) -> Option<u64> {
        if self.is_dead || self.step.is_some() {
            return None;
        }
        self.step = self.model.step(ledger);
        self.step.as_ref().map(|step| step.micros)
    }

    /// What the step that is now over has made; none if the engine died in it.
    pub fn end_step(&mut self) -> Option<EngineStep> {
        self.step.take()
    }

    /// Its load now, by its own clock; none if it is dead.
    pub fn report(&self, stamp: u64) -> Option<LoadReport> {
        let report = LoadReport {
            stamp,
            running: self.model.running_count() as u32,
            queued: self.model.queued_count() as u32,
            step_micros: self.model.last_step_micros() as u32,
            is_leaving: self.is_leaving,
        };
        (!self.is_dead).then_some(report)
    }
}
