//! A simulated engine: the stand-in's engine model, stepped by the event loop.

use crate::policy::LoadReport;
use crate::standin::{EngineJob, EngineModel, EngineShape, EngineStep, JobId, PrefillLedger};

/// Factor on the step times of a straggler.
const STRAGGLER_SLOWNESS: f64 = 3.0;

/// A simulated engine.
pub struct SimulatedEngine {
    model: EngineModel,
    step: Option<EngineStep>,
    has_crashed: bool,
    is_leaving: bool,
}

impl SimulatedEngine {
    /// Creates an idle engine.
    pub fn new(shape: EngineShape) -> Self {
        let model = EngineModel::new(shape);
        SimulatedEngine { model, step: None, has_crashed: false, is_leaving: false }
    }

    /// Turns the engine into a straggler.
    pub fn slow_down(&mut self) {
        self.model.slowness = STRAGGLER_SLOWNESS;
    }

    /// Crashes the engine; all jobs on it are lost.
    pub fn crash(&mut self) {
        self.has_crashed = true;
        self.step = None;
    }

    /// True until the engine crashes.
    pub fn is_alive(&self) -> bool {
        !self.has_crashed
    }

    /// Makes the engine's load reports announce that it is leaving.
    pub fn announce_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Submits a job. Returns false, without accepting it, if the engine has crashed.
    pub fn submit(&mut self, job: EngineJob) -> bool {
        if !self.has_crashed {
            self.model.submit(job);
        }
        !self.has_crashed
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, ledger: &PrefillLedger) {
        self.model.cancel(id, ledger);
    }

    /// Starts a step unless one is in progress. Returns its duration in microseconds, or none if no
    /// step was started.
    pub fn start_step(&mut self, ledger: &PrefillLedger) -> Option<u64> {
        if self.has_crashed || self.step.is_some() {
            return None;
        }
        self.step = self.model.step(ledger);
        self.step.as_ref().map(|step| step.micros)
    }

    /// Finishes the current step and returns its results, or none if the engine crashed during it.
    pub fn finish_step(&mut self) -> Option<EngineStep> {
        self.step.take()
    }

    /// Returns the current load, stamped with the engine's own clock, or none if the engine has
    /// crashed.
    pub fn report(&self, stamp: u64) -> Option<LoadReport> {
        let report = LoadReport {
            stamp,
            running: self.model.running_count() as u32,
            queued: self.model.queued_count() as u32,
            step_micros: self.model.last_step_micros() as u32,
            is_leaving: self.is_leaving,
        };
        (!self.has_crashed).then_some(report)
    }
}
