//! Platform-independent view of a platform's headers.
//!
//! A platform adapter implements [`CallDialect`]; all decisions are made by the traffic code.

use crate::policy::{LoadReport, PrefixMark, RateStatement};
use crate::quarantine::PromptPart;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use std::time::Duration;

/// Metadata that a caller sends in its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerMetadata {
    /// The caller's id of this attempt, which upstreams echo.
    pub id: Option<String>,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// Number of prompt tokens.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of output tokens.
    pub output_limit: Option<u32>,
    /// The caller's estimate of output tokens: correct at the median, but often far off.
    pub output_guess: Option<u32>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Box<[PromptPart]>,
    /// The same parts as cumulative hashes with token counts.
    pub prefix: Box<[PrefixMark]>,
}

/// Metadata that the daemon adds to a request sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendMetadata<'a> {
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
    /// The expected incarnation of the upstream; any other must not run the request.
    pub incarnation: &'a str,
    /// The organisation that owns the caller's key.
    pub organisation: Option<&'a str>,
    /// Id of the event after which a stream resumes.
    pub last_event_id: Option<u64>,
    /// Id of the place that the upstream reserved for the request.
    pub place_id: Option<&'a str>,
}

/// A request to an upstream to reserve a place.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest<'a> {
    /// The expected incarnation of the upstream.
    pub incarnation: &'a str,
    /// Maximum number of prompt and output tokens together.
    pub tokens: u32,
    /// How long the upstream holds the place for the request to arrive.
    pub hold_time: Duration,
}

/// An upstream's reply to a reservation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReservationReply {
    /// A place was reserved.
    Reserved {
        /// Id of the place.
        id: String,
        /// The upstream's incarnation, if the reply states it.
        incarnation: Option<u64>,
    },
    /// No place is free.
    Full,
    /// The upstream is not the expected incarnation.
    OtherIncarnation,
    /// The upstream does not reserve places, permanently or for now.
    Unknown,
}

/// Metadata in the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Id of the request that the upstream answers.
    pub echoed_id: Option<String>,
    /// True if the upstream reports that it did not run the request.
    pub is_not_run: bool,
    /// True if the upstream is not the expected incarnation.
    pub is_other_incarnation: bool,
    /// The incarnation that answers, if it names itself.
    pub incarnation: Option<String>,
    /// True if the answer carries the upstream's signature.
    pub is_signed: bool,
    /// The load that the upstream reports.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// How much longer the upstream is cold, if it says that it is.
    pub cold_left: Option<Duration>,
    /// The rate at which the upstream takes requests; `None` if what it says is not readable.
    pub stated_rate: Option<RateStatement>,
    /// Number of requests per second that the upstream can reject for lack of capacity before it
    /// fails, if it states one.
    pub rejections_per_second: Option<u32>,
    /// How long the upstream, which turned the request away, wants no further one from this daemon.
    pub rest: Option<Duration>,
    /// True if the upstream says that it leaves.
    pub is_leaving: bool,
}

/// Reads and writes the headers of one platform.
pub trait CallDialect: Send + Sync {
    /// Reads a caller's headers.
    fn read_caller(&self, headers: &HeaderMap) -> CallerMetadata;
    /// Turns a caller's headers into those of the request to an upstream.
    fn write_upstream_headers(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);
    /// Reads the metadata of an answer from its status and headers.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata;
    /// Builds the request that reserves a place; `None` if the platform has no reservations.
    fn reservation_call(&self, request: &ReservationRequest<'_>) -> Option<Request<Bytes>>;
    /// Builds the request for the report of a model engine, which is answered without a wait for a place;
    /// `None` if the platform has no such report.
    fn report_call(&self, incarnation: &str) -> Option<Request<Bytes>>;
    /// Reads the reply to a reservation request.
    fn read_reservation(&self, status: StatusCode, body: &[u8]) -> ReservationReply;
}
