//! Request and response headers exchanged with callers and engines.

use crate::policy::{LoadReport, PrefixMark, RateStatement};
use crate::quarantine::PromptPart;
use crate::traffic::{
    AnswerMetadata, CallDialect, CallerMetadata, ReservationReply, ReservationRequest, SendMetadata,
};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const REQUEST_ID: &str = "tarragonknot-request-id";
const DEADLINE: &str = "tarragonknot-deadline-ms";
const TOKEN_COUNT: &str = "tarragonknot-token-count";
const LENGTH_HINT: &str = "tarragonknot-length-hint";
const PREFIX_HASH: &str = "tarragonknot-prefix-hash";
/// Maximum number of prompt parts that are read.
const MAX_PROMPT_PARTS: usize = 64;
const LAST_EVENT_ID: &str = "last-event-id";
/// The platform's specification names the header without the usual prefix, so both names are read.
const RESUMES: [&str; 2] = ["resumes", "tarragonknot-resumes"];
const EXPECT_INSTANCE: &str = "tarragonknot-expect-instance";
const INSTANCE: &str = "tarragonknot-instance-id";
const TENANT: &str = "tarragonknot-tenant";
const SERVER_SEAL: &str = "tarragonknot-server-seal";
const NOT_EXECUTED: &str = "tarragonknot-not-executed";
const SERVER_LOAD: &str = "tarragonknot-server-load";
const KEEP_ALIVE: &str = "keep-alive";
const COLD: &str = "tarragonknot-cold-ms";
/// The platform's announcement of the header lacks the usual prefix, so both names are read.
const RATE_LIMITS: [&str; 2] = ["server-limit", "tarragonknot-server-limit"];
/// Both names are read, as for [`RATE_LIMITS`].
const BRITTLE: [&str; 2] = ["server-brittle", "tarragonknot-server-brittle"];
/// Both names are read, as for [`RATE_LIMITS`].
const LEAVING: [&str; 2] = ["server-leaving", "tarragonknot-server-leaving"];
/// Both names are read, as for [`RATE_LIMITS`].
const REST: [&str; 2] = ["retry-after", "tarragonknot-retry-after"];
/// Longest rest of an engine that is observed; a longer one is cut to it.
const MAX_REST: Duration = Duration::from_secs(600);
const HOLD: &str = "tarragonknot-hold";
const HOLD_TAKE_PATH: &str = "/-/hold-take";
/// The report of a model engine, which waits for no slot.
const REPORT_PATH: &str = "/-/report";
/// Headers removed from callers' requests: only this system may set them on requests to engines.
const SYSTEM_ONLY_HEADERS: [&str; 8] = [
    EXPECT_INSTANCE,
    TENANT,
    "tarragonknot-expect-version",
    "tarragonknot-pin-ms",
    HOLD,
    "tarragonknot-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// Body of a request that reserves a place on an engine.
#[derive(Debug, Serialize)]
struct HoldRequest {
    tokens: u32,
    ttl_ms: u64,
}

/// The engine's response. The platform's specification leaves open whether the reservation id is
/// a string or a number, so both are accepted.
#[derive(Debug, Deserialize)]
struct HoldResponse {
    hold: serde_json::Value,
    /// Start time of the engine in Unix milliseconds, if the engine reports it.
    #[serde(default)]
    born: serde_json::Value,
}

fn hold_id(hold: &serde_json::Value) -> String {
    hold.as_str().map_or_else(|| hold.to_string(), str::to_owned)
}

/// Reads and writes the platform's headers.
#[derive(Debug)]
pub struct HeaderDialect;

impl CallDialect for HeaderDialect {
    fn read_caller(&self, headers: &HeaderMap) -> CallerMetadata {
        // Format: `PROMPT_TOKENS,MAX_OUTPUT_TOKENS`.
        let counts = text(headers, TOKEN_COUNT).and_then(|counts| counts.split_once(','));
        let entries = read_prompt_entries(headers).unwrap_or_default();
        CallerMetadata {
            id: text(headers, REQUEST_ID).map(str::to_owned),
            key: bearer_key(headers).map(str::to_owned),
            deadline: number(headers, DEADLINE).map(Duration::from_millis),
            prompt_tokens: counts.and_then(|(prompt, _)| prompt.trim().parse().ok()),
            output_limit: counts.and_then(|(_, output)| output.trim().parse().ok()),
            output_guess: number(headers, LENGTH_HINT),
            last_event_id: number(headers, LAST_EVENT_ID),
            resumes: RESUMES.iter().find_map(|name| text(headers, name)).map(str::to_owned),
            prompt_parts: entries.iter().map(|(id, _)| PromptPart::of(id.as_bytes())).collect(),
            prefix: prefix_of(&entries),
        }
    }

    fn write_upstream_headers(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>) {
        headers.remove(AUTHORIZATION);
        SYSTEM_ONLY_HEADERS.iter().for_each(|name| drop(headers.remove(*name)));
        let mut set = |name: &'static str, value: String| {
            HeaderValue::from_str(&value).into_iter().for_each(|value| {
                headers.insert(name, value);
            });
        };
        set(EXPECT_INSTANCE, metadata.incarnation.to_owned());
        metadata.organisation.into_iter().for_each(|name| set(TENANT, name.to_owned()));
        metadata
            .deadline
            .into_iter()
            .for_each(|remaining| set(DEADLINE, remaining.as_millis().max(1).to_string()));
        metadata.last_event_id.into_iter().for_each(|event| set(LAST_EVENT_ID, event.to_string()));
        metadata.place_id.into_iter().for_each(|place_id| set(HOLD, place_id.to_owned()));
    }

    fn reservation_call(&self, request: &ReservationRequest<'_>) -> Option<Request<Bytes>> {
        let body =
            HoldRequest { tokens: request.tokens, ttl_ms: request.hold_time.as_millis() as u64 };
        Request::post(HOLD_TAKE_PATH)
            .header(CONTENT_TYPE, "application/json")
            .header(EXPECT_INSTANCE, request.incarnation)
            .body(serde_json::to_vec(&body).ok()?.into())
            .ok()
    }

    fn report_call(&self, incarnation: &str) -> Option<Request<Bytes>> {
        Request::get(REPORT_PATH).header(EXPECT_INSTANCE, incarnation).body(Bytes::new()).ok()
    }

    fn read_reservation(&self, status: StatusCode, body: &[u8]) -> ReservationReply {
        match status {
            StatusCode::OK => match serde_json::from_slice(body) {
                Ok(HoldResponse { hold, born }) => {
                    ReservationReply::Reserved { id: hold_id(&hold), incarnation: born.as_u64() }
                }
                Err(_) => ReservationReply::Unknown,
            },
            StatusCode::SERVICE_UNAVAILABLE => ReservationReply::Full,
            StatusCode::MISDIRECTED_REQUEST => ReservationReply::OtherIncarnation,
            _ => ReservationReply::Unknown,
        }
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata {
        let is_signed = headers.contains_key(SERVER_SEAL);
        // Engines seal the answers of runs only: a sealed 421 is the engine's own failure.
        let is_other_incarnation = status == StatusCode::MISDIRECTED_REQUEST && !is_signed;
        AnswerMetadata {
            echoed_id: text(headers, REQUEST_ID).filter(|id| !id.is_empty()).map(str::to_owned),
            is_not_run: is_other_incarnation || headers.contains_key(NOT_EXECUTED),
            is_other_incarnation,
            incarnation: text(headers, INSTANCE).map(str::to_owned),
            is_signed,
            load: text(headers, SERVER_LOAD).and_then(read_load),
            idle_timeout: text(headers, KEEP_ALIVE).and_then(read_keep_alive),
            cold_left: number::<f64>(headers, COLD).and_then(read_cold),
            stated_rate: read_rate(headers),
            rejections_per_second: BRITTLE.iter().find_map(|name| number(headers, name)),
            rest: read_rest(status, headers),
            is_leaving: LEAVING.iter().find_map(|name| text(headers, name)).is_some_and(is_true),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(headers, AUTHORIZATION.as_str())?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Reads the `ID:TOKENS` entries of a prompt, without the last one, which belongs to the request or its
/// session; `None` if any of them is not readable.
fn read_prompt_entries(headers: &HeaderMap) -> Option<Vec<(String, u32)>> {
    let mut parts = Vec::new();
    for value in headers.get_all(PREFIX_HASH) {
        for entry in value.to_str().ok()?.split(',') {
            let (id, tokens) = entry.trim().split_once(':')?;
            let is_readable = id.bytes().all(|byte| byte.is_ascii_hexdigit()) && !id.is_empty();
            let tokens = tokens.trim().parse::<u32>().ok().filter(|_| is_readable)?;
            parts.push((id.to_ascii_lowercase(), tokens));
        }
    }
    parts.pop();
    parts.truncate(MAX_PROMPT_PARTS);
    Some(parts)
}

/// Cumulative hashes and token counts of a prompt's parts.
fn prefix_of(entries: &[(String, u32)]) -> Box<[PrefixMark]> {
    let marks = entries.iter().scan(PrefixMark { hash: 0, tokens: 0 }, |mark, (id, tokens)| {
        mark.hash = xxh3_64_with_seed(id.as_bytes(), mark.hash);
        mark.tokens = mark.tokens.saturating_add(*tokens);
        Some(*mark)
    });
    marks.collect()
}

/// Parses `RUNNING,QUEUED,SLOTS`; the slots are ignored.
fn read_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let queued = numbers.next()??;
    Some(LoadReport { running, queued, ..LoadReport::default() })
}

/// Converts the milliseconds for which an engine stays cold; `None` if it is not cold.
fn read_cold(millis: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(millis / 1_000.0).ok().filter(|left| !left.is_zero())
}

/// Reads the requests per second that an engine takes; `None` if the value is not a finite number of
/// at least 0.
fn read_rate(headers: &HeaderMap) -> Option<RateStatement> {
    let Some(value) = RATE_LIMITS.iter().find_map(|name| headers.get(*name)) else {
        return Some(RateStatement::Unlimited);
    };
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(RateStatement::Limited(rate))
}

fn is_true(text: &str) -> bool {
    !matches!(text.trim(), "" | "0" | "false")
}

/// Reads the rest that an engine asks for with a 503, in seconds; `None` if it asks for none, or in
/// another form.
fn read_rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = REST.iter().find_map(|name| number(headers, name))?;
    let is_asked = status == StatusCode::SERVICE_UNAVAILABLE && seconds > 0.0;
    is_asked.then(|| Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
}

/// Parses `timeout=SECONDS` and ignores other parameters.
fn read_keep_alive(text: &str) -> Option<Duration> {
    let mut parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
