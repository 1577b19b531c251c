//! Stages of a data centre, as defined by its state chart.

use crate::chart::{NoAction, StateChart};
use crate::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Stage of a data centre.
    EvacuationStage {
        /// Its upstreams receive requests.
        InUse,
        /// Its upstreams receive no more requests; those that run there end by themselves.
        Evacuated,
    }
}

chart_names! {
    /// An operator's order that concerns a data centre.
    EvacuationEvent {
        /// Send nothing more to its upstreams.
        Evacuate,
        /// Use its upstreams again.
        Return,
    }
}

/// State chart of an evacuation.
pub type EvacuationChart = StateChart<EvacuationStage, EvacuationEvent, NoAction>;

static CHART: LazyLock<EvacuationChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/evacuation.json"))
        .expect("charts/evacuation.json is checked by a test")
});

/// Returns the evacuation chart, which is loaded once.
pub fn evacuation_chart() -> &'static EvacuationChart {
    &CHART
}

impl EvacuationStage {
    /// Returns the stage that follows `event`.
    pub fn after(self, event: EvacuationEvent) -> EvacuationStage {
        let mut machine = evacuation_chart().resume(self);
        machine.step(event);
        machine.state()
    }
}
