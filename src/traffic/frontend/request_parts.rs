//! Parses and validates the head and the body of a request; each error names the faulty part.

use crate::answer::AnswerKind;
use crate::policy::{PrefixMark, prefix_marks};
use crate::quarantine::PromptPart;
use crate::table::{ServiceKind, ServiceRow};
use crate::traffic::model_call::ModelCall;
use crate::traffic::state::TableSnapshot;
use crate::upstream::REQUEST_ID_HEADER;
use axum::body::Body;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;

/// Header with the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "tarragonknot-deadline-ms";
/// Header that states whether the request may be repeated: `yes` or `no`.
const IDEMPOTENT_HEADER: &str = "tarragonknot-idempotent";
/// Header with the caller's key for one logical request (IETF draft `idempotency-key-header`).
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;
/// Header with the purpose of the request, which assignments may match.
pub const PURPOSE_HEADER: &str = "tarragonknot-purpose";
/// Request paths of model services.
pub const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Time within which a caller must send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A refusal of a request before its admission.
pub struct EarlyRefusal {
    pub kind: AnswerKind,
    pub detail: String,
}

impl From<AnswerKind> for EarlyRefusal {
    fn from(kind: AnswerKind) -> Self {
        EarlyRefusal { kind, detail: String::new() }
    }
}

impl EarlyRefusal {
    pub fn bad(detail: impl Into<String>) -> Self {
        EarlyRefusal { kind: AnswerKind::BadRequest, detail: detail.into() }
    }
}

/// Properties of a request that are read from its body.
pub struct RequestProperties {
    pub service: String,
    pub wants_stream: bool,
    pub prompt_bytes: usize,
    pub output_limit: Option<u32>,
    pub prefix: Box<[PrefixMark]>,
    /// Parts of the prompt that other requests may share.
    pub parts: Box<[PromptPart]>,
}

impl RequestProperties {
    pub fn plain(service: String, body_bytes: usize) -> Self {
        RequestProperties {
            service,
            wants_stream: false,
            prompt_bytes: body_bytes,
            output_limit: None,
            prefix: Box::default(),
            parts: Box::default(),
        }
    }
}

pub fn model_properties(method: &Method, body: &Bytes) -> Result<RequestProperties, EarlyRefusal> {
    if *method != Method::POST {
        return Err(EarlyRefusal::bad(format!("method {method}; expected POST")));
    }
    let call =
        ModelCall::read(body).map_err(|error| EarlyRefusal::bad(format!("body: {error}")))?;
    let text = call.prompt_text();
    let output_limit = call.output_limit();
    Ok(RequestProperties {
        wants_stream: call.stream,
        prompt_bytes: text.len(),
        output_limit,
        prefix: prefix_marks(text.as_bytes()),
        parts: call.prompt_parts(),
        service: call.model,
    })
}

pub fn check_service(
    service: &ServiceRow,
    is_model: bool,
    body_bytes: usize,
) -> Result<(), EarlyRefusal> {
    if is_model != (service.kind == ServiceKind::Model) {
        return Err(AnswerKind::ServiceUnknown.into());
    }
    if body_bytes > service.body_limit as usize {
        return Err(AnswerKind::BodyTooLarge.into());
    }
    Ok(())
}

/// Largest body limit of any model service; bounds the read, since only the body names the service.
pub fn max_model_body_limit(snapshot: &TableSnapshot) -> usize {
    let models = snapshot.access.services().filter(|row| row.kind == ServiceKind::Model);
    models.map(|row| row.body_limit as usize).max().unwrap_or(0)
}

pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, EarlyRefusal> {
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(AnswerKind::BodyTooLarge.into())
        }
        Ok(Err(error)) => Err(EarlyRefusal::bad(format!("body: {error}"))),
        Err(_) => Err(EarlyRefusal::bad(format!("body: not complete within {BODY_TIMEOUT:?}"))),
    }
}

pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

pub fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, EarlyRefusal> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| EarlyRefusal::bad(format!("header {name}: expected visible ASCII text")))
}

pub fn parse_deadline(headers: &HeaderMap, service: &ServiceRow) -> Result<Duration, EarlyRefusal> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else { return Ok(service.deadline_ms) };
    let millis: u64 = text.parse().map_err(|_| {
        EarlyRefusal::bad(format!(
            "header {DEADLINE_HEADER}: found {text}; expected whole milliseconds"
        ))
    })?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

pub fn parse_idempotent(
    headers: &HeaderMap,
    service: &ServiceRow,
    method: &Method,
) -> Result<bool, EarlyRefusal> {
    match header_text(headers, IDEMPOTENT_HEADER)? {
        None => Ok(service.is_idempotent(method.as_str())),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(EarlyRefusal::bad(format!(
            "header {IDEMPOTENT_HEADER}: found {other}; expected yes or no"
        ))),
    }
}

/// The path and query after the service's name.
pub fn stripped_uri(uri: &Uri, service: &str) -> Result<Uri, EarlyRefusal> {
    let original = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = original.trim_start_matches('/').strip_prefix(service).unwrap_or("/");
    let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    path.parse().map_err(|error| EarlyRefusal::bad(format!("path {path}: {error}")))
}

/// The caller's end-to-end headers, without its API key and the headers addressed to this daemon.
pub fn upstream_headers(headers: &HeaderMap, is_model: bool) -> HeaderMap {
    let mut forwarded = crate::upstream::end_to_end_headers(headers);
    let daemon_headers =
        [DEADLINE_HEADER, IDEMPOTENT_HEADER, PURPOSE_HEADER, REQUEST_ID_HEADER, "expect"];
    daemon_headers.iter().for_each(|name| {
        forwarded.remove(*name);
    });
    forwarded.remove(AUTHORIZATION);
    if is_model {
        forwarded.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    forwarded
}
