//! The life of a roll-out, as its chart says.

use crate::chart::StateChart;
use crate::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// How far a roll-out has come.
    RolloutStage {
        /// A small share of the requests goes to the new version.
        Trial,
        /// A larger share does: faults that only load shows are found before the old version is left.
        Expanding,
        /// All requests go to the new version; those on the old one are finished.
        Draining,
        /// Nothing runs on the old version any more.
        Completed,
        /// No request goes to the new version any more.
        RolledBack,
    }
}

chart_names! {
    /// What moves a roll-out on.
    RolloutEvent {
        /// Time and answers speak for the next stage.
        Approved,
        /// Answers speak against the new version, or nothing speaks for it in time.
        Condemned,
        /// Nothing runs on the old version any more.
        Drained,
    }
}

chart_names! {
    /// What a change of stage means for the daemons.
    RolloutAction {
        /// More requests go to the new version.
        RaiseShare,
        /// No request goes to the old version.
        LeaveOld,
        /// The old version is not used again.
        RetireOld,
        /// No request goes to the new version.
        ReturnToOld,
    }
}

/// The chart of a roll-out.
pub type RolloutChart = StateChart<RolloutStage, RolloutEvent, RolloutAction>;

static CHART: LazyLock<RolloutChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/rollout.json"))
        .expect("charts/rollout.json is checked by a test")
});

/// The roll-out chart, loaded once.
pub fn rollout_chart() -> &'static RolloutChart {
    &CHART
}

impl RolloutStage {
    /// The stage after `event`.
    pub fn after(self, event: RolloutEvent) -> RolloutStage {
        let mut machine = rollout_chart().resume(self);
        machine.step(event);
        machine.state()
    }

    /// True once nothing changes any more.
    pub fn is_final(self) -> bool {
        rollout_chart().finals.contains(&self)
    }
}
