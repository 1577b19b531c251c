//! Operators' calls that carry whole tables with versions of their own, decided by the leader.

use super::ledger::{NumberedOutcome, NumberedTable};
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::LeaderAnswer;
use crate::table::{FaultList, TableReader};
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
