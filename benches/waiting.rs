//! Measures the memory of waiting requests without connections, counted in the allocator, and
//! prints the size of their bodies beside it: `cargo bench --bench waiting`.

use http::Request;
use slog::{Discard, Logger, o};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::time::Duration;
use tarragonknot::policy::Moment;
use tarragonknot::standin::{EngineShape, start_engine};
use tarragonknot::table::{KeyDigest, VersionedTable, read_table};
use tarragonknot::traffic::{TrafficState, frontend_router};
use tower::ServiceExt;

/// Forwards all calls to the system allocator and counts the bytes in use.
struct CountingAllocator;

static BYTES_IN_USE: AtomicIsize = AtomicIsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[tokio::main]
async fn main() {
    let engine = start_engine(EngineShape::with_step(50_000), Default::default(), Duration::ZERO)
        .await
        .expect("the simulated engine starts");
    let text = format!(
        r#"{{"tiers": [{{"tier": "only", "rank": 0, "weight": 1}}],
        "organisations": [{{"organisation": "org", "key_digests": ["{}"], "weight": 1}}],
        "services": [{{"service": "slow", "kind": "model", "default_tier": "only", "deadline_ms": 3600000, "first_guess": 1,
            "limit": "fixed", "silence_ms": 3600000, "waiting_limit": 1000000}}],
        "upstreams": [{{"upstream": "engine", "service": "slow", "address": "{}", "data_centre": "hall-a"}}]}}"#,
        KeyDigest::of("key").0,
        engine.address
    );
    let table = read_table(&text).expect("the table is valid");
    let state = TrafficState::new("bench".into(), Logger::root(Discard, o!()), 1);
    state.apply_table(&VersionedTable::new(1, table));
    state.set_current_until(Moment(u64::MAX));
    let router = frontend_router(Arc::clone(&state));
    // One long response occupies the engine. The other requests ask for little output, so that the
    // estimated wait of 100,000 of them stays below the deadline and none is refused.
    let long_body = r#"{"model":"slow","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hello"}]}"#;
    let body = r#"{"model":"slow","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"hello"}]}"#;
    let send_request = |body: &'static str| {
        let request = Request::post("/v1/chat/completions")
            .header("authorization", "Bearer key")
            .body(axum::body::Body::from(body));
        tokio::spawn(router.clone().oneshot(request.expect("a good request")))
    };
    for count in [1_000usize, 10_000, 100_000] {
        let long_request = send_request(long_body);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let before = BYTES_IN_USE.load(Ordering::Relaxed);
        let requests: Vec<_> = (0..count).map(|_| send_request(body)).collect();
        let pool = state.pool(&"slow".into()).expect("the service has a pool");
        while pool.status().waiting < count {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let bytes_each = (BYTES_IN_USE.load(Ordering::Relaxed) - before) as f64 / count as f64;
        println!(
            "{count:>7} waiting: {bytes_each:.0} bytes each, of which {} are the body",
            body.len()
        );
        requests.into_iter().chain([long_request]).for_each(|request| request.abort());
        while pool.status().waiting > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
