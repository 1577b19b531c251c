//! Passing requests on between daemons: one that reaches no upstream of a pool sends its requests
//! through a peer, which admits, places and sends them like those of its own callers.
//!
//! A request takes one hop at most: a peer never passes it on again. Peers listen on a port of their
//! own and accept only requests with a ticket that was made with the fleet's key.

mod peer_choice;
mod server;
mod ticket;

pub use peer_choice::PeerChoice;
pub use server::start_relay_server;
pub use ticket::{ORIGIN_HEADER, RELAY_HEADER, RelayTicket, TicketSubject};

use self::server::RelayServer;
use super::state::TrafficState;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of requests that a daemon passes on, and that it accepts from peers, at a time.
const MAX_RELAYED: usize = 512;

/// Where this daemon and its peers accept relayed requests, and the key that authenticates them.
#[derive(Debug)]
struct RelaySettings {
    /// This daemon's own address; peers listen on the same port.
    own: SocketAddr,
    key: Arc<str>,
}

/// State of the relay between daemons.
#[derive(Debug)]
pub struct PeerRelay {
    settings: OnceLock<RelaySettings>,
    choice: Mutex<PeerChoice>,
    sent: Arc<Semaphore>,
    received: Arc<Semaphore>,
    server: OnceLock<RelayServer>,
}

impl Default for PeerRelay {
    fn default() -> Self {
        PeerRelay {
            settings: OnceLock::new(),
            choice: Mutex::default(),
            sent: Arc::new(Semaphore::new(MAX_RELAYED)),
            received: Arc::new(Semaphore::new(MAX_RELAYED)),
            server: OnceLock::new(),
        }
    }
}

impl PeerRelay {
    /// Enables the relay; without this call no request is passed on. `own` is the address at which
    /// this daemon accepts relayed requests.
    pub fn enable(&self, own: SocketAddr, key: Arc<str>) {
        let _ = self.settings.set(RelaySettings { own, key });
    }

    /// Sets the server for peers; only the first call has an effect.
    fn set_server(&self, server: RelayServer) {
        let _ = self.server.set(server);
    }

    /// Closes the server for peers once their answers are written; returns false if they have not
    /// taken them in time.
    pub async fn close(&self) -> bool {
        match self.server.get() {
            Some(server) => server.close().await,
            None => true,
        }
    }

    /// True if requests are passed on.
    pub fn is_enabled(&self) -> bool {
        self.settings.get().is_some()
    }

    /// The key that authenticates tickets, if the relay is enabled.
    pub fn key(&self) -> Option<&str> {
        self.settings.get().map(|settings| &*settings.key)
    }

    /// The relay addresses of the peers, if the relay is enabled.
    pub fn peers(&self, state: &TrafficState) -> Vec<SocketAddr> {
        let Some(settings) = self.settings.get() else { return Vec::new() };
        let daemons = state.fleet.addresses().into_iter().map(|address| address.ip());
        let peers = daemons.filter(|ip| *ip != settings.own.ip());
        peers.map(|ip| SocketAddr::new(ip, settings.own.port())).collect()
    }

    /// The choice of peers, locked.
    pub fn choice(&self) -> MutexGuard<'_, PeerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one of the places for requests that this daemon passes on; `None` if all are taken.
    pub fn begin_sending(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.sent).try_acquire_owned().ok()
    }

    /// Takes one of the places for requests of peers; `None` if all are taken.
    pub fn begin_receiving(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.received).try_acquire_owned().ok()
    }
}
