//! Operator calls for versioned whole tables, rollouts and evacuations, which the leader decides.

use super::ledger::{NumberedOutcome, NumberedTable};
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::LeaderAnswer;
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{DataCentreName, FaultList, ServiceName, TableReader};
use slog::{Logger, info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for the answer of the control loop; operators try another daemon after one second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorAnswer<T> {
    /// The leader's answer.
    Done(T),
    /// The control address of the leader, to which the call must be sent instead.
    Elsewhere(SocketAddr),
    /// No answer is available, and the call may or may not have taken effect.
    Unknown,
    /// The request is invalid and was not applied.
    Invalid(FaultList),
}

/// Performs operators' calls on the control loop.
pub struct OperatorClient {
    control: ControlHandle,
    reader: Arc<dyn TableReader>,
    /// The data centres of the fleet; empty if the settings name none.
    data_centres: BTreeSet<DataCentreName>,
    log: Logger,
}

impl OperatorClient {
    /// Creates a client of `control` that parses tables with `reader`. Orders may concern any data
    /// centre until [`with_data_centres`](Self::with_data_centres) names them.
    pub fn new(control: ControlHandle, reader: Arc<dyn TableReader>, log: Logger) -> Self {
        OperatorClient { control, reader, data_centres: BTreeSet::new(), log }
    }

    /// Restricts orders to these data centres; an empty set restricts nothing.
    pub fn with_data_centres(mut self, data_centres: BTreeSet<DataCentreName>) -> Self {
        self.data_centres = data_centres;
        self
    }

    /// Returns true if orders may concern `data_centre`.
    pub fn knows_data_centre(&self, data_centre: &DataCentreName) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(data_centre)
    }

    /// Replaces the table. Acknowledged once a quorum has stored it, and also if a higher version
    /// is already stored.
    pub async fn replace_table(&self, document: String) -> OperatorAnswer<NumberedOutcome> {
        let version = match self.reader.read(&document) {
            Ok((version, _)) => version,
            Err(faults) => {
                warn!(self.log, "rejected an invalid table from an operator"; "faults" => faults.to_string());
                return OperatorAnswer::Invalid(faults);
            }
        };
        let numbered = Box::new(NumberedTable { version, document: Arc::from(document) });
        let asked_at = Instant::now();
        let answer = self.ask(|reply| ControlRequest::Replace { numbered, reply }).await;
        let outcome = match &answer {
            OperatorAnswer::Done(outcome) => format!("{outcome:?}"),
            OperatorAnswer::Elsewhere(leader) => format!("redirected to {leader}"),
            _ => "unknown".to_owned(),
        };
        info!(self.log, "operator request to replace the table"; "version" => version, "outcome" => outcome,
            "taken_ms" => asked_at.elapsed().as_millis() as u64);
        answer
    }

    /// Returns the document of the newest table.
    pub async fn read_table(&self) -> OperatorAnswer<Arc<str>> {
        let answer = self.ask(|reply| ControlRequest::Table { version: None, reply }).await;
        match answer {
            OperatorAnswer::Done(Some(table)) => {
                table.document.map_or(OperatorAnswer::Unknown, OperatorAnswer::Done)
            }
            OperatorAnswer::Done(None) | OperatorAnswer::Unknown => OperatorAnswer::Unknown,
            OperatorAnswer::Elsewhere(leader) => OperatorAnswer::Elsewhere(leader),
            OperatorAnswer::Invalid(faults) => OperatorAnswer::Invalid(faults),
        }
    }

    /// Begins a rollout. Acknowledged once a quorum has stored the order. The newest table must
    /// contain the service.
    pub async fn begin_rollout(&self, order: RolloutOrder) -> OperatorAnswer<RolloutReply> {
        let document = match self.read_table().await {
            OperatorAnswer::Done(document) => document,
            OperatorAnswer::Elsewhere(leader) => return OperatorAnswer::Elsewhere(leader),
            _ => return OperatorAnswer::Unknown,
        };
        let is_known = self
            .reader
            .read(&document)
            .is_ok_and(|(_, table)| table.services.iter().any(|row| row.service == order.service));
        if !is_known {
            // A copy of an accepted order must not be refused because its service was removed since.
            match self.newest_rollout(&order.service).await {
                OperatorAnswer::Done(Some(record)) if record.order == order => {
                    return OperatorAnswer::Done(RolloutReply::Accepted(record));
                }
                OperatorAnswer::Done(_) => {}
                OperatorAnswer::Elsewhere(leader) => return OperatorAnswer::Elsewhere(leader),
                _ => return OperatorAnswer::Unknown,
            }
            let mut faults = FaultList::default();
            faults.add("/service", &order.service, "a service of the table in force");
            return OperatorAnswer::Invalid(faults);
        }
        let (service, to) = (order.service.clone(), order.to.clone());
        let answer = self.ask(|reply| ControlRequest::Rollout { order, reply }).await;
        let outcome = match &answer {
            OperatorAnswer::Done(RolloutReply::Accepted(record)) => format!("{:?}", record.stage),
            OperatorAnswer::Done(RolloutReply::Busy(record)) => {
                format!("another rollout is in progress, to {}", record.order.to)
            }
            OperatorAnswer::Done(RolloutReply::Overtaken(record)) => {
                format!("accepted earlier; a later rollout is in progress, to {}", record.order.to)
            }
            OperatorAnswer::Elsewhere(leader) => format!("redirected to {leader}"),
            _ => "unknown".to_owned(),
        };
        info!(self.log, "operator request to begin a rollout"; "service" => service.as_str(), "to" => to.as_str(), "outcome" => outcome);
        match answer {
            // An accepted order must not be refused, nor a new one acknowledged.
            OperatorAnswer::Done(RolloutReply::Overtaken(_)) => OperatorAnswer::Unknown,
            answer => answer,
        }
    }

    /// Returns the newest rollout of a service, if there has been one.
    pub async fn newest_rollout(
        &self,
        service: &ServiceName,
    ) -> OperatorAnswer<Option<RolloutRecord>> {
        match self.ask(|reply| ControlRequest::Rollouts { reply }).await {
            OperatorAnswer::Done(records) => OperatorAnswer::Done(
                records.into_iter().find(|record| record.order.service == *service),
            ),
            OperatorAnswer::Elsewhere(leader) => OperatorAnswer::Elsewhere(leader),
            OperatorAnswer::Unknown => OperatorAnswer::Unknown,
            OperatorAnswer::Invalid(faults) => OperatorAnswer::Invalid(faults),
        }
    }

    /// Evacuates a data centre or returns it to use. Acknowledged once a quorum has stored the
    /// order, and also if the data centre is in that stage already.
    pub async fn evacuate(&self, order: EvacuationOrder) -> OperatorAnswer<EvacuationRecord> {
        let EvacuationOrder { data_centre, event } = order.clone();
        let answer = self.ask(|reply| ControlRequest::Evacuate { order, reply }).await;
        let outcome = match &answer {
            OperatorAnswer::Done(record) => format!("{:?}", record.stage),
            OperatorAnswer::Elsewhere(leader) => format!("redirected to {leader}"),
            _ => "unknown".to_owned(),
        };
        info!(self.log, "operator request to evacuate or return a data centre"; "data_centre" => data_centre.as_str(),
            "order" => format!("{event:?}"), "outcome" => outcome);
        answer
    }

    async fn ask<T>(
        &self,
        request: impl FnOnce(tokio::sync::oneshot::Sender<LeaderAnswer<T>>) -> ControlRequest,
    ) -> OperatorAnswer<T> {
        match tokio::time::timeout(ANSWER_TIMEOUT, self.control.ask(request)).await {
            Ok(Some(LeaderAnswer::Done(value))) => OperatorAnswer::Done(value),
            Ok(Some(LeaderAnswer::Elsewhere(Some(leader)))) => OperatorAnswer::Elsewhere(leader),
            _ => OperatorAnswer::Unknown,
        }
    }
}
