//! Reports how many further voters may be lost, on the leader.

use super::ControlLoop;
use crate::control::voting::{absent_members, losses_borne};
use crate::policy::Moment;
use crate::replica::VoterId;
use metrics::gauge;
use slog::{info, warn};

/// Gauge of [`losses_borne`] on the leader; not a number on all other daemons.
const LOSSES_BORNE_GAUGE: &str = "tarragonknot_voter_losses_borne";

/// What the leader last logged of its voters.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LossReport {
    /// Losses borne, number of voters, and absent voters; `None` while this daemon does not lead.
    logged: Option<(Option<usize>, usize, Vec<VoterId>)>,
}

impl LossReport {
    /// The losses borne and the absent voters; nothing on a daemon that does not lead.
    pub fn for_status(&self) -> (Option<usize>, Vec<VoterId>) {
        self.logged
            .as_ref()
            .map_or((None, Vec::new()), |(borne, _, absent)| (*borne, absent.clone()))
    }

    /// Withdraws the report of a daemon that no longer leads.
    pub fn clear(&mut self) {
        self.logged = None;
        gauge!(LOSSES_BORNE_GAUGE).set(f64::NAN);
    }
}

impl ControlLoop {
    /// Logs a change of the losses that the voters bear, with the absent voters and since when they
    /// are silent.
    pub(super) fn report_losses(&mut self, now: Moment) {
        let Some(core) = &self.core else { return };
        let absent = absent_members(core, &self.stopping_members(now), now);
        let borne = losses_borne(core.membership(), &absent.voters);
        let voters = core.membership().voters.len();
        gauge!(LOSSES_BORNE_GAUGE).set(borne.map_or(-1.0, |borne| borne as f64));
        let state = (borne, voters, absent.voters.clone());
        if self.loss_report.logged.as_ref() == Some(&state) {
            return;
        }
        let silence = |id: &VoterId| {
            let silent = core.last_contact(id).map(|heard| now.since(heard).as_millis());
            format!("{id} {}", silent.unwrap_or_default())
        };
        let silences = absent.voters.iter().map(silence).collect::<Vec<String>>().join(", ");
        match borne {
            Some(1..) => {
                info!(self.setup.log, "voters bear further losses"; "losses" => borne, "voters" => voters, "absent_silent_ms" => silences);
            }
            _ => {
                warn!(self.setup.log, "voters bear no further loss"; "losses" => borne, "voters" => voters, "absent_silent_ms" => silences);
            }
        }
        self.loss_report.logged = Some(state);
    }
}
