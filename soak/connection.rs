//! A connection to a simulated engine: reads requests, replies to reservations and sends answers
//! that belong to no request.

use crate::answers::NOT_EXECUTED;
use crate::context::{SoakContext, lock};
use crate::engines::{ENGINE_SLOTS, EngineIdentity};
use crate::faults::{FaultKind, FaultPlace};
use crate::wire::{WireRequest, WireStream, response_text};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest time that a connection is idle before an unsolicited answer.
const MAX_IDLE_TIME_MS: u64 = 200;

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

/// Bytes that are written when the next request has been read, before its own answer.
pub struct LateBytes {
    pub text: String,
    /// What the bytes are, for the record.
    pub label: String,
    /// True if the connection closes after them; the request is executed all the same.
    pub closes: bool,
}

/// The engine's end of a connection.
pub struct EngineConnection {
    pub ctx: Arc<SoakContext>,
    pub engine: EngineIdentity,
    pub wire: WireStream,
    pub rng: ChaCha8Rng,
    pub late: Option<LateBytes>,
    /// Fault after the previous answer, for the record of the next request.
    pub previous_fault: Option<String>,
    used_slots: Arc<Mutex<u32>>,
    reserved_slot: Option<SlotGuard>,
    has_answered: bool,
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
        EngineConnection {
            ctx,
            engine,
            wire,
            rng,
            late: None,
            previous_fault: None,
            used_slots,
            reserved_slot: None,
            has_answered: false,
        }
    }

    /// Serves requests until the connection ends.
    pub async fn serve(mut self) {
        while self.serve_request().await.is_ok() {
            self.has_answered = true;
        }
    }

    async fn serve_request(&mut self) -> io::Result<()> {
        if self.has_answered {
            self.draw_notice().await?;
        }
        let mut request = self.wire.read_head().await?;
        self.ctx.pauses.wait(self.engine.number).await;
        let expected_id = request.header("tarragonknot-expect-instance");
        let is_expected = expected_id.is_none_or(|expected_id| expected_id == self.engine.id);
        let path = request.path();
        let is_own_call = path.starts_with("/-/")
            || path == "/healthz"
            || (path == "/" && request.id().is_empty());
        if is_expected && !is_own_call {
            self.ctx.stated_rates.record_arrival(self.engine.number);
            return self.answer(request).await;
        }
        let length = request.body_length();
        self.wire.read_body(&mut request, length).await?;
        if let Some(label) = &mut self.previous_fault {
            label.push_str(&format!(", then {}", request.path()));
        }
        if self.write_late_bytes(&request).await? {
            return close();
        }
        match request.path() {
            _ if !is_expected => {
                self.wire.write(&response_text(421, &request.echoed_id(), "")).await
            }
            "/-/hold-take" => self.reserve().await,
            // A health check under a table without the service, which names no path for it.
            "/" => self.wire.write(&response_text(400, NOT_EXECUTED, "")).await,
            _ => {
                let headers = format!("tarragonknot-instance-id: {}\r\n", self.engine.id);
                self.wire.write(&response_text(200, &headers, "")).await
            }
        }
    }

    /// Draws a fault of `place`, unless another fault awaits the next request.
    pub fn draw_fault(&mut self, place: FaultPlace) -> Option<FaultKind> {
        match self.late {
            Some(_) => None,
            None => self.ctx.faults.draw(place, &mut self.rng),
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

    /// Writes the bytes that await a request; true if the connection closes after them.
    pub async fn write_late_bytes(&mut self, request: &WireRequest) -> io::Result<bool> {
        let Some(late) = self.late.take() else { return Ok(false) };
        self.record_event(request, &format!("wrote {} before the answer", late.label));
        self.wire.write(&late.text).await?;
        self.previous_fault = Some(format!("{} to {}", late.label, request.path()));
        Ok(late.closes)
    }

    async fn reserve(&mut self) -> io::Result<()> {
        let fault = self.draw_fault(FaultPlace::Reservation);
        // An engine may lack memory although a slot is free.
        let has_memory = fault.is_none() || self.rng.random();
        let (status, body) = match acquire_slot(&self.used_slots) {
            Some(slot) if has_memory => {
                self.reserved_slot = Some(slot);
                (200, json!({"hold": format!("h-{}", self.rng.random::<u32>())}).to_string())
            }
            _ => (503, String::new()),
        };
        let text = response_text(status, "", &body);
        self.wire.write(&text).await?;
        let Some(fault) = fault else { return Ok(()) };
        let label = format!("{fault:?} {status}");
        if fault == FaultKind::LateReservation {
            self.late = Some(LateBytes { text, label, closes: false });
            return Ok(());
        }
        self.previous_fault = Some(label);
        self.wire.write(&text).await
    }

    /// Draws an unsolicited answer, as HTTP servers send at their idle timeout, and writes it
    /// either at once or with the next request.
    async fn draw_notice(&mut self) -> io::Result<()> {
        let Some(kind) = self.draw_fault(FaultPlace::IdleConnection) else { return Ok(()) };
        let status = if self.rng.random() { 408 } else { 503 };
        let closes = self.rng.random();
        let headers = if closes { "connection: close\r\n" } else { "" };
        let text = response_text(status, headers, "");
        let label = format!("{kind:?} {status}{}", if closes { " and closed" } else { "" });
        if kind == FaultKind::LateNotice {
            self.late = Some(LateBytes { text, label, closes });
            return Ok(());
        }
        let idle_time = Duration::from_millis(self.rng.random_range(0..MAX_IDLE_TIME_MS));
        if self.wire.wait_for_bytes(idle_time).await? {
            return Ok(());
        }
        self.wire.write(&text).await?;
        self.previous_fault = Some(label);
        if closes { close() } else { Ok(()) }
    }
}

/// Ends the connection.
pub fn close() -> io::Result<()> {
    Err(close_error())
}

/// The error that stands for an end by the engine itself.
pub fn close_error() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
