//! Engines crash in the middle of answers that have neither a length nor chunks, and start again under
//! their id 0.6 s later. Their listening socket stays with the process that starts them.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::path::Path;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const VOTERS: u8 = 3;
const ENGINES: u8 = 3;
const SLOTS: usize = 8;
const DOWN: Duration = Duration::from_millis(600);
const CRASHES: usize = 6;
const BODY_BYTES: usize = 800;
const EVENTS: u32 = 20;
// The deadlines of `fee-post` and `label-check`.
const PLAIN_DEADLINE_MS: u64 = 800;
const DEADLINE_MS: u64 = 6_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "engine") {
        return run_engine(&arguments[2], arguments[3].parse().unwrap_or(0));
    }
    let folder = arguments.get(1).cloned().unwrap_or_else(|| ".".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = run_case(&Record::create(&Path::new(&folder).join("record.txt")), has_trouble);
    exit(code);
}

// The process of an engine, with its listening socket as standard input. It writes what it does to its
// standard output.

fn run_engine(id: &str, born: u64) {
    // SAFETY: standard input is the listening socket, and nothing else uses it.
    let listener = unsafe { TcpListener::from_raw_fd(0) };
    let id: Arc<str> = id.into();
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let id = Arc::clone(&id);
        thread::spawn(move || serve(stream, &id, born));
    }
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

fn serve(mut stream: TcpStream, own: &str, born: u64) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = read_head(&mut reader)?;
        skip_body(&mut reader, head.length())?;
        let path = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = head.get("tarragonknot-request-id").unwrap_or_default().to_owned();
        let json = "Content-Type: application/json\r\n";
        if head.get("tarragonknot-expect-instance").is_some_and(|name| name != own) {
            answer(&mut stream, 421, &format!("Tarragonknot-Instance-Id: {own}\r\n"), b"")?;
        } else if path == "/healthz" {
            let headers = format!(
                "Tarragonknot-Instance-Id: {own}\r\nTarragonknot-Server-Load: 1,0,{SLOTS},100\r\n{json}"
            );
            answer(&mut stream, 200, &headers, format!("{{\"born\":{born}}}").as_bytes())?;
        } else if path == "/-/report" {
            let body = format!("{{\"born\":{born},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq_no\":0,\"waiting\":0,\"running\":1,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}}");
            answer(&mut stream, 200, json, body.as_bytes())?;
        } else if path == "/-/hold-take" {
            let body = format!("{{\"born\":{born},\"hold\":\"h-{id}\"}}");
            answer(&mut stream, 200, json, body.as_bytes())?;
        } else {
            say(&format!("runs {id}"));
            let is_stream = path.starts_with("/label/");
            let kind = if is_stream { "text/event-stream" } else { "application/octet-stream" };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\nTarragonknot-Request-Id: {id}\r\nTarragonknot-Server-Seal: seal.{own}.{id}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).ok()?;
            if is_stream {
                for number in 1..=EVENTS {
                    stream.write_all(format!("id: {number}\ndata: {id}-{number}\n\n").as_bytes()).ok()?;
                    if number == EVENTS / 2 {
                        say(&format!("half {id}"));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            } else {
                stream.write_all(&vec![b'r'; BODY_BYTES / 2]).ok()?;
                say(&format!("half {id}"));
                thread::sleep(Duration::from_millis(50));
                stream.write_all(&vec![b'r'; BODY_BYTES / 2]).ok()?;
            }
            say(&format!("whole {id}"));
            return Some(());
        }
    }
}

// The process that starts engines again, and the case.

struct Engine {
    id: String,
    address: SocketAddr,
    service: &'static str,
    listener: TcpListener,
    process: Mutex<Child>,
    born: AtomicU64,
    /// Set if its process is to be killed in the middle of its next answer.
    is_marked: AtomicBool,
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn spawn(id: &str, born: u64, listener: &TcpListener) -> Child {
    let socket = OwnedFd::from(listener.try_clone().expect("the socket"));
    Command::new(std::env::current_exe().expect("own path"))
        .args(["engine", id, &born.to_string()])
        .stdin(Stdio::from(socket))
        .stdout(Stdio::piped())
        .spawn()
        .expect("an engine")
}

impl Engine {
    fn start(net: u8, number: u8, service: &'static str) -> Arc<Self> {
        let address = address(net, 3, number, ENGINE);
        let listener = TcpListener::bind(address).expect("an engine's address");
        let (id, born) = (format!("i-{service}-{number}"), unix_millis());
        let process = Mutex::new(spawn(&id, born, &listener));
        let (born, is_marked) = (AtomicU64::new(born), AtomicBool::new(false));
        Arc::new(Engine { id, address, service, listener, process, born, is_marked })
    }

    fn entry(&self) -> String {
        let Engine { id, service, address, .. } = self;
        let born = self.born.load(Ordering::SeqCst);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"hall-a","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"born":{born},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"id":"{id}"}}"#
        )
    }

    /// Records what its processes do, kills one that is marked in the middle of an answer, and starts it
    /// again.
    fn watch(self: Arc<Self>, case: Arc<Case>) {
        loop {
            let output = self.process.lock().unwrap().stdout.take();
            let Some(output) = output else { return };
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                case.record.line(format!("engine {}: {line}", self.id));
                let Some(request) = line.strip_prefix("half ") else { continue };
                if self.is_marked.swap(false, Ordering::SeqCst) {
                    let _ = self.process.lock().unwrap().kill();
                    case.record.line(format!("engine {} is killed in the middle of {request}", self.id));
                    case.crashed.lock().unwrap().push(request.to_owned());
                    break;
                }
            }
            let _ = self.process.lock().unwrap().wait();
            if case.is_over.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(DOWN);
            let born = unix_millis();
            self.born.store(born, Ordering::SeqCst);
            *self.process.lock().unwrap() = spawn(&self.id, born, &self.listener);
            case.record.line(format!("engine {} starts again under its id", self.id));
        }
    }
}

struct Case {
    record: Arc<Record>,
    entry: SocketAddr,
    next_id: AtomicU64,
    is_over: AtomicBool,
    crashed: Mutex<Vec<String>>,
    whole: AtomicU64,
    broken: Mutex<Vec<String>>,
}

fn run_case(record: &Arc<Record>, has_trouble: bool) -> i32 {
    let contracts = r#""base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","quota""#;
    let mut deployment = Deployment::new(1, VOTERS, contracts);
    let net = deployment.net;
    let engines: Vec<Arc<Engine>> = (1..=ENGINES)
        .map(|number| Engine::start(net, number, "licence-ledger"))
        .chain((1..=ENGINES).map(|number| Engine::start(net, number + 10, "tarragon-pool")))
        .collect();
    let list = Arc::new(Mutex::new(engines.iter().map(|engine| engine.entry()).collect::<Vec<_>>()));
    serve_list(net, Arc::clone(&list));
    deployment.start_all();
    thread::sleep(Duration::from_millis(1_500));
    let document = format!(
        r#"{{"version":7,"routes":[{{"name":"fee-post","host":"{HOST}","path_prefix":"/fee/","kind":"unsafe","timeout_ms":{PLAIN_DEADLINE_MS},"latency_slo_ms":120,"priority":1,"service":"licence-ledger","max_attempts":1,"public":false,"sticky":false,"resumable":false}},{{"name":"label-check","host":"{HOST}","path_prefix":"/label/","kind":"stream","timeout_ms":{DEADLINE_MS},"latency_slo_ms":1200,"priority":1,"service":"tarragon-pool","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_slo_ms":400}}],"services":[{{"name":"licence-ledger","health_path":"/healthz","max_conns":804,"protocol":"h1","tls":false}},{{"name":"tarragon-pool","health_path":"/healthz","max_conns":917,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kv_tokens":531651,"kv_token_bytes":327680,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clerks","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}}]}}"#
    );
    let is_configured = configure(net, VOTERS, &document);
    let case = Arc::new(Case {
        record: Arc::clone(record),
        entry: address(net, 1, 1, CALLERS),
        next_id: AtomicU64::new(1),
        is_over: AtomicBool::new(!is_configured),
        crashed: Mutex::default(),
        whole: AtomicU64::new(0),
        broken: Mutex::default(),
    });
    for engine in &engines {
        let (engine, case) = (Arc::clone(engine), Arc::clone(&case));
        thread::spawn(move || engine.watch(case));
    }
    thread::sleep(Duration::from_secs(2));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let case = Arc::clone(&case);
            let prefix = if number % 2 == 0 { "/fee/2f" } else { "/label/2f" };
            thread::spawn(move || {
                while !case.is_over.load(Ordering::SeqCst) {
                    case.exchange(prefix);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let started = Instant::now();
    let mut marked = 0;
    // One engine at a time, each 4 s: a plain one, a model engine, and so on.
    while is_configured && started.elapsed() < Duration::from_secs(4 * CRASHES as u64 + 6) {
        *list.lock().unwrap() = engines.iter().map(|engine| engine.entry()).collect();
        if has_trouble && marked < CRASHES && started.elapsed() > Duration::from_secs(4 * marked as u64 + 3) {
            let place = (marked % 2) * ENGINES as usize + (marked / 2) % ENGINES as usize;
            engines[place].is_marked.store(true, Ordering::SeqCst);
            marked += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    case.is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    engines.iter().for_each(|engine| drop(engine.process.lock().unwrap().kill()));
    drop(deployment);
    let (crashed, broken) = (case.crashed.lock().unwrap(), case.broken.lock().unwrap());
    let whole = case.whole.load(Ordering::SeqCst);
    let summary = format!(
        "answers whole {whole}, engines killed in the middle of an answer {}, answers that look whole and aren't {}",
        crashed.len(),
        broken.len()
    );
    record.line(&summary);
    println!("{summary}");
    let has_run = is_configured && whole >= 50 && (!has_trouble || crashed.len() >= CRASHES / 2);
    if has_run { i32::from(!broken.is_empty()) } else { 2 }
}

impl Case {
    fn exchange(&self, path: &str) -> Option<()> {
        let id = format!("{:016x}", 0xca5e_0000_0000 + self.next_id.fetch_add(1, Ordering::SeqCst));
        let mut stream = TcpStream::connect_timeout(&self.entry, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 2_000))).ok()?;
        let is_stream = path.starts_with("/label/");
        let deadline = if is_stream { DEADLINE_MS } else { PLAIN_DEADLINE_MS };
        let tokens = match is_stream {
            true => format!("Tarragonknot-Model: m\r\nTarragonknot-Token-Count: 1100,100\r\nTarragonknot-Prefix-Hash: 5c1e07a2:60,{id}:1040\r\n"),
            false => String::new(),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nTarragonknot-Request-Id: {id}\r\n{tokens}Tarragonknot-Deadline-Ms: {deadline}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
        );
        self.record.line(format!("caller sends {id} to {path}"));
        stream.write_all(head.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        let body = read_body(&mut reader, &head);
        let expected = match is_stream {
            true => (1..=EVENTS).map(|number| format!("id: {number}\ndata: {id}-{number}\n\n")).collect(),
            false => "r".repeat(BODY_BYTES),
        };
        let frame = if head.get("content-length").is_some() { "a stated length" } else { "chunks and the last one" };
        match body {
            None => self.record.line(format!("answer to {id} is cut, and looks so")),
            Some(body) if status_of(&head) != 200 => {
                self.record.line(format!("caller got {} for {id}, {} bytes", status_of(&head), body.len()));
            }
            Some(body) if body == expected.as_bytes() => {
                self.record.line(format!("caller got 200 for {id}, whole"));
                self.whole.fetch_add(1, Ordering::SeqCst);
            }
            Some(body) => {
                let seal = head.get("tarragonknot-server-seal").unwrap_or("none");
                self.record.line(format!(
                    "BROKEN {id}: 200 with seal {seal} and {frame}, {} of {} bytes",
                    body.len(),
                    expected.len()
                ));
                self.broken.lock().unwrap().push(id);
            }
        }
        Some(())
    }
}
