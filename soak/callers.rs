//! Simulated callers: each sends its requests one after the other over kept-alive connections and
//! checks the responses.

use crate::checks::NOT_EXECUTED_STATUSES;
use crate::context::{AddressKind, CALLERS_PORT, SentRequest, SoakContext};
use crate::fleet::{self, ProcessName};
use crate::losses::EndedRequest;
use crate::poison::sound_prompt;
use crate::streams::{ReceivedEvents, StreamReturn, has_two_engines};
use crate::tables;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Host name of all routes.
pub const ROUTE_HOST: &str = "shop.example";
/// API keys of the two organisations; the second one has a token limit.
pub const FREE_KEY: &str = "free-key";
pub const LIMITED_KEY: &str = "limited-key";
/// Deadline that callers send with each request.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Upper bound of the pause between two requests of a caller.
const MAX_THINK_TIME_MS: u64 = 60;
/// Maximum number of events in a stream.
const MAX_STREAM_EVENTS: u64 = 30;

/// Maximum number of times that a caller takes a stream up.
const MAX_RETURNS: usize = 3;
/// Pause of a caller before that.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a caller tries to connect while all entries are down.
const MAX_ABSENCE: Duration = Duration::from_secs(4);
/// One in how many streams that may be resumed is left by its caller, who takes it up elsewhere.
const LEAVE_INTERVAL: u32 = 3;
/// Names of the header with the attempt that brought the first event of a stream.
const RESUMES_HEADERS: [&str; 2] = ["resumes", "tarragonknot-resumes"];

/// Maximum size of a large body, and one in how many requests has one.
const MAX_BODY_BYTES: usize = 200_000;
const LARGE_BODY_INTERVAL: u32 = 4;

/// A request's body: the number of events and, up to `length`, a space and the repeated id.
pub fn request_body(events: &str, id: &str, length: usize) -> String {
    let mut body = events.to_owned();
    if length > events.len() && !id.is_empty() {
        body.push(' ');
        body.extend(id.chars().cycle().take(length - body.len()));
    }
    body
}

/// The number of events in a request's body.
pub fn event_count_text(body: &[u8]) -> String {
    let end = body.iter().position(|byte| *byte == b' ').unwrap_or(body.len());
    String::from_utf8_lossy(&body[..end]).into_owned()
}

/// Draws the minimum length of a body; 0 for a small one.
fn body_length(rng: &mut ChaCha8Rng) -> usize {
    if rng.random_range(0..LARGE_BODY_INTERVAL) == 0 {
        rng.random_range(0..MAX_BODY_BYTES)
    } else {
        0
    }
}

/// Starts the callers; they run until the context is stopped.
pub fn start(ctx: &Arc<SoakContext>, seed: u64) -> JoinHandle<()> {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..ctx.sizes.callers {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (caller as u64 + 1) << 40);
            // Apart from the other draws, which stay those of the seed.
            let return_rng = ChaCha8Rng::seed_from_u64(seed ^ (caller as u64 + 1) << 20);
            callers.spawn(run_caller(Arc::clone(&ctx), caller, rng, return_rng));
        }
        callers.join_all().await;
    })
}

/// A connection to an entry.
struct CallerConnection {
    entry: usize,
    sender: SendRequest<Full<Bytes>>,
}

async fn connect(ctx: &SoakContext, entry: usize) -> Option<CallerConnection> {
    let address = ctx.address(AddressKind::EntryProxy, entry, CALLERS_PORT);
    let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(CallerConnection { entry, sender })
}

async fn run_caller(
    ctx: Arc<SoakContext>,
    caller: usize,
    mut rng: ChaCha8Rng,
    mut return_rng: ChaCha8Rng,
) {
    let mut idle_connection: Option<CallerConnection> = None;
    let mut sent_count = 0u64;
    while !ctx.is_stopped() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_THINK_TIME_MS))).await;
        // Connections are reused until they fail, even while the entry shuts down.
        let connection =
            match idle_connection.take().filter(|connection| !connection.sender.is_closed()) {
                Some(connection) => Some(connection),
                None => connect(&ctx, rng.random_range(0..ctx.sizes.entries)).await,
            };
        let Some(mut connection) = connection else { continue };
        sent_count += 1;
        let id = format!("{:x}-{caller}-{sent_count}", ctx.seed);
        let kind = RequestKind::random(&ctx, &mut rng);
        let draft = RequestDraft::random(kind, &mut rng);
        let request = draft.request(&id, None);
        record_request(&ctx, kind, &id);
        // One request in 20 is abandoned if its response is not complete within 100 ms.
        let response_timeout =
            if rng.random_range(0..20) == 0 { REQUEST_DEADLINE / 40 } else { REQUEST_DEADLINE * 2 };
        let leave_after = draft.leave_after(0, &mut return_rng);
        let began_at = Instant::now();
        let exchanging = exchange(&ctx, &mut connection, request, &id, 0..leave_after);
        let Ok(answer) = tokio::time::timeout(response_timeout, exchanging).await else { continue };
        if answer.is_reusable && connection.sender.ready().await.is_ok() {
            idle_connection = Some(connection);
        }
        if matches!(kind, RequestKind::Resumable) {
            ctx.streams.record_new(answer.received.last_event > 0);
            take_up(&ctx, &draft, &id, answer, began_at, &mut return_rng).await;
        }
    }
}

fn record_request(ctx: &SoakContext, kind: RequestKind, id: &str) {
    let may_repeat = matches!(kind, RequestKind::Safe | RequestKind::Resumable);
    let max_attempts = if may_repeat { 2 } else { 1 };
    let request = SentRequest { may_repeat, max_attempts, status: None, sent_at: Instant::now() };
    ctx.recorder.record_request(id, request);
}

/// Connects to any entry whose process runs, for as long as all may be down. The proxy of an entry that is
/// down accepts connections as well.
async fn connect_once_back(ctx: &SoakContext, rng: &mut ChaCha8Rng) -> Option<CallerConnection> {
    let start = Instant::now();
    while start.elapsed() < MAX_ABSENCE {
        tokio::time::sleep(RETURN_PAUSE).await;
        let entry = rng.random_range(0..ctx.sizes.entries);
        if !fleet::is_running(ctx, ProcessName::Entry(entry)) {
            continue;
        }
        let connection = connect(ctx, entry).await;
        if connection.is_some() {
            return connection;
        }
    }
    None
}

/// Takes a stream that was cut off up at other entries, and checks that it goes on at its version.
async fn take_up(
    ctx: &SoakContext,
    draft: &RequestDraft,
    first_id: &str,
    first: CallerAnswer,
    began_at: Instant,
    rng: &mut ChaCha8Rng,
) {
    let mut held = first.received;
    let (mut is_complete, mut last_entry) = (first.is_complete, first.entry);
    let request_path = draft.kind.path();
    for number in 1..=MAX_RETURNS {
        if is_complete || held.last_event == 0 || held.last_event >= draft.events {
            return;
        }
        let entry = rng.random_range(0..ctx.sizes.entries);
        let header = RESUMES_HEADERS[rng.random_range(0..RESUMES_HEADERS.len())];
        let connection = match ctx.restarts_entries {
            true => connect_once_back(ctx, rng).await,
            false => {
                tokio::time::sleep(RETURN_PAUSE).await;
                connect(ctx, entry).await
            }
        };
        let Some(mut connection) = connection else { continue };
        let id = format!("{first_id}-{number}");
        record_request(ctx, RequestKind::Resumable, &id);
        let request = draft.request(&id, Some((header, first_id, held.last_event)));
        let sent_at = Instant::now();
        let is_left = |version: &String| has_two_engines(ctx, version);
        let was_left = held.versions.iter().all(is_left);
        let events = held.last_event..draft.leave_after(held.last_event, rng);
        let exchanging = exchange(ctx, &mut connection, request, &id, events);
        let limit = REQUEST_DEADLINE * 2;
        let Ok(answer) = tokio::time::timeout(limit, exchanging).await else { return };
        let has_gone_on = answer.received.last_event > held.last_event;
        let is_left = was_left && held.versions.iter().all(is_left);
        if has_gone_on || is_left && tables::is_plain(ctx, sent_at) {
            ctx.streams.record_taken_up(has_gone_on);
        }
        let (is_elsewhere, is_refused) = (answer.entry != last_entry, answer.is_refused);
        ctx.streams.record_return(StreamReturn { is_elsewhere, has_gone_on, is_refused });
        last_entry = answer.entry;
        held.versions.extend(answer.received.versions);
        held.last_event = held.last_event.max(answer.received.last_event);
        is_complete = answer.is_complete;
        if !tables::may_change_version(ctx, began_at, request_path) {
            check_versions(ctx, &id, &held);
        }
    }
}

/// Checks that a stream holds events of one version, which its engines state.
fn check_versions(ctx: &SoakContext, id: &str, held: &ReceivedEvents) {
    if held.versions.len() > 1 || held.versions.contains("") {
        let detail = format!("holds events of the versions {:?}", held.versions);
        ctx.recorder.record_request_violation("ORDER", id, detail);
    }
}

#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

impl RequestKind {
    /// Draws a kind, while releases are played most often that of streams which may be resumed.
    fn random(ctx: &SoakContext, rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..if ctx.plays_releases { 8 } else { 4 }) {
            0 => RequestKind::Safe,
            1 => RequestKind::Unsafe,
            2 => RequestKind::Stream,
            _ => RequestKind::Resumable,
        }
    }

    fn path(self) -> &'static str {
        match self {
            RequestKind::Safe => "/safe/a",
            RequestKind::Unsafe => "/unsafe/a",
            RequestKind::Stream => "/stream/a",
            RequestKind::Resumable => "/resumable/a",
        }
    }
}

/// A request without its id, which differs between the tries of a caller.
#[derive(Clone, Debug)]
struct RequestDraft {
    kind: RequestKind,
    key: &'static str,
    events: u64,
    prompt_tokens: u64,
    body_length: usize,
}

impl RequestDraft {
    fn random(kind: RequestKind, rng: &mut ChaCha8Rng) -> Self {
        let key = if rng.random_range(0..3) == 0 { LIMITED_KEY } else { FREE_KEY };
        let events = rng.random_range(1..=MAX_STREAM_EVENTS);
        let prompt_tokens = rng.random_range(50..2_000);
        RequestDraft { kind, key, events, prompt_tokens, body_length: body_length(rng) }
    }

    /// The event after which the caller leaves, of those after `last`; `u64::MAX` if it stays.
    fn leave_after(&self, last: u64, rng: &mut ChaCha8Rng) -> u64 {
        let leaves = matches!(self.kind, RequestKind::Resumable)
            && last + 1 < self.events
            && rng.random_range(0..LEAVE_INTERVAL) == 0;
        if leaves { rng.random_range(last + 1..self.events) } else { u64::MAX }
    }

    /// Builds a request. `resumed` has the name of the header, the attempt that brought the first event
    /// and the id of the last one, for a stream that is taken up.
    fn request(&self, id: &str, resumed: Option<(&str, &str, u64)>) -> Request<Full<Bytes>> {
        let body = request_body(&self.events.to_string(), id, self.body_length);
        let mut request = Request::post(self.kind.path())
            .header("host", ROUTE_HOST)
            .header("authorization", format!("Bearer {}", self.key))
            .header("tarragonknot-request-id", id)
            .header("tarragonknot-deadline-ms", REQUEST_DEADLINE.as_millis().to_string())
            .header("tarragonknot-token-count", format!("{},{}", self.prompt_tokens, self.events))
            .header("tarragonknot-prefix-hash", sound_prompt(self.events as usize));
        if let Some((header, first_id, last_event)) = resumed {
            request = request.header(header, first_id).header("last-event-id", last_event);
        }
        request.body(Full::new(Bytes::from(body))).expect("the request consists of valid parts")
    }
}

/// What came of a request.
#[derive(Debug, Default)]
struct CallerAnswer {
    entry: usize,
    /// True if the connection may be reused.
    is_reusable: bool,
    is_complete: bool,
    /// True if the entry answered that the request was not executed.
    is_refused: bool,
    received: ReceivedEvents,
}

/// Sends a request and checks the response. Its stream goes on after the event `events.start`, and its
/// caller leaves after `events.end`.
async fn exchange(
    ctx: &SoakContext,
    connection: &mut CallerConnection,
    request: Request<Full<Bytes>>,
    id: &str,
    events: Range<u64>,
) -> CallerAnswer {
    let (path, sent_at) = (request.uri().path().to_owned(), Instant::now());
    let is_stream = !path.contains("safe/");
    let record_end = |last_event, is_cut| {
        let entry = connection.entry;
        let (path, ended_at) = (path.clone(), Instant::now());
        let ended = EndedRequest { entry, path, sent_at, ended_at, last_event, is_cut };
        ctx.losses.record_end(id, ended);
    };
    let body = request.body().clone().collect().await.unwrap_or_default().to_bytes();
    let event_count: u64 = event_count_text(&body).parse().unwrap_or(0);
    let Ok(response) = connection.sender.send_request(request).await else {
        record_end(0, true);
        return CallerAnswer { entry: connection.entry, ..CallerAnswer::default() };
    };
    let status = response.status().as_u16();
    let is_reusable = response.headers().get("connection").is_none_or(|value| value != "close");
    let seal = response.headers().get("tarragonknot-server-seal").cloned();
    let answer = read_response_body(response.into_body(), events.end).await;
    if status != 200 {
        ctx.recorder.record_status(id, status);
        record_end(0, answer.1 == BodyEnd::Broken);
        let is_denied = matches!(status, 400..=407 | 409..=420 | 422..=428);
        let is_denied = is_denied && !tables::may_deny(ctx, sent_at, &path, status);
        if is_denied && ctx.time_since_disturbance() > Duration::from_secs(5) {
            let detail = format!("was refused with status {status} without a recent disturbance");
            ctx.recorder.record_request_violation("DENIED", id, detail);
        }
        let is_reusable = is_reusable && answer.1 == BodyEnd::Whole;
        let is_refused = NOT_EXECUTED_STATUSES.contains(&status);
        let entry = connection.entry;
        return CallerAnswer { entry, is_reusable, is_refused, ..CallerAnswer::default() };
    }
    let (text, body_end) = &answer;
    let is_complete = *body_end == BodyEnd::Whole;
    if is_complete {
        ctx.recorder.record_status(id, status);
    }
    if seal.is_none() {
        let detail = "received a success without the engine's seal header";
        ctx.recorder.record_request_violation("MIXED", id, detail);
    }
    let received = if is_stream { ReceivedEvents::read(text) } else { ReceivedEvents::default() };
    record_end(received.last_event, *body_end == BodyEnd::Broken);
    let text = if is_stream { &received.text } else { text };
    check_versions(ctx, id, &received);
    let expected = if is_stream {
        let text = |event| format!("id: {event}\ndata: {id} {event}\n\n");
        (events.start + 1..=event_count).map(text).collect()
    } else {
        format!("answer to {id}, {event_count}, {} bytes", body.len())
    };
    let is_expected = if is_complete {
        *text == expected
    } else {
        is_stream && expected.starts_with(text.as_str())
    };
    if is_stream && is_complete && !is_expected && expected.starts_with(text.as_str()) {
        let detail =
            format!("ends as complete after event {} of {event_count}", received.last_event);
        ctx.recorder.record_request_violation("ORDER", id, detail);
    }
    // A response that is visibly truncated may be incomplete, but the received part of a stream
    // must still belong to this request.
    if !is_expected && (is_complete || is_stream) {
        let detail = format!("received {text:?}, expected {expected:?}, complete: {is_complete}");
        ctx.recorder.record_request_violation("MIXED", id, detail);
    }
    CallerAnswer {
        entry: connection.entry,
        is_reusable: is_reusable && is_complete,
        is_complete,
        is_refused: false,
        received,
    }
}

/// How the reading of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    Whole,
    /// The connection failed.
    Broken,
    /// The caller has left.
    Left,
}

/// Reads the response body, or the part received before the connection failed, or up to the event
/// `last_event`.
async fn read_response_body(mut body: Incoming, last_event: u64) -> (String, BodyEnd) {
    let mut text = String::new();
    loop {
        if last_event < u64::MAX && ReceivedEvents::read(&text).last_event >= last_event {
            return (text, BodyEnd::Left);
        }
        match body.frame().await {
            None => return (text, BodyEnd::Whole),
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&bytes));
            }
            Some(Err(_)) => return (text, BodyEnd::Broken),
        }
    }
}
