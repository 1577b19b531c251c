//! Experiments in virtual time: the schedulers of several daemons before models of engines.
//!
//! The decisions under measurement are the product's own ([`crate::policy`], and the leader's book of
//! shares and floors); the engines are the stand-in's model. Around them stands one event loop, from a
//! seed, with nothing of machines or networks but one fixed delay: the same seed gives the same run on
//! any machine, however busy.

mod engine;
mod plan;
mod poison;
mod run;
mod summary;

pub use plan::{ExperimentPlan, FaultKind, MechanismSwitch};
pub use run::run_experiment;
pub use summary::{RunSummary, SeedSpread, SpreadSummary};
