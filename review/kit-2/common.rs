//! Stand-ins for the platform, the engines and the operator, and the processes of a small deployment.
//! Standard library only.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const CALLERS: u16 = 18_321;
pub const READY: u16 = 18_324;
pub const LIST: u16 = 18_325;
pub const OPERATORS: u16 = 18_329;
pub const CONTROL: u16 = 17_700;
pub const RELAY: u16 = 17_715;
pub const METRICS: u16 = 19_464;
pub const ENGINE: u16 = 18_380;
pub const HOST: &str = "case.example";
pub const KEY: &str = "key-of-the-tenant";

/// Lines of `record.txt`, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.seconds(), text.as_ref());
    }
}

/// Head of a request or an answer: its first line and its headers, names in lower case.
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Some(Head { line: line.trim_end().to_owned(), headers })
}

pub fn skip_body(reader: &mut impl Read, length: usize) -> Option<()> {
    let mut left = length;
    let mut buffer = vec![0; 64 << 10];
    while left > 0 {
        let wanted = left.min(buffer.len());
        let read = reader.read(&mut buffer[..wanted]).ok()?;
        if read == 0 {
            return None;
        }
        left -= read;
    }
    Some(())
}

/// Reads the body of an answer; `None` if it ends before its stated end.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(body);
            }
        }
    }
    body.resize(head.length(), 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn status_of(head: &Head) -> u16 {
    head.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// A network of loopback addresses (127.NET.x.y) on which all ports of the case are free.
pub fn free_network() -> u8 {
    let first = (std::process::id() % 100) as u8 + 100;
    (0..100)
        .map(|step| 100 + (first - 100 + step) % 100)
        .find(|net| {
            let ports = [CALLERS, READY, LIST, OPERATORS, CONTROL, RELAY, METRICS, ENGINE];
            ports.iter().all(|port| {
                TcpListener::bind(address(*net, 0, 1, *port)).is_ok()
                    && TcpListener::bind(address(*net, 1, 1, *port)).is_ok()
            })
        })
        .expect("free loopback addresses")
}

pub fn address(net: u8, group: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, net, group, number]), port)
}

/// A process of the project, with the settings that the deploy file's template renders.
pub struct Daemon {
    pub ip: IpAddr,
    pub is_voter: bool,
    folder: PathBuf,
    settings: String,
    is_first_start: bool,
    pub child: Option<Child>,
}

pub struct Deployment {
    pub net: u8,
    pub folder: PathBuf,
    pub daemons: Vec<Daemon>,
}

/// Memory of an entry's machine.
pub const MEMORY_MB: u64 = 260;
/// The contracts of lodgeframe-prod and wrekin-tk.
pub const CONTRACTS: &str =
    r#""base","drain","config","cost","retry","recover","engine","stream","tenants","quota""#;

impl Deployment {
    pub fn new(entries: u8, voters: u8, contracts: &str) -> Self {
        let net = free_network();
        let folder = std::env::temp_dir().join(format!("tarragonknot-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seeds: Vec<String> =
            (1..=voters).map(|number| format!("\"{}\"", address(net, 0, number, OPERATORS))).collect();
        let seeds = seeds.join(",");
        let mut daemons = Vec::new();
        for (group, count) in [(0, voters), (1, entries)] {
            for number in 1..=count {
                let is_voter = group == 0;
                let at = |port| address(net, group, number, port);
                let ip = at(0).ip();
                let own = folder.join(format!("{}-{number}", if is_voter { "voter" } else { "entry" }));
                fs::create_dir_all(own.join("data")).expect("a folder");
                let role = match is_voter {
                    true => format!(
                        "\"data_folder\": \"{}/data/state\", \"found_fleet\": FIRST_START,",
                        own.display()
                    ),
                    false => format!(
                        "\"callers\": \"{}\", \"readiness\": \"{}\", \"relay\": \"{}\",",
                        at(CALLERS),
                        at(READY),
                        at(RELAY)
                    ),
                };
                let platform = match is_voter {
                    true => format!("\"operators\": \"{}\",", at(OPERATORS)),
                    false => format!(
                        "\"list_calls_per_second\": 40.0, \"list\": \"{}\",",
                        address(net, 2, 1, LIST)
                    ),
                };
                let settings = format!(
                    r#"{{"daemon": "{ip}", "data_centre": "hall-a", "data_centres": {{"hall-a": "cambridge"}}, {role}
"control": "{}", "seeds": [{seeds}], "when_cut_off": "serve", "balancer_wait_ms": 2500, "stop_grace_s": 8,
"currency_lease_ms": 1500, "traffic_threads": 1, "limit_overage": 0.1, "limit_slack_tokens": 190000,
"repeat_ratio": 0.2, "repeat_slack": 52, "memory_mb": {}, "metrics": "{}", "platform": {{{platform}
"contracts": [{contracts}]}}}}"#,
                    at(CONTROL),
                    if is_voter { 256 } else { MEMORY_MB },
                    at(METRICS)
                );
                daemons.push(Daemon {
                    ip,
                    is_voter,
                    folder: own,
                    settings,
                    is_first_start: true,
                    child: None,
                });
            }
        }
        Deployment { net, folder, daemons }
    }

    pub fn start_all(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::start);
    }

    pub fn entries(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(|daemon| !daemon.is_voter)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    pub fn start(&mut self) {
        let first_start = if self.is_first_start { "true" } else { "false" };
        self.is_first_start = false;
        let path = self.folder.join("node.json");
        fs::write(&path, self.settings.replace("FIRST_START", first_start)).expect("settings");
        let log = File::options().create(true).append(true).open(self.folder.join("log.txt"));
        let log = log.expect("log.txt");
        // The command of the roles in deploy/system.toml.
        let child = Command::new("target/release/tarragonknot")
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(log.try_clone().expect("log.txt"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("target/release/tarragonknot"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory in use, as the kernel reports it, in MiB.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
        kib.unwrap_or(0) / 1_024
    }
}

/// The platform's list of engines.
pub fn serve_list(net: u8, entries: Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(address(net, 2, 1, LIST)).expect("the list's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let entries = Arc::clone(&entries);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                let mut stream = stream;
                while read_head(&mut reader).is_some() {
                    let list = entries.lock().unwrap().join(",");
                    let body = format!("{{\"instances\":[{list}],\"next_token\":null}}");
                    answer(&mut stream, 200, "Content-Type: application/json\r\n", body.as_bytes())?;
                }
                Some(())
            });
        }
    });
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let head =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).ok()
}

/// One call of the operator, with up to two redirects.
fn operator_call(method: &str, path: &str, body: &str, at: SocketAddr) -> Option<(u16, Vec<u8>)> {
    let mut at = at;
    for _ in 0..3 {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        if status_of(&head) == 307 {
            let location = head.get("location")?.strip_prefix("http://")?.to_owned();
            at = location.split('/').next()?.parse().ok()?;
            continue;
        }
        return Some((status_of(&head), read_body(&mut reader, &head)?));
    }
    None
}

/// Sends a configuration until it is acknowledged; false if it is refused or never is.
pub fn configure(net: u8, voters: u8, document: &str) -> bool {
    for step in 0..100u8 {
        let at = address(net, 0, step % voters + 1, OPERATORS);
        match operator_call("POST", "/-/config/replace", document, at) {
            Some((200, _)) => return true,
            Some((400 | 409 | 412 | 413 | 422, _)) => return false,
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    false
}

/// True if the entry says that it is ready.
pub fn is_ready(ip: IpAddr) -> bool {
    let at = SocketAddr::new(ip, READY);
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        write!(stream, "GET /-/readyz HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").ok()?;
        read_head(&mut BufReader::new(stream))
    };
    ask().is_some_and(|head| status_of(&head) == 200)
}
