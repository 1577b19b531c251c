//! A connection to a simulated engine: reads requests and replies to reservations.

use crate::context::{SoakContext, lock};
use crate::engines::{ENGINE_SLOTS, EngineIdentity};
use crate::wire::{WireRequest, WireStream, response_text};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::io;
use std::sync::{Arc, Mutex};

/// A slot in use, released on drop.
pub struct SlotGuard(Arc<Mutex<u32>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        *lock(&self.0) -= 1;
    }
}

fn acquire_slot(used_slots: &Arc<Mutex<u32>>) -> Option<SlotGuard> {
    let mut used = lock(used_slots);
    if *used >= ENGINE_SLOTS {
        return None;
    }
    *used += 1;
    Some(SlotGuard(Arc::clone(used_slots)))
}

/// The engine's end of a connection.
pub struct EngineConnection {
    pub ctx: Arc<SoakContext>,
    pub engine: EngineIdentity,
    pub wire: WireStream,
    pub rng: ChaCha8Rng,
    used_slots: Arc<Mutex<u32>>,
    reserved_slot: Option<SlotGuard>,
}

impl EngineConnection {
    /// Wraps a connection to `engine`, whose slots in use are `used_slots`.
    pub fn new(
        ctx: Arc<SoakContext>,
        engine: EngineIdentity,
        wire: WireStream,
        rng: ChaCha8Rng,
        used_slots: Arc<Mutex<u32>>,
    ) -> Self {
        EngineConnection { ctx, engine, wire, rng, used_slots, reserved_slot: None }
    }

    /// Serves requests until the connection ends.
    pub async fn serve(mut self) {
        while self.serve_request().await.is_ok() {}
    }

    async fn serve_request(&mut self) -> io::Result<()> {
        let mut request = self.wire.read_head().await?;
        let expected_id = request.header("tarragonknot-expect-instance");
        let is_expected = expected_id.is_none_or(|expected_id| expected_id == self.engine.id);
        if is_expected && !matches!(request.path(), "/-/hold-take" | "/healthz") {
            return self.answer(request).await;
        }
        let length = request.body_length();
        self.wire.read_body(&mut request, length).await?;
        match request.path() {
            _ if !is_expected => {
                self.wire.write(&response_text(421, &request.echoed_id(), "")).await
            }
            "/-/hold-take" => self.reserve().await,
            _ => {
                let headers = format!("tarragonknot-instance-id: {}\r\n", self.engine.id);
                self.wire.write(&response_text(200, &headers, "")).await
            }
        }
    }

    /// Adds a line on the request to the run's record.
    pub fn record_event(&self, request: &WireRequest, event: &str) {
        self.ctx.recorder.record_event(request.id(), format!("{} {event}", self.engine.id));
    }

    /// The reserved slot, or else a free one.
    pub fn take_slot(&mut self) -> Option<SlotGuard> {
        self.reserved_slot.take().or_else(|| acquire_slot(&self.used_slots))
    }

    async fn reserve(&mut self) -> io::Result<()> {
        let (status, body) = match acquire_slot(&self.used_slots) {
            Some(slot) => {
                self.reserved_slot = Some(slot);
                (200, json!({"hold": format!("h-{}", self.rng.random::<u32>())}).to_string())
            }
            None => (503, String::new()),
        };
        self.wire.write(&response_text(status, "", &body)).await
    }
}

/// Ends the connection.
pub fn close() -> io::Result<()> {
    Err(io::ErrorKind::ConnectionAborted.into())
}
