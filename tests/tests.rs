//! Tests of the whole program: a file per subcommand, and focused files for the promises.

mod fixtures;
mod test_charts;
mod test_traffic;
