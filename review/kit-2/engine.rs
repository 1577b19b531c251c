//! A stand-in of a model engine: a place for each request, events in order, nothing for a caller who left.

use crate::common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the engines of a case work.
#[derive(Clone, Copy)]
pub struct Work {
    pub first_event: Duration,
    pub events: u32,
    pub gap: Duration,
}

#[derive(Default)]
struct Places {
    running: usize,
    held: HashMap<String, Instant>,
    next: u64,
}

pub struct Engine {
    pub id: String,
    net: u8,
    number: u8,
    service: &'static str,
    slots: usize,
    work: Work,
    places: Mutex<Places>,
    record: Arc<Record>,
    /// Request ids that an engine of the case began to work on.
    runs: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

impl Engine {
    pub fn start(
        (net, number): (u8, u8),
        service: &'static str,
        (slots, work): (usize, Work),
        record: &Arc<Record>,
        runs: &Arc<Mutex<HashMap<String, Vec<String>>>>,
    ) -> String {
        let engine = Arc::new(Engine {
            id: format!("i-engine-{number}"),
            net,
            number,
            service,
            slots,
            work,
            places: Mutex::default(),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let entry = engine.entry();
        let listener = TcpListener::bind(address(net, 3, number, ENGINE)).expect("an engine's address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let engine = Arc::clone(&engine);
                thread::spawn(move || engine.serve(stream));
            }
        });
        entry
    }

    /// The engine's entry in the platform's list.
    fn entry(&self) -> String {
        let Engine { id, service, slots, .. } = self;
        let at = address(self.net, 3, self.number, ENGINE);
        format!(
            r#"{{"service":"{service}","address":"{at}","zone":"hall-a","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"id":"{id}"}}"#
        )
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let head = read_head(&mut reader)?;
            skip_body(&mut reader, head.length())?;
            let path = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
            let id = head.get("tarragonknot-request-id").unwrap_or_default().to_owned();
            if head.get("tarragonknot-expect-instance").is_some_and(|name| name != self.id) {
                let own = format!("Tarragonknot-Instance-Id: {}\r\n", self.id);
                answer(&mut stream, 421, &own, b"")?;
            } else if path == "/healthz" {
                let own = format!("Tarragonknot-Instance-Id: {}\r\n", self.id);
                answer(&mut stream, 200, &own, b"ok")?;
            } else if path == "/-/hold-take" {
                match self.hold() {
                    Some(hold) => {
                        let body = format!("{{\"hold\":\"{hold}\"}}");
                        answer(&mut stream, 200, "Content-Type: application/json\r\n", body.as_bytes())?
                    }
                    None => answer(&mut stream, 503, "Tarragonknot-Not-Executed: 1\r\n", b"full")?,
                }
            } else if path.starts_with("/-/") {
                answer(&mut stream, 404, "", b"")?;
            } else if !self.begin(head.get("tarragonknot-hold")) {
                let headers =
                    format!("Tarragonknot-Request-Id: {id}\r\nTarragonknot-Not-Executed: 1\r\n");
                answer(&mut stream, 503, &headers, b"full")?;
            } else {
                self.runs.lock().unwrap().entry(id.clone()).or_default().push(self.id.clone());
                self.record.line(format!("engine {} runs {id}", self.id));
                let whole = self.run(&mut stream, &id);
                self.places.lock().unwrap().running -= 1;
                let end = if whole.is_some() { "answered" } else { "left by the caller of" };
                self.record.line(format!("engine {} {end} {id}", self.id));
                whole?;
            }
        }
    }

    /// Sets a place aside for a second.
    fn hold(&self) -> Option<String> {
        let mut places = self.places.lock().unwrap();
        let now = Instant::now();
        places.held.retain(|_, until| *until > now);
        if places.running + places.held.len() >= self.slots {
            return None;
        }
        places.next += 1;
        let hold = format!("{}-{}", self.id, places.next);
        places.held.insert(hold.clone(), now + Duration::from_secs(1));
        Some(hold)
    }

    fn begin(&self, hold: Option<&str>) -> bool {
        let mut places = self.places.lock().unwrap();
        let now = Instant::now();
        places.held.retain(|_, until| *until > now);
        let is_held = hold.is_some_and(|hold| places.held.remove(hold).is_some());
        let is_free = is_held || places.running + places.held.len() < self.slots;
        places.running += usize::from(is_free);
        is_free
    }

    fn run(&self, stream: &mut TcpStream, id: &str) -> Option<()> {
        thread::sleep(self.work.first_event);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nTarragonknot-Request-Id: {id}\r\nTarragonknot-Server-Seal: seal.{}.{id}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in 1..=self.work.events {
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(self.work.gap);
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}
