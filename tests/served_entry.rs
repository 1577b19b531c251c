//! A daemon in a process of its own, with the platform's interfaces.

use crate::routed_fleet::document;
use crate::workdir::WorkDir;
use axum::routing::get;
use http::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time within which the daemon must serve; generous even for a busy machine.
pub const START_TIME: Duration = Duration::from_secs(120);

/// Serves a list of engines, each with its name and address.
pub async fn serve_list(engines: &[(&str, SocketAddr)]) -> SocketAddr {
    let row = |(name, address): &(&str, SocketAddr)| {
        json!({
            "service": "pool", "address": address.to_string(), "zone": "hall-a", "version": "v1",
            "slots": 4, "state": "ready", "cold_left_ms": 0, "id": name,
        })
    };
    let rows: Vec<Value> = engines.iter().map(row).collect();
    let list = json!({"instances": rows, "next_token": null});
    let router = axum::Router::new().route("/instances", get(move || async { axum::Json(list) }));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Puts the table in force, as an operator does.
pub async fn order_table(operators: SocketAddr) {
    let table = document(1).replace("\"timeout_ms\":3000", "\"timeout_ms\":60000");
    let client: Client<_, String> = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let request = Request::post(format!("http://{operators}/-/config/replace"))
            .header("content-type", "application/json")
            .body(table.clone())
            .expect("the request consists of valid parts");
        if client.request(request).await.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the daemon's log has this message.
pub async fn wait_for_message(work: &WorkDir, message: &str) {
    let waiting = tokio::time::timeout(START_TIME, async {
        while !work.read("entry-1.log").contains(message) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waiting.await.is_ok(), "{}", work.read("entry-1.log"));
}
