//! Life cycle of a daemon's graceful shutdown, as a state chart.

use crate::chart::StateChart;
use crate::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// State of a daemon with respect to shutdown.
    DrainState {
        /// Ready and admitting requests.
        Serving,
        /// Not ready, but still admitting requests until the load balancer has noticed.
        Unready,
        /// Accepting no new connections, and finishing the requests that are waiting or running.
        Closing,
        /// All requests have ended.
        Done,
    }
}

chart_names! {
    /// Event of the drain chart.
    DrainEvent {
        /// SIGTERM or an operator's drain command. A second one has no effect, since it must not
        /// cut answers short.
        Signal,
        /// The time that the load balancer needs to notice has passed.
        BalancerNoticed,
        /// No request is in progress.
        Idle,
    }
}

chart_names! {
    /// Action for the daemon to execute.
    DrainAction {
        /// Answer the load balancer's health check with 503.
        TurnUnready,
        /// Close the listening socket.
        StopAccepting,
        /// Close idle connections, and the others after their current answer.
        CloseKeepAlive,
        /// Terminate the process.
        Exit,
    }
}

/// State chart of a drain.
pub type DrainChart = StateChart<DrainState, DrainEvent, DrainAction>;

static CHART: LazyLock<DrainChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/drain.json"))
        .expect("charts/drain.json is checked by a test")
});

/// The drain chart, loaded on first use.
pub fn drain_chart() -> &'static DrainChart {
    &CHART
}
