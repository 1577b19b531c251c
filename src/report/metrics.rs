//! Metrics recorded through the `metrics` crate and exported in the Prometheus text format.

use crate::answer::AnswerKind;
use crate::policy::{RateStatement, SizeDecile};
use crate::table::{OrganisationName, RouteKind, ServiceName, ServiceRow, TierName};
use crate::traffic::TrafficState;
use crate::upstream::AnswerFraming;
use http::StatusCode;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

static RECORDER_HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0];

/// Requests refused within this time are counted as refused without waiting.
const IMMEDIATE_REFUSAL_TIME: Duration = Duration::from_millis(5);

/// Installs the global metrics recorder; later calls have no effect.
pub fn install_metrics() {
    RECORDER_HANDLE.get_or_init(|| {
        let handle =
            PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS).ok()?.install_recorder().ok();
        // Distinguishes successive processes at the same address.
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        gauge!("process_start_time_seconds").set(started.as_secs_f64());
        handle
    });
}

/// The outcome of one request.
#[derive(Debug)]
pub struct RequestRecord<'a> {
    /// The service.
    pub service: &'a ServiceRow,
    /// The tier.
    pub tier: &'a TierName,
    /// The organisation that sent the request.
    pub organisation: &'a OrganisationName,
    /// The reason why no complete response was sent, if so.
    pub failure: Option<AnswerKind>,
    /// True if the caller disconnected.
    pub is_abandoned: bool,
    /// Time to the first part of the response body.
    pub first_piece: Option<Duration>,
    /// Total time of the request.
    pub total: Duration,
    /// Number of output tokens.
    pub tokens: u32,
}

/// Records the metrics of a finished request.
pub fn record_request(record: &RequestRecord<'_>) {
    let service = record.service.service.to_string();
    let tier = record.tier.to_string();
    let outcome = match record.failure {
        Some(kind) => kind.row().name,
        None if record.is_abandoned => "abandoned",
        None => "answered",
    };
    let organisation = record.organisation.to_string();
    counter!("tarragonknot_requests_total", "service" => service.clone(), "tier" => tier.clone(), "organisation" => organisation, "outcome" => outcome)
        .increment(1);
    counter!("tarragonknot_output_tokens_total", "service" => service.clone(), "tier" => tier.clone())
        .increment(u64::from(record.tokens));
    if let Some(time) = record.first_piece {
        histogram!("tarragonknot_first_piece_seconds", "service" => service.clone(), "tier" => tier.clone()).record(time);
    }
    histogram!("tarragonknot_request_seconds", "service" => service, "tier" => tier)
        .record(record.total);
}

/// Records the requests per second that an upstream states it takes; infinite if it states none.
pub fn record_stated_rate(upstream: &str, rate: RateStatement) {
    let rate = match rate {
        RateStatement::Unlimited => f64::INFINITY,
        RateStatement::Limited(rate) => rate,
    };
    gauge!("tarragonknot_upstream_stated_rate", "upstream" => upstream.to_owned()).set(rate);
}

/// Records the rejections per second that an upstream states it bears; infinite if it states none.
pub fn record_rejection_bound(upstream: &str, bound: Option<u32>) {
    let bound = bound.map_or(f64::INFINITY, f64::from);
    gauge!("tarragonknot_upstream_rejection_bound", "upstream" => upstream.to_owned()).set(bound);
}

/// Counts a request for rest by an upstream of a service.
pub fn record_rest(service: &ServiceName) {
    counter!("tarragonknot_rests_asked_total", "service" => service.to_string()).increment(1);
}

/// The outcome of one routed request. Routes are not used as a label, because there may be
/// thousands of them.
#[derive(Debug)]
pub struct RouteRecord<'a> {
    /// The route's kind.
    pub kind: RouteKind,
    /// The route's tier.
    pub tier: &'a TierName,
    /// The refusal's name, `answered`, `upstream-failure`, `cut` or `caller-left`.
    pub outcome: &'static str,
    /// Size decile among the recent requests of the route, if known.
    pub size_tenth: Option<SizeDecile>,
    /// True if the response met its latency objectives.
    pub is_in_time: bool,
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Longest gap between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// Total time of the request.
    pub total: Duration,
}

/// Records the metrics of a finished routed request.
pub fn record_route(record: &RouteRecord<'_>) {
    let (kind, tier) = (record.kind.name(), record.tier.to_string());
    counter!("tarragonknot_route_requests_total", "kind" => kind, "tier" => tier.clone(), "outcome" => record.outcome)
        .increment(1);
    let outcome = match record.outcome {
        "answered" if !record.is_in_time => "answered-late",
        "deadline-waiting" if record.total < IMMEDIATE_REFUSAL_TIME => "deadline-at-once",
        outcome => outcome,
    };
    record_size(record.kind, record.tier, record.size_tenth, outcome);
    histogram!("tarragonknot_route_request_seconds", "kind" => kind, "tier" => tier.clone())
        .record(record.total);
    if let Some(time) = record.first_event {
        histogram!("tarragonknot_route_first_event_seconds", "kind" => kind, "tier" => tier.clone()).record(time);
    }
    if let Some(time) = record.longest_pause {
        histogram!("tarragonknot_route_pause_seconds", "kind" => kind, "tier" => tier).record(time);
    }
}

/// Counts a finished request by its size decile among the recent requests of its route.
pub fn record_size(
    kind: RouteKind,
    tier: &TierName,
    size_tenth: Option<SizeDecile>,
    outcome: &'static str,
) {
    let tenth = size_tenth.map_or("unknown", SizeDecile::name);
    counter!("tarragonknot_size_requests_total", "kind" => kind.name(), "tier" => tier.to_string(), "tenth" => tenth, "outcome" => outcome)
        .increment(1);
}

/// Counts an upstream's answer that is not a signed success, by the evidence of whether the request
/// ran: the id that the answer echoes (`own`, `other` or `absent`), and whether it says "not run".
pub fn record_failed_answer(status: StatusCode, echoed_id: &'static str, says_not_run: bool) {
    let says_not_run = if says_not_run { "yes" } else { "no" };
    counter!("tarragonknot_failed_answers_total", "status" => status.as_u16().to_string(), "echoed_id" => echoed_id, "says_not_run" => says_not_run)
        .increment(1);
}

/// Counts an answer that had begun and was cut, by who ended it and why.
pub fn record_cut_answer(ended_by: &'static str, cause: &'static str) {
    counter!("tarragonknot_answers_cut_total", "ended_by" => ended_by, "cause" => cause)
        .increment(1);
}

/// Counts a stream that was taken up again: by its `caller` in a new request, or within its `answer`.
pub fn record_resumption(service: &str, place: &'static str, result: &'static str) {
    let service = service.to_owned();
    counter!("tarragonknot_resumptions_total", "service" => service, "place" => place, "result" => result)
        .increment(1);
}

/// Sets the number of listed versions of which no majority of the voters has heard.
pub fn record_unannounced(count: usize) {
    gauge!("tarragonknot_unannounced_versions").set(count as f64);
}

/// Counts a lookup of the version that began a stream, by its result.
pub fn record_origin_lookup(result: &'static str) {
    counter!("tarragonknot_stream_lookups_total", "result" => result).increment(1);
}

/// Counts a request that was offered to a peer: `answered`, `refused`, `unable` (another peer may serve
/// it) or `failed`.
pub fn record_relayed(outcome: &'static str) {
    counter!("tarragonknot_relayed_requests_total", "outcome" => outcome).increment(1);
}

/// Counts the end of a stream's body, by its framing and by whether bytes of an event are left over.
pub fn record_stream_end(framing: AnswerFraming, is_within_event: bool) {
    let place = if is_within_event { "within-event" } else { "between-events" };
    counter!("tarragonknot_stream_ends_total", "framing" => framing.name(), "place" => place)
        .increment(1);
}

/// Counts an answer whose end was checked, by what the check found and what became of the answer.
pub fn record_end_check(framing: AnswerFraming, evidence: &'static str, decision: &'static str) {
    counter!("tarragonknot_end_checks_total", "framing" => framing.name(), "evidence" => evidence, "decision" => decision)
        .increment(1);
}

/// Updates the gauges and renders all metrics in the Prometheus text format.
pub fn render_metrics(state: &TrafficState) -> String {
    for (service, pool) in state.pools().iter() {
        let status = pool.status();
        let name = service.to_string();
        gauge!("tarragonknot_waiting", "service" => name.clone()).set(status.waiting as f64);
        gauge!("tarragonknot_running", "service" => name.clone()).set(status.running as f64);
        gauge!("tarragonknot_live_upstreams", "service" => name.clone()).set(status.live as f64);
        if let Some(counts) = pool.inspect(|scheduler| scheduler.prefix_counts()) {
            counter!("tarragonknot_prefix_kept_tokens_total", "service" => name.clone())
                .absolute(counts.kept_tokens);
            counter!("tarragonknot_prefix_changed_choices_total", "service" => name)
                .absolute(counts.changed_choices);
        }
    }
    let sizes = state.quarantine.sizes(state.clock.now());
    gauge!("tarragonknot_quarantined_requests").set(sizes.held as f64);
    gauge!("tarragonknot_suspect_requests").set(sizes.known as f64);
    gauge!("tarragonknot_memory_held_bytes").set(state.memory.held() as f64);
    gauge!("tarragonknot_table_version").set(state.snapshot().version as f64);
    gauge!("tarragonknot_ready").set(if state.is_ready() { 1.0 } else { 0.0 });
    match RECORDER_HANDLE.get() {
        Some(Some(handle)) => handle.render(),
        _ => String::new(),
    }
}
