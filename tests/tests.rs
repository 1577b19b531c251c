//! Tests of the whole program: a file per subcommand, and focused files for the promises.

mod fixtures;
mod fleet_schedule;
mod routed_fleet;
mod schedule;
mod session;
mod test_charts;
mod test_check;
mod test_demo;
mod test_experiment;
mod test_explain;
mod test_faults;
mod test_fleet;
mod test_fleet_processes;
mod test_limits;
mod test_platform;
mod test_policy;
mod test_replica;
mod test_routed;
mod test_routes;
mod test_serve;
mod test_sessions;
mod test_store;
mod test_traffic;
mod test_voters;
mod test_voting;
mod workdir;
