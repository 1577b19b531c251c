//! Stand-ins for the platform's list, for engines and for clients. An engine is a worker process that
//! answers on a listening socket which it gets as its standard input.

use super::{Daemon, Message, Record, Site, call, read_body, read_head, sleep};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const BODY_BYTES: usize = 800;
pub const EVENTS: usize = 20;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub is_draining: bool,
}

/// The platform's list of engines, served until the process ends.
#[derive(Clone, Default)]
pub struct PlatformList(pub Arc<Mutex<Vec<Listed>>>);

impl PlatformList {
    pub fn serve(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the list's address");
        let list = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                std::thread::spawn(move || list.answer(stream));
            }
        });
    }

    fn answer(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("socket"));
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            let rows: Vec<String> = self.0.lock().unwrap().iter().map(row_text).collect();
            let body = format!("{{\"instances\":[{}],\"next_token\":null}}", rows.join(","));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn row_text(row: &Listed) -> String {
    let state = if row.is_draining { "draining" } else { "ready" };
    format!(
        "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"brum-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0}}",
        row.id, row.service, row.address
    )
}

/// How an engine answers. None of its answers has a length: each ends with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// 800 bytes, in two halves 0.4 s apart.
    Plain,
    /// 20 events, 0.1 s apart.
    Stream,
}

/// The body of the answer to a request.
pub fn whole_body(kind: AnswerKind, id: &str) -> Vec<u8> {
    match kind {
        AnswerKind::Plain => id.bytes().chain([b' ']).cycle().take(BODY_BYTES).collect(),
        AnswerKind::Stream => (1..=EVENTS).flat_map(|number| event(id, number)).collect(),
    }
}

fn event(id: &str, number: usize) -> Vec<u8> {
    format!("id: {number}\ndata: {id} piece {number} of {EVENTS}\n\n").into_bytes()
}

/// Where an engine that is in the middle of an answer says so.
pub fn marker(folder: &Path, engine: &str) -> PathBuf {
    folder.join(format!("half-{engine}"))
}

/// The worker: `worker ENGINE plain|stream FOLDER`, with the listening socket as standard input.
pub fn run_worker(arguments: &[String]) -> ! {
    let engine = arguments[0].clone();
    let kind = if arguments[1] == "plain" { AnswerKind::Plain } else { AnswerKind::Stream };
    let folder = PathBuf::from(&arguments[2]);
    // SAFETY: the parent passes the listening socket as descriptor 0, which nothing else uses.
    let listener = TcpListener::from(unsafe { OwnedFd::from_raw_fd(0) });
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let (engine, folder) = (engine.clone(), folder.clone());
        std::thread::spawn(move || serve_connection(stream, &engine, kind, &folder));
    }
}

fn serve_connection(mut stream: TcpStream, engine: &str, kind: AnswerKind, folder: &Path) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("socket"));
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let id = request.header("tarragonknot-request-id").unwrap_or_default().to_owned();
        let is_other =
            request.header("tarragonknot-expect-instance").is_some_and(|name| name != engine);
        let path = request.first.split(' ').nth(1).unwrap_or_default();
        let answer = match () {
            () if is_other => {
                format!("421 Misdirected Request\r\nTarragonknot-Request-Id: {id}")
            }
            () if path == "/healthz" => "200 OK".to_owned(),
            () if path == "/-/hold-take" => {
                let body = "{\"hold\":\"h-1\"}";
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all((head + body).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            () => {
                run_request(stream, engine, kind, folder, &id);
                return;
            }
        };
        let text = format!(
            "HTTP/1.1 {answer}\r\nTarragonknot-Instance-Id: {engine}\r\nContent-Length: 0\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn run_request(mut stream: TcpStream, engine: &str, kind: AnswerKind, folder: &Path, id: &str) {
    let media = if kind == AnswerKind::Plain { "text/plain" } else { "text/event-stream" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nTarragonknot-Request-Id: {id}\r\nTarragonknot-Server-Seal: {engine}.{id}\r\n\
         Content-Type: {media}\r\nConnection: close\r\n\r\n"
    );
    let body = whole_body(kind, id);
    let pieces: Vec<Vec<u8>> = match kind {
        AnswerKind::Plain => body.chunks(BODY_BYTES / 2).map(<[u8]>::to_vec).collect(),
        AnswerKind::Stream => (1..=EVENTS).map(|number| event(id, number)).collect(),
    };
    let pause = if kind == AnswerKind::Plain { 0.4 } else { 0.1 };
    if let Ok(mut runs) = fs::File::options().create(true).append(true).open(folder.join("runs")) {
        let _ = runs.write_all(format!("engine {engine}: runs request {id}\n").as_bytes());
    }
    let _ = stream.write_all(head.as_bytes());
    let half = pieces.len() / 2;
    for (number, piece) in pieces.iter().enumerate() {
        if stream.write_all(piece).is_err() {
            return;
        }
        if number + 1 == half {
            let _ = fs::write(marker(folder, engine), id);
        }
        if number + 1 < pieces.len() {
            sleep(pause);
        }
    }
}

/// An engine's machine: its address, and the process that runs there.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    kind: AnswerKind,
    folder: PathBuf,
    /// The listening socket of the process that starts the workers; none if a worker owns it alone.
    kept: Option<TcpListener>,
    worker: Option<Child>,
    starts: usize,
}

impl Engine {
    /// Starts an engine. With `has_supervisor`, another process keeps the listening socket while a
    /// worker is away: connections open, and are answered once the next worker is up.
    pub fn start(
        address: SocketAddr,
        kind: AnswerKind,
        folder: &Path,
        has_supervisor: bool,
    ) -> Self {
        let kept = has_supervisor.then(|| TcpListener::bind(address).expect("an engine's address"));
        let folder = folder.to_owned();
        let mut engine =
            Engine { id: String::new(), address, kind, folder, kept, worker: None, starts: 0 };
        engine.start_worker();
        engine
    }

    /// Starts a worker, which is a new incarnation with a new id.
    pub fn start_worker(&mut self) {
        self.starts += 1;
        let address = self.address.to_string().replace(['.', ':'], "");
        self.id = format!("i-{address}-{}", self.starts);
        let listener = match &self.kept {
            Some(kept) => kept.try_clone().expect("socket"),
            None => TcpListener::bind(self.address).expect("an engine's address"),
        };
        let kind = if self.kind == AnswerKind::Plain { "plain" } else { "stream" };
        let worker = Command::new(std::env::current_exe().expect("this program"))
            .args(["worker", &self.id, kind])
            .arg(&self.folder)
            .stdin(Stdio::from(OwnedFd::from(listener)))
            .spawn()
            .expect("a worker");
        self.worker = Some(worker);
    }

    /// Kills the worker with SIGKILL.
    pub fn crash(&mut self) {
        if let Some(mut worker) = self.worker.take() {
            let _ = worker.kill();
            let _ = worker.wait();
        }
    }

    pub fn listed(&self) -> Listed {
        Listed { id: self.id.clone(), service: "s-1", address: self.address, is_draining: false }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

/// A configuration with one route to the service `s-1`.
pub fn routed_document(version: u64, kind: AnswerKind) -> String {
    let (route_kind, timeout, engine) = match kind {
        AnswerKind::Plain => ("unsafe", 3_000, String::new()),
        AnswerKind::Stream => (
            "stream",
            10_000,
            ",\"engine\":{\"slots\":6,\"kv_tokens\":563854,\"stride\":4,\"hold_ms\":2000.0,\
             \"models\":[{\"name\":\"m\"}]}"
                .to_owned(),
        ),
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\
         \"path_prefix\":\"/p/\",\"kind\":\"{route_kind}\",\"timeout_ms\":{timeout},\
         \"latency_slo_ms\":600,\"priority\":0,\"service\":\"s-1\",\"max_attempts\":1,\
         \"public\":false,\"resumable\":false,\"gap_slo_ms\":300}}],\
         \"services\":[{{\"name\":\"s-1\",\"health_path\":\"/healthz\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false{engine}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"t-1\",\"api_keys\":[\"{KEY}\"],\"priority\":0,\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"rate_per_s\":166818,\"burst\":166818}}]}}"
    )
}

/// Sends one request of a client and returns its answer.
pub fn send(entry: SocketAddr, id: &str, deadline_ms: u64) -> std::io::Result<Message> {
    let request = format!(
        "POST /p/2f HTTP/1.1\r\nHost: a.example\r\nTarragonknot-Request-Id: {id}\r\n\
         Tarragonknot-Model: m\r\nTarragonknot-Token-Count: 1460,80\r\n\
         Tarragonknot-Prefix-Hash: 5c1e07a2:800,{id}:660\r\n\
         Tarragonknot-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}"
    );
    call(entry, &request, b"a body", deadline_ms as f64 / 1_000.0 + 1.0)
}

/// Waits until an entry is ready.
pub fn wait_ready(site: &Site, machine: u8, seconds: f64) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let ready = site.at(machine, site.ports.ready);
    while Instant::now() < until {
        let request = format!("GET /-/readyz HTTP/1.1\r\nHost: {ready}\r\nConnection: close");
        if call(ready, &request, &[], 1.0).is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        sleep(0.1);
    }
    false
}

/// Waits for the marker of an engine in the middle of an answer; removes it.
pub fn wait_half(folder: &Path, engines: &[Engine], seconds: f64) -> Option<usize> {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < until {
        for (number, engine) in engines.iter().enumerate() {
            let path = marker(folder, &engine.id);
            if path.exists() {
                let _ = fs::remove_file(path);
                return Some(number);
            }
        }
        sleep(0.002);
    }
    None
}

/// Sends a series of requests, one at a time, and crashes the engine in the middle of some answers.
/// Returns how many incomplete answers reached the client as complete ones.
pub fn crash_in_answers(
    record: &Record,
    entry: SocketAddr,
    engines: &mut [Engine],
    list: &PlatformList,
    (kind, has_trouble, down_s): (AnswerKind, bool, f64),
) -> Option<usize> {
    let folder = engines[0].folder.clone();
    let mut broken = 0;
    let mut whole = 0;
    for number in 0..9 {
        let id = format!("{number:02x}41d07be2a35f68");
        let sent = id.clone();
        let client = std::thread::spawn(move || send(entry, &sent, 9_000));
        record.line(format!("client: request {id} sent"));
        let crashes = has_trouble && number % 3 == 1;
        let found = wait_half(&folder, engines, 8.0);
        if let Some(found) = found.filter(|_| crashes) {
            let engine = &mut engines[found];
            record.line(format!("engine {}: killed in the middle of its answer to {id}", engine.id));
            engine.crash();
        }
        let answer = client.join().expect("client");
        let expected = whole_body(kind, &id);
        match &answer {
            Err(error) => record.line(format!("client: request {id}: no whole answer ({error})")),
            Ok(answer) => {
                let is_success = (200..300).contains(&answer.status());
                let is_equal = answer.body == expected;
                let seal = answer.header("tarragonknot-server-seal").unwrap_or("none");
                record.line(format!(
                    "client: request {id}: {}, seal {seal}, framed {}, complete by its frame: {}, {} of {} bytes",
                    answer.status(),
                    frame_of(answer),
                    answer.is_whole,
                    answer.body.len(),
                    expected.len()
                ));
                whole += usize::from(is_success && answer.is_whole && is_equal);
                if is_success && answer.is_whole && !is_equal {
                    broken += 1;
                    record.line("BROKEN: the engine's body was not complete, and the answer says that it is");
                }
            }
        }
        if crashes && let Some(found) = found {
            sleep(down_s);
            engines[found].start_worker();
            record.line(format!("engine {}: started", engines[found].id));
            *list.0.lock().unwrap() = engines.iter().map(Engine::listed).collect();
            sleep(2.5);
        }
    }
    let runs = fs::read_to_string(folder.join("runs")).unwrap_or_default();
    runs.lines().for_each(|line| record.line(line));
    record.line(format!("whole answers: {whole}; broken: {broken}"));
    (whole > 0).then_some(broken)
}

fn frame_of(answer: &Message) -> &str {
    match (answer.header("content-length"), answer.header("transfer-encoding")) {
        (Some(_), _) => "by a length",
        (None, Some(_)) => "in chunks",
        (None, None) => "by the connection",
    }
}

/// Starts three voters, two entries and three engines, and sends the first configuration.
pub struct Fleet {
    pub engines: Vec<Engine>,
    pub list: PlatformList,
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    pub fn start(
        site: &mut Site,
        record: &Record,
        (kind, has_supervisor): (AnswerKind, bool),
    ) -> Option<Self> {
        let list_address = site.at(9, site.ports.ready);
        site.list = Some(list_address);
        let list = PlatformList::default();
        list.serve(list_address);
        let port = site.ports.callers;
        let engines: Vec<Engine> = [6, 7, 8]
            .into_iter()
            .map(|machine| {
                Engine::start(site.at(machine, port), kind, &site.folder, has_supervisor)
            })
            .collect();
        *list.0.lock().unwrap() = engines.iter().map(Engine::listed).collect();
        let voters = [1, 2, 3];
        let mut daemons = Vec::new();
        for machine in voters {
            super::wipe(&site.data_folder(machine));
            daemons.push(Daemon::start(site, machine, &site.voter(machine, &voters, true)));
        }
        for machine in [4, 5] {
            daemons.push(Daemon::start(site, machine, &site.entry(machine, &voters)));
        }
        let mut operator = super::Operator::new(site, record, &voters);
        let is_acknowledged = operator.replace(&routed_document(3, kind), 15.0);
        let is_ready = is_acknowledged && [4, 5].iter().all(|it| wait_ready(site, *it, 10.0));
        record.line(format!("acknowledged: {is_acknowledged}; entries ready: {is_ready}"));
        sleep(3.0);
        is_ready.then_some(Fleet { engines, list, daemons })
    }
}
