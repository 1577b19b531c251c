//! A fault-injecting TCP proxy between callers and entries and between entries and engines. It can
//! delay bytes, reset connections, and drop the bytes of one or both directions.

use crate::context::{SoakContext, lock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay added to a round trip: `ProxyMode::Delay` delays each chunk of either direction by half.
const ROUND_TRIP_DELAY: Duration = Duration::from_millis(120);

/// How a proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    #[default]
    Pass,
    /// Each chunk is delayed.
    Delay,
    /// Bytes towards the server are dropped; the other direction works.
    CutThere,
    /// Bytes from the server are dropped; the other direction works.
    CutBack,
    /// Open connections drop all further bytes in both directions; new connections work.
    SilenceOpen,
    /// Open connections are reset; new connections work.
    ResetOpen,
}

/// The modes of all proxies, by listening address.
#[derive(Debug, Default)]
pub struct ProxyModes {
    modes: Mutex<BTreeMap<SocketAddr, watch::Sender<(u64, ProxyMode)>>>,
}

impl ProxyModes {
    /// Sets the mode of the proxy at `address`. Each call has its own number, so that setting the
    /// same mode twice takes effect twice.
    pub fn set(&self, address: SocketAddr, mode: ProxyMode) {
        if let Some(sender) = lock(&self.modes).get(&address) {
            sender.send_modify(|state| *state = (state.0 + 1, mode));
        }
    }

    /// Makes all proxies forward bytes again.
    pub fn heal(&self) {
        let modes = lock(&self.modes);
        modes
            .values()
            .for_each(|sender| sender.send_modify(|state| *state = (state.0 + 1, ProxyMode::Pass)));
    }
}

/// Starts a proxy that listens at `address` and forwards to `server`.
pub async fn start(
    ctx: &Arc<SoakContext>,
    address: SocketAddr,
    server: SocketAddr,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let (sender, modes) = watch::channel((0, ProxyMode::Pass));
    lock(&ctx.proxies.modes).insert(address, sender);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward_connection(client, server, modes.clone()));
        }
    });
    Ok(())
}

async fn forward_connection(
    client: TcpStream,
    server: SocketAddr,
    mut modes: watch::Receiver<(u64, ProxyMode)>,
) {
    let Ok(server) = TcpStream::connect(server).await else {
        // A connection refused by the server is reset towards the client.
        let _ = close_with_reset(&client);
        return;
    };
    modes.mark_unchanged();
    let opened_generation = modes.borrow().0;
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let to_server = forward_bytes(
        &mut client_reader,
        &mut server_writer,
        modes.clone(),
        opened_generation,
        ProxyMode::CutThere,
    );
    let to_client = forward_bytes(
        &mut server_reader,
        &mut client_writer,
        modes.clone(),
        opened_generation,
        ProxyMode::CutBack,
    );
    let is_reset = tokio::select! {
        ended = async { tokio::try_join!(to_server, to_client) } => ended.is_err(),
        () = wait_for_reset(modes) => true,
    };
    if is_reset {
        for writer in [client_writer, server_writer] {
            let _ = close_with_reset(writer.as_ref());
            // Dropping the half would send a regular end first.
            writer.forget();
        }
    }
}

/// Makes the close of the connection send a reset instead of a regular end.
fn close_with_reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

async fn wait_for_reset(mut modes: watch::Receiver<(u64, ProxyMode)>) {
    while modes.changed().await.is_ok() {
        if modes.borrow_and_update().1 == ProxyMode::ResetOpen {
            return;
        }
    }
    std::future::pending().await
}

/// Forwards one direction until its end; `Err` if the reader's side reset the connection.
async fn forward_bytes(
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
    modes: watch::Receiver<(u64, ProxyMode)>,
    opened_generation: u64,
    cut_mode: ProxyMode,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut is_silent = false;
    loop {
        let count = match reader.read(&mut buffer).await {
            Ok(0) => break,
            Ok(count) => count,
            Err(_) if is_silent => break,
            Err(error) => return Err(error),
        };
        let (generation, mode) = *modes.borrow();
        is_silent |= mode == ProxyMode::SilenceOpen && generation > opened_generation;
        match mode {
            ProxyMode::Delay => tokio::time::sleep(ROUND_TRIP_DELAY / 2).await,
            mode if mode == cut_mode => is_silent = true,
            _ => {}
        }
        // Once bytes were dropped, later ones would corrupt the stream: the direction stays silent.
        if !is_silent && writer.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    if is_silent {
        return std::future::pending().await;
    }
    let _ = writer.shutdown().await;
    Ok(())
}
