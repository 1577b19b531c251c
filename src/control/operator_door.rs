//! Operators' calls that carry whole tables with versions of their own, decided by the leader.

use super::ledger::{NumberedOutcome, NumberedTable};
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::LeaderAnswer;
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{FaultList, ServiceName, TableReader};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An answer is given within this time: operators go on to another daemon after a second.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum DoorAnswer<T> {
    /// The leader's word.
    Done(T),
    /// The leader is there, by its control address.
    Elsewhere(SocketAddr),
    /// Nobody can tell now; nothing is said of what became of the call.
    Unsure,
    /// The table has faults and was not taken.
    Bad(FaultList),
}

/// The operators' way to the control loop.
pub struct OperatorDoor {
    control: ControlHandle,
    reader: Arc<dyn TableReader>,
    log: Logger,
}

impl OperatorDoor {
    /// A way to `control` for tables that `reader` reads.
    pub fn new(control: ControlHandle, reader: Arc<dyn TableReader>, log: Logger) -> Self {
        OperatorDoor { control, reader, log }
    }

    /// Replaces the table. Acknowledged once a quorum has kept it, and also if a higher version is held.
    pub async fn replace(&self, document: String) -> DoorAnswer<NumberedOutcome> {
        let version = match self.reader.read(&document) {
            Ok((version, _)) => version,
            Err(faults) => {
                warn!(self.log, "table refused"; "faults" => faults.to_string());
                return DoorAnswer::Bad(faults);
            }
        };
        let numbered = Box::new(NumberedTable { version, document: Arc::from(document) });
        let answer = self.ask(|reply| ControlRequest::Replace { numbered, reply }).await;
        let outcome = match &answer {
            DoorAnswer::Done(outcome) => format!("{outcome:?}"),
            DoorAnswer::Elsewhere(leader) => format!("sent on to {leader}"),
            _ => "not sure".to_owned(),
        };
        info!(self.log, "table from an operator"; "version" => version, "outcome" => outcome);
        answer
    }

    /// The newest table's document.
    pub async fn read(&self) -> DoorAnswer<Arc<str>> {
        let answer = self.ask(|reply| ControlRequest::Table { version: None, reply }).await;
        match answer {
            DoorAnswer::Done(Some(table)) => {
                table.document.map_or(DoorAnswer::Unsure, DoorAnswer::Done)
            }
            DoorAnswer::Done(None) | DoorAnswer::Unsure => DoorAnswer::Unsure,
            DoorAnswer::Elsewhere(leader) => DoorAnswer::Elsewhere(leader),
            DoorAnswer::Bad(faults) => DoorAnswer::Bad(faults),
        }
    }

    /// Begins a roll-out. Acknowledged once a quorum has kept the order; its service must be one of the newest table.
    pub async fn begin_rollout(&self, order: RolloutOrder) -> DoorAnswer<RolloutReply> {
        let document = match self.read().await {
            DoorAnswer::Done(document) => document,
            DoorAnswer::Elsewhere(leader) => return DoorAnswer::Elsewhere(leader),
            _ => return DoorAnswer::Unsure,
        };
        let is_known = self
            .reader
            .read(&document)
            .is_ok_and(|(_, table)| table.services.iter().any(|row| row.service == order.service));
        if !is_known {
            let mut faults = FaultList::default();
            faults.add("/service", &order.service, "a service of the table in force");
            return DoorAnswer::Bad(faults);
        }
        let (service, to) = (order.service.clone(), order.to.clone());
        let answer = self.ask(|reply| ControlRequest::Rollout { order, reply }).await;
        let outcome = match &answer {
            DoorAnswer::Done(RolloutReply::Accepted(record)) => format!("{:?}", record.stage),
            DoorAnswer::Done(RolloutReply::Busy(record)) => {
                format!("another one is under way, to {}", record.order.to)
            }
            DoorAnswer::Elsewhere(leader) => format!("sent on to {leader}"),
            _ => "not sure".to_owned(),
        };
        info!(self.log, "roll-out from an operator"; "service" => service.as_str(), "to" => to.as_str(), "outcome" => outcome);
        answer
    }

    /// The newest roll-out of a service; none if there was none.
    pub async fn rollout(&self, service: &ServiceName) -> DoorAnswer<Option<RolloutRecord>> {
        match self.ask(|reply| ControlRequest::Rollouts { reply }).await {
            DoorAnswer::Done(records) => DoorAnswer::Done(
                records.into_iter().find(|record| record.order.service == *service),
            ),
            DoorAnswer::Elsewhere(leader) => DoorAnswer::Elsewhere(leader),
            DoorAnswer::Unsure => DoorAnswer::Unsure,
            DoorAnswer::Bad(faults) => DoorAnswer::Bad(faults),
        }
    }

    async fn ask<T>(
        &self,
        request: impl FnOnce(tokio::sync::oneshot::Sender<LeaderAnswer<T>>) -> ControlRequest,
    ) -> DoorAnswer<T> {
        match tokio::time::timeout(ANSWER_TIME, self.control.ask(request)).await {
            Ok(Some(LeaderAnswer::Done(value))) => DoorAnswer::Done(value),
            Ok(Some(LeaderAnswer::Elsewhere(Some(leader)))) => DoorAnswer::Elsewhere(leader),
            _ => DoorAnswer::Unsure,
        }
    }
}
