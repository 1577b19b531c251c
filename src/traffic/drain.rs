//! The life cycle of a daemon's shutdown.

use crate::chart::StateChart;
use crate::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Where a daemon is between its start and its end.
    DrainState {
        /// Admitting, ready.
        Serving,
        /// Unready, still admitting until the balancer has noticed.
        Unready,
        /// No new connections; what waits and runs is finished.
        Closing,
        /// Nothing is left.
        Done,
    }
}

chart_names! {
    /// What moves it.
    DrainEvent {
        /// SIGTERM, or an operator's drain. A second one changes nothing: it must not cut answers.
        Signal,
        /// The time the balancer needs has passed.
        BalancerNoticed,
        /// No request is in progress.
        Idle,
    }
}

chart_names! {
    /// What the daemon does.
    DrainAction {
        /// Answer the balancer's health check with 503.
        TurnUnready,
        /// Close the listening socket.
        StopAccepting,
        /// Close idle connections, and others after their present answer.
        CloseKeepAlive,
        /// End the process.
        Exit,
    }
}

/// The chart of a drain.
pub type DrainChart = StateChart<DrainState, DrainEvent, DrainAction>;

static CHART: LazyLock<DrainChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/drain.json"))
        .expect("charts/drain.json is checked by a test")
});

/// The drain chart, loaded once.
pub fn drain_chart() -> &'static DrainChart {
    &CHART
}
