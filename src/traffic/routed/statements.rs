//! What an upstream says of itself in the head of an answer.

use super::dialect::AnswerMetadata;
use super::request::RoutedRequest;
use crate::policy::{PoolEvent, UpstreamIndex};
use crate::report::{record_rejection_bound, record_rest, record_stated_rate};
use crate::table::UpstreamName;
use crate::traffic::pool_runtime::PoolRuntime;
use slog::info;
use std::time::Duration;

/// The upstream that an answer came from.
#[derive(Clone, Copy)]
pub struct AnsweringUpstream<'a> {
    pub pool: &'a PoolRuntime,
    pub index: UpstreamIndex,
    pub name: &'a UpstreamName,
}

impl RoutedRequest {
    /// Applies the statements in an answer to a request.
    pub fn apply_statements(&self, from: AnsweringUpstream<'_>, metadata: &AnswerMetadata) {
        if metadata.is_other_incarnation {
            return;
        }
        self.apply_rate(from, metadata);
        self.apply_rejection_bound(from, metadata.rejections_per_second);
        self.apply_availability(from, metadata);
    }

    /// Applies whether the upstream wants further requests, which it may say in any reply.
    pub fn apply_availability(&self, from: AnsweringUpstream<'_>, metadata: &AnswerMetadata) {
        if metadata.is_other_incarnation {
            return;
        }
        if let Some(rest) = metadata.rest {
            self.apply_rest(from, rest);
        }
        if metadata.is_leaving {
            self.apply_departure(from);
        }
    }

    fn apply_rate(&self, from: AnsweringUpstream<'_>, metadata: &AnswerMetadata) {
        let AnsweringUpstream { pool, index, name } = from;
        let Some(rate) = metadata.stated_rate else { return };
        let Some(before) = pool.state_rate(index, rate) else { return };
        record_stated_rate(name.as_str(), rate);
        info!(self.state.log, "upstream states another rate"; "request" => self.id(), "upstream" => name.as_str(),
            "service" => pool.service.as_str(), "rate" => format!("{rate:?}"), "before" => format!("{before:?}"));
    }

    fn apply_rejection_bound(&self, from: AnsweringUpstream<'_>, bound: Option<u32>) {
        let AnsweringUpstream { pool, index, name } = from;
        let Some(before) = pool.state_rejection_bound(index, bound) else { return };
        record_rejection_bound(name.as_str(), bound);
        info!(self.state.log, "upstream states another bound on rejections"; "request" => self.id(), "upstream" => name.as_str(),
            "service" => pool.service.as_str(), "per_second" => bound, "before" => before);
    }

    /// Gives the upstream no new work, whatever lists say of this incarnation from now on.
    fn apply_departure(&self, from: AnsweringUpstream<'_>) {
        let AnsweringUpstream { pool, index, name } = from;
        let is_new = pool.is_in_service(index);
        let notice = |upstream| PoolEvent::DepartureStated { upstream };
        self.state.notify_pools(&pool.service, name, notice);
        if is_new {
            info!(self.state.log, "upstream says that it leaves"; "request" => self.id(), "upstream" => name.as_str(),
                "service" => pool.service.as_str());
        }
    }

    fn apply_rest(&self, from: AnsweringUpstream<'_>, time: Duration) {
        let AnsweringUpstream { pool, name, .. } = from;
        self.state
            .notify_pools(&pool.service, name, |upstream| PoolEvent::RestAsked { upstream, time });
        record_rest(&pool.service);
        info!(self.state.log, "upstream asks for rest"; "request" => self.id(), "upstream" => name.as_str(),
            "service" => pool.service.as_str(), "rest_ms" => time.as_millis() as u64);
    }
}
