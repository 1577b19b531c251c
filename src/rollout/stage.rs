//! Stages of a roll-out, as defined by its state chart.

use crate::chart::StateChart;
use crate::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Stage of a roll-out.
    RolloutStage {
        /// The new version receives a small share of the requests.
        Trial,
        /// The new version receives a larger share, so that faults that appear only under load are
        /// found before the old version is abandoned.
        Expanding,
        /// New requests go to the new version only; those on the old one run to completion.
        Draining,
        /// Nothing runs on the old version any more; the roll-out succeeded.
        Completed,
        /// The new version was rejected and receives no requests.
        RolledBack,
    }
}

chart_names! {
    /// Event that changes the stage of a roll-out.
    RolloutEvent {
        /// The stage has lasted long enough and the new version is sound.
        Approved,
        /// The new version is worse than the old one, or was not shown to be sound in time.
        Condemned,
        /// Nothing runs on the old version any more.
        Drained,
    }
}

chart_names! {
    /// Effect of a stage change on the daemons.
    RolloutAction {
        /// Send more requests to the new version.
        RaiseShare,
        /// Send no more requests to the old version.
        LeaveOld,
        /// Stop using the old version for good.
        RetireOld,
        /// Send no more requests to the new version.
        ReturnToOld,
    }
}

/// State chart of a roll-out.
pub type RolloutChart = StateChart<RolloutStage, RolloutEvent, RolloutAction>;

static CHART: LazyLock<RolloutChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/rollout.json"))
        .expect("charts/rollout.json is checked by a test")
});

/// Returns the roll-out chart, which is loaded once.
pub fn rollout_chart() -> &'static RolloutChart {
    &CHART
}

impl RolloutStage {
    /// Returns the stage that follows `event`.
    pub fn after(self, event: RolloutEvent) -> RolloutStage {
        let mut machine = rollout_chart().resume(self);
        machine.step(event);
        machine.state()
    }

    /// Returns true for stages that never change.
    pub fn is_final(self) -> bool {
        rollout_chart().finals.contains(&self)
    }
}
