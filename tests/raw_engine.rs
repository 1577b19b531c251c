//! An engine on loopback that follows a script of raw bytes, and a caller that writes raw bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Header with the id of a request, in requests and answers.
const ID_HEADER: &str = "tarragonknot-request-id";
/// Time limit for the bytes that a caller waits for; above all time limits of the daemon.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A step of the script of one connection.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Reads until the next head is complete.
    ReadHead,
    /// Reads the rest of the current request's body.
    ReadBody,
    /// Reads this many bytes of the connection.
    Read(usize),
    /// Counts the current request as run.
    Run,
    /// Writes these bytes; `{id}` is replaced by the current request's id.
    Write(&'static str),
    /// Waits without reading.
    Pause(Duration),
    /// Closes the sending direction only.
    CloseWrite,
    /// Closes the connection with a reset.
    Reset,
    /// Closes the connection.
    Close,
    /// Grants a reservation after a pause and goes back to the first step; skipped for requests.
    Reserve(Duration),
    /// Goes back to the first step.
    Repeat,
}

/// What follows a step.
enum NextStep {
    Following,
    First,
    /// The connection has ended.
    None,
}

impl NextStep {
    fn unless_ended(is_open: bool) -> Self {
        if is_open { NextStep::Following } else { NextStep::None }
    }
}

/// A sealed answer of 200 to the current request.
pub const ANSWER: RawStep = RawStep::Write(
    "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\ntarragonknot-server-seal: seal-1\r\n\
     content-length: 4\r\n\r\nfine",
);
/// An answer of 500 to the current request.
pub const FAILURE: RawStep = RawStep::Write(
    "HTTP/1.1 500 X\r\ntarragonknot-request-id: {id}\r\ntarragonknot-server-seal: seal-1\r\n\
     content-length: 6\r\n\r\nbroken",
);
/// The statement that the current request was not run.
pub const NOT_RUN: RawStep = RawStep::Write(
    "HTTP/1.1 503 X\r\ntarragonknot-request-id: {id}\r\ntarragonknot-not-executed: 1\r\n\
     content-length: 0\r\n\r\n",
);
/// A reserved place.
const PLACE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"hold\":\"h-1\"}";

/// What an engine received.
#[derive(Debug, Default)]
struct EngineLog {
    connections: usize,
    /// Number of the connection and id of each complete head; reservations have an empty id.
    heads: Vec<(usize, String)>,
    /// Ids of the requests that were received with their whole body.
    whole: Vec<String>,
    runs: Vec<String>,
    bytes: Vec<(usize, Vec<u8>)>,
}

/// An engine whose connections follow scripts.
pub struct RawEngine {
    pub address: SocketAddr,
    log: Arc<Mutex<EngineLog>>,
    accepting: JoinHandle<()>,
}

impl Drop for RawEngine {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl RawEngine {
    /// Starts an engine that calls `script` with the number of each connection, from 0.
    pub async fn start(script: impl Fn(usize) -> Vec<RawStep> + Send + 'static) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
        Self::serve(listener, script)
    }

    /// Starts to accept the connections of a listener, including those that wait there.
    pub fn serve(
        listener: TcpListener,
        script: impl Fn(usize) -> Vec<RawStep> + Send + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("the socket has a local address");
        let log: Arc<Mutex<EngineLog>> = Arc::default();
        let shared = Arc::clone(&log);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut log = lock(&shared);
                    log.connections += 1;
                    log.connections - 1
                };
                let connection = RawConnection::new(stream, number, Arc::clone(&shared));
                tokio::spawn(connection.follow(script(number)));
            }
        });
        RawEngine { address, log, accepting }
    }

    /// Number of accepted connections.
    pub fn connection_count(&self) -> usize {
        lock(&self.log).connections
    }

    /// Numbers of the connections that received the whole head of this request.
    pub fn heads(&self, id: &str) -> Vec<usize> {
        let log = lock(&self.log);
        log.heads.iter().filter(|(_, known)| known == id).map(|(number, _)| *number).collect()
    }

    /// Ids of all requests with a whole head, in the order of arrival, without reservations.
    pub fn ids(&self) -> Vec<String> {
        let log = lock(&self.log);
        log.heads.iter().map(|(_, id)| id.clone()).filter(|id| !id.is_empty()).collect()
    }

    /// Number of reservations that were asked for.
    pub fn reservation_count(&self) -> usize {
        lock(&self.log).heads.iter().filter(|(_, id)| id.is_empty()).count()
    }

    /// True if the request was received with its whole body.
    pub fn has_whole(&self, id: &str) -> bool {
        lock(&self.log).whole.iter().any(|known| known == id)
    }

    /// True if the script ran the request.
    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.log).runs.iter().any(|known| known == id)
    }

    /// Number of bytes that a connection received, without those of large bodies.
    pub fn byte_count(&self, connection: usize) -> usize {
        lock(&self.log).bytes[connection].1.len()
    }

    /// True if any connection received these bytes.
    pub fn has_bytes(&self, wanted: &str) -> bool {
        let log = lock(&self.log);
        let mut connections = log.bytes.iter();
        connections.any(|(_, bytes)| contains(bytes, wanted.as_bytes()))
    }
}

fn lock(log: &Mutex<EngineLog>) -> MutexGuard<'_, EngineLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}

/// Waits for a time, with a resolution far below that of the runtime's timer.
pub async fn pause(time: Duration) {
    if time >= Duration::from_millis(2) {
        return tokio::time::sleep(time).await;
    }
    let started = Instant::now();
    while started.elapsed() < time {
        tokio::task::yield_now().await;
    }
}

/// One connection of an engine.
struct RawConnection {
    stream: TcpStream,
    number: usize,
    log: Arc<Mutex<EngineLog>>,
    /// Bytes after the last complete head and the part of its body that was read.
    pending: Vec<u8>,
    head_count: usize,
    body_left: usize,
    id: String,
    read_count: usize,
}

impl RawConnection {
    fn new(stream: TcpStream, number: usize, log: Arc<Mutex<EngineLog>>) -> Self {
        let _ = stream.set_nodelay(true);
        lock(&log).bytes.push((number, Vec::new()));
        RawConnection {
            stream,
            number,
            log,
            pending: Vec::new(),
            head_count: 0,
            body_left: 0,
            id: String::new(),
            read_count: 0,
        }
    }

    /// Follows the steps, then reads on until the connection ends.
    async fn follow(mut self, steps: Vec<RawStep>) {
        let mut next = 0;
        while let Some(step) = steps.get(next) {
            match self.perform(step).await {
                NextStep::Following => next += 1,
                NextStep::First => next = 0,
                NextStep::None => return,
            }
        }
        while self.read(usize::MAX).await {}
    }

    async fn perform(&mut self, step: &RawStep) -> NextStep {
        match step {
            RawStep::ReadHead => NextStep::unless_ended(self.read_head().await),
            RawStep::ReadBody => NextStep::unless_ended(self.read_body().await),
            RawStep::Read(count) => NextStep::unless_ended(self.read_bytes(*count).await),
            RawStep::Run => {
                lock(&self.log).runs.push(self.id.clone());
                NextStep::Following
            }
            RawStep::Write(text) => NextStep::unless_ended(self.write(text).await),
            RawStep::Pause(time) => {
                pause(*time).await;
                NextStep::Following
            }
            RawStep::CloseWrite => NextStep::unless_ended(self.stream.shutdown().await.is_ok()),
            RawStep::Reset => {
                self.stream.set_zero_linger().expect("SO_LINGER can be set");
                NextStep::None
            }
            RawStep::Close => NextStep::None,
            RawStep::Reserve(_) if !self.id.is_empty() => NextStep::Following,
            RawStep::Reserve(time) => {
                pause(*time).await;
                if self.write(PLACE).await { NextStep::First } else { NextStep::None }
            }
            RawStep::Repeat => NextStep::First,
        }
    }

    async fn write(&mut self, text: &str) -> bool {
        let text = text.replace("{id}", &self.id);
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn read_head(&mut self) -> bool {
        let known = self.head_count;
        // The head may have arrived with the bytes before it.
        self.parse();
        while self.head_count == known {
            if !self.read(usize::MAX).await {
                return false;
            }
        }
        true
    }

    async fn read_body(&mut self) -> bool {
        while self.body_left > 0 {
            if !self.read(usize::MAX).await {
                return false;
            }
        }
        true
    }

    async fn read_bytes(&mut self, count: usize) -> bool {
        let wanted = self.read_count + count;
        while self.read_count < wanted {
            if !self.read(wanted - self.read_count).await {
                return false;
            }
        }
        true
    }

    async fn read(&mut self, limit: usize) -> bool {
        let mut buffer = [0; 16 << 10];
        let size = limit.min(buffer.len());
        let Ok(count) = self.stream.read(&mut buffer[..size]).await else { return false };
        self.read_count += count;
        self.pending.extend_from_slice(&buffer[..count]);
        {
            let mut log = lock(&self.log);
            let (_, bytes) = &mut log.bytes[self.number];
            // Large bodies consist of one repeated byte, which no test looks for.
            let kept = buffer[..count].iter().filter(|byte| **byte != FILLER);
            bytes.extend(kept);
        }
        self.parse();
        count > 0
    }

    /// Takes at most one head, and the part of its body that was read, from the pending bytes.
    fn parse(&mut self) {
        self.skip_body();
        if self.body_left > 0 {
            return;
        }
        let Some(end) = self.pending.windows(4).position(|four| four == b"\r\n\r\n") else {
            return;
        };
        let head: Vec<u8> = self.pending.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        self.head_count += 1;
        self.id = header(&head, ID_HEADER).unwrap_or_default();
        self.body_left =
            header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        lock(&self.log).heads.push((self.number, self.id.clone()));
        self.note_whole();
        self.skip_body();
    }

    fn skip_body(&mut self) {
        if self.body_left > 0 {
            let count = self.body_left.min(self.pending.len());
            self.pending.drain(..count);
            self.body_left -= count;
            self.note_whole();
        }
    }

    fn note_whole(&self) {
        if self.body_left == 0 {
            lock(&self.log).whole.push(self.id.clone());
        }
    }
}

/// The byte that large bodies consist of.
pub const FILLER: u8 = b'~';

/// Builds a large body.
pub fn large_body(size: usize) -> String {
    char::from(FILLER).to_string().repeat(size)
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut rows = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = rows.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

/// The answer that a raw caller read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// The status; zero if the connection ended without an answer.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// False if the connection ended before the end of the body.
    pub is_whole: bool,
}

impl RawAnswer {
    /// True if the status promises that the request has not run and never will.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// A caller that writes and reads raw bytes.
pub struct RawCaller {
    stream: TcpStream,
    pending: Vec<u8>,
}

impl RawCaller {
    /// Connects to a daemon.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("the daemon listens");
        let _ = stream.set_nodelay(true);
        RawCaller { stream, pending: Vec::new() }
    }

    /// Writes bytes; false if the daemon has closed the connection.
    pub async fn write(&mut self, bytes: &str) -> bool {
        self.stream.write_all(bytes.as_bytes()).await.is_ok()
    }

    /// Reads the next answer.
    pub async fn read_answer(&mut self) -> RawAnswer {
        let head = self.read_head().await;
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let (body, is_whole) = match header(&head, "content-length") {
            Some(length) => {
                let length = length.parse().unwrap_or(0);
                while self.pending.len() < length && self.read().await {}
                let count = length.min(self.pending.len());
                (self.take(count), count == length)
            }
            None if header(&head, "transfer-encoding").is_some() => {
                while !self.pending.ends_with(b"0\r\n\r\n") && self.read().await {}
                let is_whole = self.pending.ends_with(b"0\r\n\r\n");
                (self.take(self.pending.len()), is_whole)
            }
            None => (String::new(), status != 0),
        };
        RawAnswer { status, head, body, is_whole }
    }

    /// Reads an interim or final head; empty if the connection ends before.
    pub async fn read_head(&mut self) -> String {
        loop {
            if let Some(end) = self.pending.windows(4).position(|four| four == b"\r\n\r\n") {
                return self.take(end + 4);
            }
            if !self.read().await {
                return String::new();
            }
        }
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("SO_LINGER can be set");
    }

    fn take(&mut self, count: usize) -> String {
        let bytes: Vec<u8> = self.pending.drain(..count).collect();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    async fn read(&mut self) -> bool {
        let mut buffer = [0; 4096];
        let reading = tokio::time::timeout(READ_TIMEOUT, self.stream.read(&mut buffer));
        let count =
            reading.await.expect("the daemon answers or closes the connection").unwrap_or(0);
        self.pending.extend_from_slice(&buffer[..count]);
        count > 0
    }
}

/// Builds the head of a request with a body of `length` bytes.
pub fn request_head(path: &str, id: &str, key: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{ID_HEADER}: {id}\r\n\
         tarragonknot-deadline-ms: {deadline_ms}\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n"
    )
}
