//! What one daemon knows of the whole fleet, as sums that are aggregated; pure: no clock, no socket.
//!
//! A daemon needs to know how many tokens the fleet has let through of each organisation's limit, what the others
//! have sent to each upstream, and who reads the platform's list. What goes wrong when each daemon reports to all
//! others: the cost grows with the square of the fleet, so each reports seldom, and at hundreds of daemons what is known
//! is seconds old. One would notice by refusals of organisations far below their limits.
//!
//! So daemons form groups of about the square root of their number ([`FleetLayout`]). Each sends its cumulative
//! counters ([`MemberReport`]) to the aggregator of its group, aggregators exchange the sums of their groups
//! ([`GroupSum`]), and each member gets the sums of the fleet back ([`FleetSummary`]). A daemon then sends and gets a
//! number of messages that grows no faster than the square root of the fleet. Fleets up to [`MESH_SIZE`] need no
//! aggregators: each daemon reports to all others.
//!
//! Counters are cumulative and tied to the start of the process, so a lost, doubled or overtaken message does no harm.
//! What is not known of a part that is silent is a rate times an age ([`FlowLedger`]).

mod aggregator_choice;
mod flow_ledger;
mod flow_rates;
mod flow_totals;
mod layout;
mod list_freshness;
mod messages;
mod own_history;
mod row_rotation;
mod state;
mod waiting_table;
mod work_tables;

pub use aggregator_choice::AggregatorChoice;
pub use flow_ledger::{FlowDelta, FlowLedger, SourceStamp};
pub use flow_rates::FlowRates;
pub use layout::{FleetLayout, MESH_SIZE};
pub use list_freshness::ListFreshness;
pub use messages::{
    Departure, FleetMessage, FleetSummary, FlowRow, GroupSum, ListStamp, MemberReport,
    MessageRefusal, MessageSource, OrganisationHash, ServiceHash, WaitingRow, WorkRow,
};
pub use own_history::OwnHistory;
pub use row_rotation::RowRotation;
pub use state::{
    BucketEstimates, DaemonIdentity, FleetRole, FleetState, OutgoingMessage, OwnReading,
};
pub use work_tables::WorkTable;
