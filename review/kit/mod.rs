//! Stand-ins and process control shared by the cases: voters and entries as separate processes, an
//! operator, and the platform's list and engines over plain HTTP/1.1. Standard library only.
#![allow(dead_code)]

pub mod platform;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["brum-a", "brum-b", "cov-1"];

/// The record of a run: what was sent, answered and done, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Record { start: Instant::now(), file: Mutex::new(File::create(path).expect("record")) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// True unless the environment says `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// The ports that all machines of a day share.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub operators: u16,
    pub control: u16,
    pub relay: u16,
    pub callers: u16,
    pub ready: u16,
}

/// The deployment: one loopback address for each machine, the same ports on all of them.
pub struct Site {
    pub folder: PathBuf,
    pub net: (u8, u8),
    pub ports: Ports,
    pub list: Option<SocketAddr>,
}

impl Site {
    pub fn new(name: &str) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("tarragonknot-review-{name}-{pid}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("folder");
        let net = (64 + (pid % 64) as u8, (pid / 64 % 250) as u8);
        let mut ports: Vec<u16> = Vec::new();
        let mut next = 21_000 + (pid % 400) as u16 * 20;
        while ports.len() < 5 {
            next += 1;
            let is_free = (1..=9).all(|n| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, n));
                TcpListener::bind((ip, next)).is_ok()
                    && std::net::UdpSocket::bind((ip, next)).is_ok()
            });
            if is_free {
                ports.push(next);
            }
        }
        let ports = Ports {
            operators: ports[0],
            control: ports[1],
            relay: ports[2],
            callers: ports[3],
            ready: ports[4],
        };
        Site { folder, net, ports, list: None }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, machine)
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(machine)), port)
    }

    fn seeds(&self, seeds: &[u8]) -> String {
        let seeds = seeds.iter().map(|n| format!("\"{}\"", self.at(*n, self.ports.operators)));
        seeds.collect::<Vec<_>>().join(", ")
    }

    /// The part of the settings that both roles share, as deploy/settings.json.template renders it.
    fn common(&self, machine: u8, seeds: &[u8]) -> String {
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\": \"mids\"")).collect();
        format!(
            "\"daemon\": \"{ip}\", \"data_centre\": \"{zone}\", \"data_centres\": {{ {zones} }},\n\
             \"control\": \"{control}\", \"seeds\": [{seeds}],\n\
             \"when_cut_off\": \"serve\", \"balancer_wait_ms\": 2500, \"currency_lease_ms\": 1500,\n\
             \"traffic_threads\": 1, \"limit_overage\": 0.1, \"limit_slack_tokens\": 190000,\n\
             \"repeat_ratio\": 0.2, \"repeat_slack\": 54, \"memory_mb\": 260,\n",
            ip = self.ip(machine),
            zone = ZONES[usize::from(machine) % ZONES.len()],
            zones = zones.join(", "),
            control = self.at(machine, self.ports.control),
            seeds = self.seeds(seeds),
        )
    }

    pub fn data_folder(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("disk-{machine}"))
    }

    /// Settings of a voter; `bootstrap` is true at the first start of the whole system only.
    pub fn voter(&self, machine: u8, seeds: &[u8], bootstrap: bool) -> String {
        format!(
            "{{ {common} \"data_folder\": \"{data}/state\", \"found_fleet\": {bootstrap},\n\
             \"platform\": {{ \"operators\": \"{operators}\", \"contracts\": [{contracts}] }} }}\n",
            common = self.common(machine, seeds),
            data = self.data_folder(machine).display(),
            operators = self.at(machine, self.ports.operators),
            contracts = CONTRACTS,
        )
    }

    /// Settings of an entry.
    pub fn entry(&self, machine: u8, seeds: &[u8]) -> String {
        format!(
            "{{ {common} \"callers\": \"{callers}\", \"readiness\": \"{ready}\", \"relay\": \"{relay}\",\n\
             \"platform\": {{ \"list_calls_per_second\": 42.0, \"list\": \"{list}\", \"contracts\": [{contracts}] }} }}\n",
            common = self.common(machine, seeds),
            callers = self.at(machine, self.ports.callers),
            ready = self.at(machine, self.ports.ready),
            relay = self.at(machine, self.ports.relay),
            list = self.list.expect("the list's address"),
            contracts = CONTRACTS,
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

const CONTRACTS: &str = "\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \
                         \"stream\", \"tenants\", \"quota\"";

/// One process of the project, started with the command of the deploy file.
pub struct Daemon {
    pub machine: u8,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    pub fn start(site: &Site, machine: u8, settings: &str) -> Self {
        let path = site.folder.join(format!("node-{machine}.json"));
        let log = site.folder.join(format!("log-{machine}.txt"));
        let mut daemon = Daemon { machine, child: None, settings: path, log };
        daemon.restart(settings);
        daemon
    }

    /// Starts the process again with these settings.
    pub fn restart(&mut self, settings: &str) {
        fs::write(&self.settings, settings).expect("settings");
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let program = std::env::var("TARRAGONKNOT")
            .unwrap_or_else(|_| "target/release/tarragonknot".to_owned());
        let child = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits until the process has ended by itself; false if it has not in time.
    pub fn wait_end(&mut self, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            match &mut self.child {
                Some(child) => {
                    if matches!(child.try_wait(), Ok(Some(_))) {
                        self.child = None;
                        return true;
                    }
                }
                None => return true,
            }
            sleep(0.02);
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An HTTP message: a request without a target line of its own, or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Header names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body ended as its head announced.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces. Without a length, an answer ends with its connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or("0"), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                let mut end = String::new();
                message.is_whole = reader.read_line(&mut end)? > 0;
                return Ok(());
            }
            let mut chunk = vec![0; size];
            if let Err(error) = reader.read_exact(&mut chunk) {
                return if error.kind() == io::ErrorKind::UnexpectedEof { Ok(()) } else { Err(error) };
            }
            message.body.extend_from_slice(&chunk);
            let mut end = String::new();
            reader.read_line(&mut end)?;
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut limited = reader.take(length as u64);
            limited.read_to_end(&mut message.body)?;
            message.is_whole = message.body.len() == length;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
            message.is_whole = true;
        }
        None => message.is_whole = true,
    }
    Ok(())
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &str, body: &[u8], seconds: f64) -> io::Result<Message> {
    let limit = Duration::from_secs_f64(seconds);
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let head = format!("{request}\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut message, true)?;
    Ok(message)
}

/// An operator: it picks among the daemons that serve control, follows a 307 twice, moves on after a
/// failure, a 5xx or a second without a response, and sends the same again.
pub struct Operator<'a> {
    pub site: &'a Site,
    pub record: &'a Record,
    pub voters: Vec<u8>,
    next: usize,
}

impl<'a> Operator<'a> {
    pub fn new(site: &'a Site, record: &'a Record, voters: &[u8]) -> Self {
        Operator { site, record, voters: voters.to_vec(), next: 0 }
    }

    fn once(&self, machine: u8, method: &str, path: &str, body: &[u8]) -> Result<Message, String> {
        let mut address = self.site.at(machine, self.site.ports.operators);
        let mut path = path.to_owned();
        for _ in 0..3 {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
                 Content-Type: application/json"
            );
            let answer = call(address, &request, body, 1.0).map_err(|error| error.to_string())?;
            if answer.status() != 307 {
                return Ok(answer);
            }
            let location = answer.header("location").unwrap_or_default().to_owned();
            let rest = location.strip_prefix("http://").unwrap_or_default();
            let (host, target) = rest.split_once('/').ok_or("a 307 without a place")?;
            address = host.parse().map_err(|_| "a 307 without an address".to_owned())?;
            path = format!("/{target}");
        }
        Err("three 307 in a row".to_owned())
    }

    /// Sends a call again and again until it is answered with 200 or a final refusal.
    fn until_clear(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        seconds: f64,
    ) -> Option<Message> {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut pause = 0.1;
        let mut last = String::new();
        while Instant::now() < until {
            let machine = self.voters[self.next % self.voters.len()];
            self.next += 1;
            let text = match self.once(machine, method, path, body) {
                Ok(answer) if answer.status() == 200 => {
                    self.record.line(format!("operator: {method} {path} at machine {machine}: 200"));
                    return Some(answer);
                }
                Ok(answer) if matches!(answer.status(), 400 | 409 | 412 | 413 | 422) => {
                    self.record.line(format!("operator: {method} {path}: {}", answer.status()));
                    return Some(answer);
                }
                Ok(answer) => format!("{}", answer.status()),
                Err(error) => error,
            };
            let text = format!("operator: {method} {path} at machine {machine}: {text}");
            if text != last {
                self.record.line(&text);
                last = text;
            }
            sleep(pause);
            pause = f64::min(pause * 1.5, 1.0);
        }
        self.record.line(format!("operator: {method} {path}: no clear answer in {seconds} s"));
        None
    }

    /// Sends a configuration; true once it is acknowledged.
    pub fn replace(&mut self, document: &str, seconds: f64) -> bool {
        let answer =
            self.until_clear("POST", "/-/config/replace", document.as_bytes(), seconds);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Reads the configuration back.
    pub fn read(&mut self, seconds: f64) -> Option<String> {
        let answer = self.until_clear("GET", "/-/config/read", &[], seconds)?;
        (answer.status() == 200).then(|| answer.text())
    }
}

/// The version of a configuration document.
pub fn version_of(document: &str) -> Option<u64> {
    let rest = document.split_once("\"version\":")?.1;
    rest.trim_start().split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Removes everything that is on a machine's disk.
pub fn wipe(folder: &Path) {
    let _ = fs::remove_dir_all(folder);
    fs::create_dir_all(folder).expect("disk");
}

/// Counts by name, for the record.
pub fn counts(names: impl IntoIterator<Item = String>) -> String {
    let mut known: BTreeMap<String, usize> = BTreeMap::new();
    names.into_iter().for_each(|name| *known.entry(name).or_default() += 1);
    let parts: Vec<String> = known.iter().map(|(name, count)| format!("{name}: {count}")).collect();
    parts.join(", ")
}

/// A configuration with one route and one service.
pub fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\
         \"path_prefix\":\"/p/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"latency_slo_ms\":300,\
         \"priority\":0,\"service\":\"s-1\",\"max_attempts\":1,\"public\":true}}],\
         \"services\":[{{\"name\":\"s-1\",\"health_path\":\"/healthz\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[]}}"
    )
}

/// Adds what the voters logged of their membership and leadership to the record.
pub fn record_voters(record: &Record, voters: &[Daemon]) {
    for voter in voters {
        let log = voter.log_text();
        let is_told = |line: &&str| line.contains("changing voters") || line.contains("\"leads\"");
        let lines = log.lines().filter(is_told);
        lines.for_each(|line| record.line(format!("log of machine {}: {line}", voter.machine)));
    }
}
