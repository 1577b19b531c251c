//! Fleet-wide state as one daemon sees it, aggregated from counters that the daemons report. This
//! module is pure: it reads no clock and opens no socket.
//!
//! A daemon needs the number of tokens the fleet has admitted against each organisation's limit,
//! the requests that other daemons have in flight at each upstream, and which daemon reads the
//! platform's list. If every daemon reported to every other one, the cost would grow with the
//! square of the fleet size, so each would have to report rarely; at hundreds of daemons the state
//! would be seconds old, and organisations far below their limits would be refused.
//!
//! Daemons therefore form groups of about the square root of the fleet size ([`FleetLayout`]). Each
//! member sends its cumulative counters ([`MemberReport`]) to the aggregator of its group,
//! aggregators exchange the sums of their groups ([`GroupSum`]), and each member receives the sums
//! of the whole fleet ([`FleetSummary`]). The number of messages per daemon grows no faster than
//! the square root of the fleet size. Fleets of up to [`MAX_MESH_SIZE`] daemons use no aggregators:
//! every daemon reports to all others.
//!
//! Counters are cumulative and tied to one start of the process, so lost, duplicated and reordered
//! messages are harmless. The usage of a daemon that has fallen silent is estimated from its rate
//! and the time since its last message ([`FlowLedger`]).
//!
//! When an aggregator is replaced, no admission may be lost. A daemon therefore reports to a new
//! aggregator which of its tokens earlier sums include, and a new aggregator reports how long it has
//! been counting, so that the others use zero as the baseline of its sums. Usage of daemons that it
//! has not received reports of is estimated ([`FlowBaseline`]).

mod aggregator_choice;
mod flow_ledger;
mod flow_rates;
mod flow_totals;
mod layout;
mod list_freshness;
mod list_reading;
mod list_sync;
mod messages;
mod own_history;
mod part_queue;
mod reading_order;
mod row_rotation;
mod state;
mod waiting_table;
mod work_tables;

pub use aggregator_choice::AggregatorChoice;
pub use flow_ledger::{FlowBaseline, FlowDelta, FlowLedger, SourceStamp};
pub use flow_rates::FlowRates;
pub use layout::{FleetLayout, MAX_MESH_SIZE};
pub use list_freshness::ListFreshness;
pub use list_reading::is_list_read_due;
pub use list_sync::{ListMessage, ListOutgoing, ListPeers, ListSync, OlderList};
pub use messages::{
    Departure, FleetMessage, FleetSummary, FlowRow, GroupSum, ListStamp, MemberReport,
    MessageRefusal, MessageSource, OrganisationHash, ServiceHash, WaitingRow, WorkRow,
};
pub use own_history::ReportHistory;
pub use reading_order::{BegunReading, ReadingClock, ReadingOrder};
pub use row_rotation::RowRotation;
pub use state::{
    BucketEstimates, DaemonIdentity, FirstCount, FleetRole, FleetState, LocalState, OfferTarget,
    OutgoingMessage,
};
pub use work_tables::WorkTable;
