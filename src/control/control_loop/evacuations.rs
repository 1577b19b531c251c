//! Evacuations of data centres, ordered by operators.

use super::ControlLoop;
use crate::control::ledger::ControlCommand;
use crate::control::rpc::LeaderAnswer;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use slog::info;

impl ControlLoop {
    pub(super) fn on_evacuation(
        &mut self,
        order: EvacuationOrder,
        reply: LeaderReplySender<EvacuationRecord>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.operators_leader())));
        }
        info!(self.setup.log, "evacuation order proposed"; "data_centre" => order.data_centre.as_str(),
            "order" => format!("{:?}", order.event));
        let command = ControlCommand::Evacuation { order: order.clone(), at: unix_millis() };
        self.proposals.push((vec![command], EntryWaiter::Evacuation { order, reply }));
    }
}
