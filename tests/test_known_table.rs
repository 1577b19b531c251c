//! Tables that a daemon takes from voters without a leader's orders, and beside them.

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarragonknot::control::{
    AgentSettings, DaemonOrders, FleetKey, KnownVoters, LeaderAnswer, LeaderHint, ReportAnswer,
    pack, start_agent,
};
use tarragonknot::table::{OperatorTable, VersionedTable};
use tarragonknot::traffic::TrafficState;

/// Time within which a table must be in force; several times what the agent's timeouts take.
const TABLE_TIMEOUT: Duration = Duration::from_secs(8);
const LEASE: Duration = Duration::from_millis(1_500);

fn table(version: u64) -> VersionedTable {
    VersionedTable::new(version, OperatorTable::default())
}

/// What a stand-in voter answers to a report.
#[derive(Clone)]
enum ReportStep {
    /// It does not lead and knows no leader.
    Elsewhere,
    /// It leads in another term.
    NewTerm,
    /// It leads and answers with this table after a delay.
    Orders(u64, Duration),
    /// It leads and holds the report.
    Hold,
}

/// A voter that knows the table of `version` and answers reports by these steps, the last of which
/// is repeated.
struct VoterPlan {
    version: u64,
    steps: Vec<ReportStep>,
}

fn orders(version: u64) -> DaemonOrders {
    DaemonOrders {
        version,
        table: Some(Box::new(table(version))),
        packed: None,
        pools: Vec::new(),
        serving: None,
        serving_change: None,
        voters: Vec::new(),
        suspects: Vec::new(),
        rollouts: None,
        evacuated: None,
    }
}

async fn answer(step: ReportStep) -> LeaderAnswer<ReportAnswer> {
    match step {
        ReportStep::Elsewhere => LeaderAnswer::Elsewhere(None),
        ReportStep::NewTerm => LeaderAnswer::Done(ReportAnswer::NewTerm(1)),
        ReportStep::Orders(version, delay) => {
            tokio::time::sleep(delay).await;
            LeaderAnswer::Done(ReportAnswer::Orders(orders(version)))
        }
        ReportStep::Hold => std::future::pending().await,
    }
}

/// Starts a stand-in voter that serves the calls that a daemon's agent makes.
async fn start_voter(plan: VoterPlan) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.expect("a port");
    let address = server.local_addr().expect("an address");
    let reports = AtomicUsize::new(0);
    let mut module = RpcModule::new((plan, reports));
    let report = |_: jsonrpsee::types::Params<'static>,
                  context: Arc<(VoterPlan, AtomicUsize)>,
                  _| async move {
        let (plan, reports) = &*context;
        let number = reports.fetch_add(1, Ordering::Relaxed).min(plan.steps.len() - 1);
        json!(answer(plan.steps[number].clone()).await)
    };
    module.register_async_method("control_report", report).expect("registered");
    let known = |_: jsonrpsee::types::Params<'_>, context: &(VoterPlan, AtomicUsize), _: &_| {
        json!((context.0.version > 0).then(|| table(context.0.version)))
    };
    module.register_method("control_known_table", known).expect("registered");
    let newer =
        |params: jsonrpsee::types::Params<'_>, context: &(VoterPlan, AtomicUsize), _: &_| {
            let known: u64 = params.one().unwrap_or_default();
            json!((context.0.version > known).then(|| pack(&table(context.0.version))))
        };
    module.register_method("control_newer_table", newer).expect("registered");
    let none = |_: jsonrpsee::types::Params<'_>, _: &_, _: &_| json!(0);
    module.register_method("control_fleet_size", none).expect("registered");
    let nobody = |_: jsonrpsee::types::Params<'_>, _: &_, _: &_| Value::Array(Vec::new());
    module.register_method("control_serving_members", nobody).expect("registered");
    (address, server.start(module))
}

/// Runs a daemon's agent beside `plans` until the table of `version` is in force on it; returns the
/// version in force at the end. The daemon begins with the table of `first`, if that is above 0.
async fn version_in_force(plans: Vec<VoterPlan>, first: u64, lease: Duration, version: u64) -> u64 {
    let state = TrafficState::new("entry".into(), Logger::root(Discard, o!()), 7);
    state.allow_expired_table();
    state.apply_table(&table(first));
    let mut voters = Vec::new();
    let mut servers = Vec::new();
    for plan in plans {
        let (address, server) = start_voter(plan).await;
        voters.push(address);
        servers.push(server);
    }
    let settings = AgentSettings {
        daemon: "entry".into(),
        boot: 1,
        control: SocketAddr::from(([127, 0, 0, 1], 1)),
        voters: KnownVoters::new(voters),
        key: FleetKey::from_text("key"),
        lease,
        serves_callers: true,
        divides_alone: true,
        presumes_members: false,
    };
    start_agent(settings, Arc::clone(&state), LeaderHint::default());
    let reached = async {
        while state.snapshot().version < version {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = tokio::time::timeout(TABLE_TIMEOUT, reached).await;
    for server in servers {
        let _ = server.stop();
    }
    state.snapshot().version
}

/// Guards against a daemon that stays with the table of a voter that is behind, although other
/// voters know a newer one and there is no leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_daemon_takes_the_newest_table_that_any_voter_knows() {
    let voter = |version| VoterPlan { version, steps: vec![ReportStep::Elsewhere] };

    let version = version_in_force([3, 1, 2].map(voter).into(), 0, LEASE, 3).await;

    assert_eq!(version, 3);
}

/// Guards against a daemon that keeps an older table while a new leader withholds the lease from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_takes_a_newer_table_while_the_leader_withholds_the_lease() {
    let steps = vec![ReportStep::NewTerm, ReportStep::Hold];

    let version = version_in_force(vec![VoterPlan { version: 2, steps }], 1, LEASE, 2).await;

    assert_eq!(version, 2);
}

/// Guards against orders that arrive after the lease being dropped together with their table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_arrive_after_the_lease_bring_their_table() {
    let lease = Duration::from_millis(100);
    let on_time = ReportStep::Orders(1, Duration::ZERO);
    let late = ReportStep::Orders(2, Duration::from_millis(400));
    let steps = vec![on_time, late, ReportStep::Hold];

    let version = version_in_force(vec![VoterPlan { version: 0, steps }], 0, lease, 2).await;

    assert_eq!(version, 2);
}
