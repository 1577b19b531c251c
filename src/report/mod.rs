//! What operators see: logs, metrics and the service-level burn report.

mod logging;
mod measures;

pub use logging::json_logger;
pub use measures::{RequestRecord, install_metrics, record_request, render_metrics};
