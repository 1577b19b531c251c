//! Looks up the routes of a table by host and longest path prefix.

use crate::table::{OperatorTable, RouteRow};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes grouped by host and ordered by descending length of the path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_host: HashMap<String, Vec<Arc<RouteRow>>>,
}

impl RouteIndex {
    /// Builds the index from the routes of `table`.
    pub fn new(table: &OperatorTable) -> Self {
        let mut index = RouteIndex::default();
        for row in &table.routes {
            let routes = index.by_host.entry(row.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(row.clone()));
        }
        index
            .by_host
            .values_mut()
            .for_each(|routes| routes.sort_by_key(|row| std::cmp::Reverse(row.path_prefix.len())));
        index
    }

    /// Finds the route of a request; `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRow>> {
        let host_and_port = host.to_ascii_lowercase();
        let host_name = host_and_port.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host_and_port).or_else(|| self.by_host.get(host_name))?;
        routes.iter().find(|row| path.starts_with(&row.path_prefix))
    }
}
