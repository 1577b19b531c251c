//! Logs and metrics.

mod logging;
mod measures;

pub use logging::json_logger;
pub use measures::{
    RequestRecord, RouteRecord, install_metrics, record_request, record_route, record_size,
    render_metrics,
};
