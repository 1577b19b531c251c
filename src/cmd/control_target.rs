//! Control-connection arguments shared by the operator commands, and calls to the fleet's leader.

use super::CommandError;
use crate::control::{CallError, FleetKey, LeaderAnswer, connect};
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay before the daemons are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Control addresses and key of the fleet to connect to.
#[derive(Debug, clap::Args)]
pub struct ControlTarget {
    /// Control address of a daemon; repeat for further daemons to try if the first does not answer.
    #[arg(
        long = "control",
        value_name = "ADDRESS",
        required = true,
        env = "TARRAGONKNOT_CONTROL",
        value_delimiter = ','
    )]
    pub addresses: Vec<SocketAddr>,
    /// File that contains the fleet key.
    #[arg(long, value_name = "FILE", env = "TARRAGONKNOT_FLEET_KEY_FILE")]
    pub fleet_key_file: PathBuf,
    /// Maximum time to search for a leader, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 15)]
    pub patience: u64,
}

impl ControlTarget {
    /// Reads the fleet key.
    pub fn key(&self) -> Result<FleetKey, CommandError> {
        let path = &self.fleet_key_file;
        FleetKey::read(path).map_err(|source| CommandError::File { path: path.clone(), source })
    }

    /// Connects to the first daemon that answers.
    pub async fn connect_any(&self) -> Result<(SocketAddr, Arc<WsClient>), CommandError> {
        let key = self.key()?;
        let mut last_error = CallError::NoLeader;
        for address in &self.addresses {
            match connect(*address, &key).await {
                Ok(client) => return Ok((*address, Arc::new(client))),
                Err(fault) => last_error = fault,
            }
        }
        Err(CommandError::Call { source: last_error })
    }

    /// Repeats a call, following redirects, until a leader answers it or the patience is used up.
    /// The call must be idempotent. A refused key ends the search at once.
    pub async fn call_leader<T, F>(
        &self,
        call: impl Fn(Arc<WsClient>) -> F,
    ) -> Result<T, CommandError>
    where
        F: Future<Output = Result<LeaderAnswer<T>, ClientError>>,
    {
        let key = self.key()?;
        let deadline = Instant::now() + Duration::from_secs(self.patience);
        let mut last_error = CallError::NoLeader;
        loop {
            let mut addresses: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
            let mut tried = Vec::new();
            while let Some(address) = addresses.pop_front() {
                if tried.contains(&address) {
                    continue;
                }
                tried.push(address);
                match call_daemon(address, &key, &call).await {
                    Ok(LeaderAnswer::Done(answer)) => return Ok(answer),
                    Ok(LeaderAnswer::Elsewhere(leader)) => addresses.extend(leader),
                    Err(fault @ CallError::KeyRefused { .. }) => {
                        return Err(CommandError::Call { source: fault });
                    }
                    Err(fault) => last_error = fault,
                }
            }
            if Instant::now() >= deadline {
                return Err(CommandError::Call { source: last_error });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn call_daemon<T, F>(
    address: SocketAddr,
    key: &FleetKey,
    call: &impl Fn(Arc<WsClient>) -> F,
) -> Result<LeaderAnswer<T>, CallError>
where
    F: Future<Output = Result<LeaderAnswer<T>, ClientError>>,
{
    let client = Arc::new(connect(address, key).await?);
    call(client).await.map_err(|error| CallError::Failed { address, detail: error.to_string() })
}
