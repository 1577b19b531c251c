//! What a platform's headers say, in our words. The platform's adapter implements the trait; traffic decides.

use crate::policy::LoadReport;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use std::time::Duration;

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerFacts {
    /// The caller's id of this attempt; upstreams echo it.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Prompt tokens.
    pub prompt_tokens: Option<u32>,
    /// Most output tokens.
    pub output_limit: Option<u32>,
    /// The caller's guess of output tokens; right at the median, often far off.
    pub output_guess: Option<u32>,
    /// The last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
}

/// What the daemon tells an upstream beside the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// What is left of the caller's time.
    pub deadline: Option<Duration>,
    /// The upstream's incarnation that is meant; another one must not run the request.
    pub incarnation: &'a str,
    /// The organisation whose key the caller has.
    pub organisation: Option<&'a str>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// The place that the upstream reserved for the request.
    pub place: Option<&'a str>,
}

/// A place that is asked for at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlaceWanted<'a> {
    /// The upstream's incarnation that is meant.
    pub incarnation: &'a str,
    /// Tokens of prompt and answer together, at most.
    pub tokens: u32,
    /// How long it is to be held for the request to come.
    pub held_for: Duration,
}

/// What an upstream says to one who asks for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceWord {
    /// It has one.
    Reserved {
        /// The place's name.
        place: String,
        /// The upstream's incarnation, where it says.
        incarnation: Option<u64>,
    },
    /// It has none.
    Full,
    /// It is another incarnation than was meant.
    OtherIncarnation,
    /// It does not reserve places, or not now.
    Unknown,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub echo: Option<String>,
    /// True if the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// True if the upstream is another incarnation than was meant.
    pub is_other_incarnation: bool,
    /// True if the answer bears the upstream's signature.
    pub is_signed: bool,
    /// Its load.
    pub load: Option<LoadReport>,
    /// How long it keeps the connection open while idle.
    pub keeps_idle: Option<Duration>,
}

/// A platform's headers.
pub trait CallDialect: Send + Sync {
    /// Reads a caller's headers.
    fn read_caller(&self, headers: &HeaderMap) -> CallerFacts;
    /// Makes a caller's headers those that go to an upstream.
    fn write_send(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);
    /// Reads the head of an answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
    /// The call that asks for a place; none if the platform has none.
    fn place_call(&self, wanted: &PlaceWanted<'_>) -> Option<Request<Bytes>>;
    /// Reads the answer to such a call.
    fn read_place(&self, status: StatusCode, body: &[u8]) -> PlaceWord;
}
