//! Execution of requests at the simulated engines, and the faults of its answers.

use crate::connection::{EngineConnection, LateBytes, close, close_error};
use crate::faults::{FaultKind, FaultPlace};
use crate::losses::ViewGuard;
use crate::wire::{WireRequest, response_text};
use crate::{callers, checks, planned, poison, streams};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::time::Duration;

/// Upper bound of the time that a plain request runs.
const MAX_RUN_TIME_MS: u64 = 40;
/// Header line of answers that state that the request was not executed.
pub const NOT_EXECUTED: &str = "tarragonknot-not-executed: 1\r\n";
/// Statuses of such answers.
const REFUSAL_STATUSES: [u16; 2] = [503, 429];
/// Statuses of failed executions.
const FAILURE_STATUSES: [u16; 5] = [500, 503, 429, 408, 504];

fn is_stream(request: &WireRequest) -> bool {
    request.path().contains("/stream/") || request.path().contains("/resumable/")
}

/// True for the streams, a quarter of all, that have neither a length nor chunks. Chosen by the
/// request's id, so that the faults that a seed draws stay the same.
fn ends_with_connection(request: &WireRequest) -> bool {
    request.id().bytes().map(u32::from).sum::<u32>() % 4 == 0
}

impl EngineConnection {
    /// Reads the rest of a request, executes and answers it; an error ends the connection.
    pub async fn answer(&mut self, request: WireRequest) -> io::Result<()> {
        let view = ViewGuard::begin(&self.ctx, request.id(), self.engine.number);
        // Bytes that belong to no request may spoil this answer.
        let is_spoilt = self.late.is_some() || self.previous_fault.is_some();
        self.check_head(&request);
        let fault = self.draw_fault(FaultPlace::Request);
        let result = self.answer_with_fault(request, fault).await;
        if !is_spoilt && matches!(fault, None | Some(FaultKind::Pause)) {
            let is_own_close = |error: &io::Error| error.kind() == close_error().kind();
            view.end(result.as_ref().map_or_else(is_own_close, |()| true));
        }
        result
    }

    async fn answer_with_fault(
        &mut self,
        mut request: WireRequest,
        fault: Option<FaultKind>,
    ) -> io::Result<()> {
        if let Some(fault) = fault {
            self.record_event(&request, &format!("drew {fault:?}"));
        }
        match fault {
            Some(FaultKind::ResetBeforeBody) => return self.wire.reset(),
            Some(FaultKind::ResetInBody) => {
                let length = request.body_length() / 2;
                self.wire.read_body(&mut request, length).await?;
                return self.wire.reset();
            }
            Some(FaultKind::EarlyRefusal) => {
                self.refuse(&request).await?;
                return self.read_late_body(request).await;
            }
            Some(FaultKind::EarlyFailure) => {
                self.fail(&request, &[500]).await?;
                return self.read_late_body(request).await;
            }
            _ => {}
        }
        self.read_whole_body(&mut request).await?;
        let closes = self.write_late_bytes(&request).await?;
        let _slot = self.take_slot();
        if closes {
            self.execute(&request).await;
            return close();
        }
        self.answer_whole_request(&request, fault).await
    }

    fn check_head(&mut self, request: &WireRequest) {
        checks::check_arrival(&self.ctx, request, &self.engine.id);
        if let Some(label) = self.previous_fault.take() {
            self.record_event(request, &format!("read it after {label}"));
        }
    }

    async fn read_whole_body(&mut self, request: &mut WireRequest) -> io::Result<()> {
        let length = request.body_length();
        self.wire.read_body(request, length).await?;
        checks::check_body(&self.ctx, request.id(), &self.engine.id, &request.body);
        Ok(())
    }

    /// Reads the body of a request that has been answered, or resets the connection.
    async fn read_late_body(&mut self, mut request: WireRequest) -> io::Result<()> {
        self.pause().await;
        if self.rng.random() {
            return self.wire.reset();
        }
        self.read_whole_body(&mut request).await
    }

    async fn answer_whole_request(
        &mut self,
        request: &WireRequest,
        fault: Option<FaultKind>,
    ) -> io::Result<()> {
        match fault {
            Some(FaultKind::Refusal) => self.refuse(request).await.map(drop),
            Some(fault @ (FaultKind::LostAnswer | FaultKind::ResetInRun)) => {
                self.execute(request).await;
                if fault == FaultKind::ResetInRun { self.wire.reset() } else { close() }
            }
            Some(FaultKind::FailedRun) => self.fail(request, &FAILURE_STATUSES).await.map(drop),
            Some(FaultKind::TruncatedAnswer) => {
                self.run(request, fault).await?;
                close()
            }
            Some(FaultKind::ExtraAnswer) => {
                self.run(request, fault).await?;
                let head = self.answer_headers(request).replace(request.id(), "other");
                self.previous_fault = Some("ExtraAnswer".to_owned());
                self.wire.write(&response_text(200, &head, "not yours")).await
            }
            Some(FaultKind::LateAnswer) => {
                let text = match self.rng.random_range(0..3) {
                    0 => self.refuse(request).await?,
                    1 => self.fail(request, &[500]).await?,
                    _ => self.run(request, fault).await?,
                };
                let label = format!("LateAnswer to {}", request.id());
                self.late = Some(LateBytes { text, label, closes: false });
                Ok(())
            }
            _ => self.run(request, fault).await.map(drop),
        }
    }

    /// Executes the request for a while and records it; never returns if it crashes the engine.
    async fn execute(&mut self, request: &WireRequest) {
        let organisation = request.header("tarragonknot-tenant").unwrap_or_default();
        let counts = request.header("tarragonknot-token-count").unwrap_or("200,0");
        let tokens: u64 =
            counts.split(',').filter_map(|number| number.trim().parse::<u64>().ok()).sum();
        let limited_tokens = (organisation == "limited").then_some(tokens);
        self.ctx.recorder.record_execution(request.id(), limited_tokens);
        self.record_event(request, "executed it");
        let prompt = request.header("tarragonknot-prefix-hash").unwrap_or_default();
        if poison::crash_if_poison(&self.ctx, self.engine.number, &request.body, prompt) {
            return std::future::pending().await;
        }
        if !is_stream(request) {
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let time = self.rng.random_range(1..MAX_RUN_TIME_MS);
        tokio::time::sleep(Duration::from_millis(time)).await;
    }

    fn answer_headers(&self, request: &WireRequest) -> String {
        let seal = format!("tarragonknot-server-seal: {}.{}\r\n", self.engine.id, request.id());
        request.echoed_id() + &seal + &self.ctx.stated_rates.header(self.engine.number)
    }

    /// Answers that the request was not executed; returns the answer.
    async fn refuse(&mut self, request: &WireRequest) -> io::Result<String> {
        let status = REFUSAL_STATUSES.choose(&mut self.rng).copied().unwrap_or(503);
        let rate = self.ctx.stated_rates.header(self.engine.number);
        self.write_status(request, status, &(request.echoed_id() + NOT_EXECUTED + &rate)).await
    }

    /// Executes the request, which fails with one of `statuses`; returns the answer.
    async fn fail(&mut self, request: &WireRequest, statuses: &[u16]) -> io::Result<String> {
        self.execute(request).await;
        let status = statuses.choose(&mut self.rng).copied().unwrap_or(500);
        self.write_status(request, status, &self.answer_headers(request)).await
    }

    async fn write_status(
        &mut self,
        request: &WireRequest,
        status: u16,
        headers: &str,
    ) -> io::Result<String> {
        self.record_event(request, &format!("answered {status}"));
        let text = response_text(status, headers, "failed");
        self.wire.write(&text).await.map(|()| text)
    }

    /// Executes the request and answers it with success, or with the first part of that answer;
    /// returns the answer.
    async fn run(&mut self, request: &WireRequest, fault: Option<FaultKind>) -> io::Result<String> {
        self.execute(request).await;
        let headers = self.answer_headers(request);
        if is_stream(request) {
            return self.stream_events(request, &headers, fault).await;
        }
        let events = callers::event_count_text(&request.body);
        let body = format!("answer to {}, {events}, {} bytes", request.id(), request.body.len());
        let mut text = response_text(200, &headers, &body);
        if fault == Some(FaultKind::TruncatedAnswer) {
            text.truncate(text.len() - 3);
        }
        self.wire.write(&text).await.map(|()| text)
    }

    async fn stream_events(
        &mut self,
        request: &WireRequest,
        headers: &str,
        fault: Option<FaultKind>,
    ) -> io::Result<String> {
        let event_count: u64 = callers::event_count_text(&request.body).trim().parse().unwrap_or(3);
        let last_received =
            request.header("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
        let faulty_event =
            self.rng.random_range(last_received + 1..=event_count.max(last_received + 1));
        let event_with = |kind| if fault == Some(kind) { faulty_event } else { u64::MAX };
        let cut_event = event_with(FaultKind::TruncatedAnswer);
        let pause_event = event_with(FaultKind::Pause);
        let is_chunked = !ends_with_connection(request);
        let framing = if is_chunked { "transfer-encoding: chunked\r\n" } else { "" };
        let mut text =
            format!("HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n{framing}\r\n");
        self.wire.write(&text).await?;
        for event in last_received + 1..=event_count {
            tokio::time::sleep(self.ctx.event_interval).await;
            self.ctx.pauses.wait(self.engine.number).await;
            if event == pause_event {
                let time = self.rng.random_range(planned::PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(time)).await;
            }
            let mut data = streams::event_text(request.id(), event, &self.engine.version);
            if event == cut_event {
                data.truncate(data.len() / 2);
            }
            let chunk = match is_chunked {
                true => format!("{:x}\r\n{data}\r\n", data.len()),
                false => data,
            };
            self.wire.write(&chunk).await?;
            text.push_str(&chunk);
            if event == cut_event {
                return close().map(|()| text);
            }
        }
        if !is_chunked {
            return close().map(|()| text);
        }
        self.wire.write("0\r\n\r\n").await?;
        Ok(text + "0\r\n\r\n")
    }
}
