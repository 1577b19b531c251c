//! Experiments in virtual time: the schedulers of several daemons in front of engine models.
//!
//! The decisions under measurement are made by the production code ([`crate::policy`], and the
//! leader's registry of shares and floors); the engines are the stand-in's model. A seeded event
//! loop drives them. Machines and networks are not simulated apart from one fixed delay, so a seed
//! gives the same run on any machine, whatever its load.

mod engine;
mod plan;
mod poison;
mod run;
mod summary;

pub use plan::{ExperimentPlan, FaultKind, MechanismSwitch};
pub use run::run_experiment;
pub use summary::{RunSummary, SeedSpread, SpreadSummary};
