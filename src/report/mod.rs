//! Logs and metrics.

mod logging;
mod metrics;

pub use self::metrics::{
    RequestRecord, RouteRecord, install_metrics, record_cut_answer, record_end_check,
    record_failed_answer, record_origin_lookup, record_rejection_bound, record_relayed,
    record_request, record_rest, record_resumption, record_route, record_size, record_stated_rate,
    record_stream_end, record_unannounced, render_metrics,
};
pub use logging::{LogGuard, guarded_json_logger, json_logger, log_panics};
