//! Headers of callers and engines.

use crate::policy::LoadReport;
use crate::traffic::{AnswerFacts, CallDialect, CallerFacts, SendFacts};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, StatusCode};
use std::str::FromStr;
use std::time::Duration;

const REQUEST_ID: &str = "tarragonknot-request-id";
const DEADLINE: &str = "tarragonknot-deadline-ms";
const TOKEN_COUNT: &str = "tarragonknot-token-count";
const LENGTH_HINT: &str = "tarragonknot-length-hint";
const LAST_EVENT: &str = "last-event-id";
const EXPECT_INSTANCE: &str = "tarragonknot-expect-instance";
const TENANT: &str = "tarragonknot-tenant";
const SEAL: &str = "tarragonknot-server-seal";
const NOT_EXECUTED: &str = "tarragonknot-not-executed";
const SERVER_LOAD: &str = "tarragonknot-server-load";
const KEEP_ALIVE: &str = "keep-alive";
/// Headers that only the system may set towards engines.
const SYSTEM_ONLY: [&str; 8] = [
    EXPECT_INSTANCE,
    TENANT,
    "tarragonknot-expect-version",
    "tarragonknot-pin-ms",
    "tarragonknot-hold",
    "tarragonknot-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// The platform's headers.
#[derive(Debug)]
pub struct HeaderDialect;

impl CallDialect for HeaderDialect {
    fn read_caller(&self, headers: &HeaderMap) -> CallerFacts {
        // Two numbers: prompt tokens, and the most output tokens.
        let counts = text(headers, TOKEN_COUNT).and_then(|counts| counts.split_once(','));
        CallerFacts {
            id: text(headers, REQUEST_ID).map(str::to_owned),
            key: bearer(headers).map(str::to_owned),
            deadline: number(headers, DEADLINE).map(Duration::from_millis),
            prompt_tokens: counts.and_then(|(prompt, _)| prompt.trim().parse().ok()),
            output_limit: counts.and_then(|(_, output)| output.trim().parse().ok()),
            output_guess: number(headers, LENGTH_HINT),
            last_event: number(headers, LAST_EVENT),
        }
    }

    fn write_send(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>) {
        headers.remove(AUTHORIZATION);
        SYSTEM_ONLY.iter().for_each(|name| drop(headers.remove(*name)));
        let mut set = |name: &'static str, value: String| {
            HeaderValue::from_str(&value).into_iter().for_each(|value| {
                headers.insert(name, value);
            });
        };
        set(EXPECT_INSTANCE, facts.incarnation.to_owned());
        facts.organisation.into_iter().for_each(|name| set(TENANT, name.to_owned()));
        facts
            .deadline
            .into_iter()
            .for_each(|left| set(DEADLINE, left.as_millis().max(1).to_string()));
        facts.last_event.into_iter().for_each(|event| set(LAST_EVENT, event.to_string()));
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts {
        let is_other_incarnation = status == StatusCode::MISDIRECTED_REQUEST;
        AnswerFacts {
            echo: text(headers, REQUEST_ID).map(str::to_owned),
            is_not_run: is_other_incarnation || headers.contains_key(NOT_EXECUTED),
            is_other_incarnation,
            is_signed: headers.contains_key(SEAL),
            load: text(headers, SERVER_LOAD).and_then(read_load),
            keeps_idle: text(headers, KEEP_ALIVE).and_then(read_keep_alive),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(headers, AUTHORIZATION.as_str())?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Running requests, waiting requests, slots.
fn read_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let queued = numbers.next()??;
    Some(LoadReport { running, queued, ..LoadReport::default() })
}

/// `timeout=SECONDS`, among other parameters.
fn read_keep_alive(text: &str) -> Option<Duration> {
    let mut parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
