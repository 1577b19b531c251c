//! HTTP/1.1 messages as the simulated engines read and write them. An error means that the
//! connection has ended.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request's head, and its body as far as it has been read.
pub struct WireRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl WireRequest {
    /// Value of a header, whose name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Path of the request's target.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// The request's id; empty if it has none.
    pub fn id(&self) -> &str {
        self.header("tarragonknot-request-id").unwrap_or_default()
    }

    /// Header line that echoes the request's id, if it has one.
    pub fn echoed_id(&self) -> String {
        match self.id() {
            "" => String::new(),
            id => format!("tarragonknot-request-id: {id}\r\n"),
        }
    }

    /// Declared length of the body.
    pub fn body_length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection, with the bytes received beyond the last message.
pub struct WireStream {
    stream: TcpStream,
    received: Vec<u8>,
}

impl WireStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        WireStream { stream, received: Vec::new() }
    }

    /// Reads the next request.
    pub async fn read_request(&mut self) -> io::Result<WireRequest> {
        let mut request = self.read_head().await?;
        let length = request.body_length();
        self.read_body(&mut request, length).await?;
        Ok(request)
    }

    /// Reads the head of the next request.
    pub async fn read_head(&mut self) -> io::Result<WireRequest> {
        loop {
            if let Some(end) = self.received.windows(4).position(|window| window == b"\r\n\r\n") {
                let rest = self.received.split_off(end + 4);
                let head = std::mem::replace(&mut self.received, rest);
                let head = String::from_utf8_lossy(&head[..end]).into_owned();
                return Ok(WireRequest { head, body: Vec::new() });
            }
            self.receive().await?;
        }
    }

    /// Reads the body of a request up to `length`.
    pub async fn read_body(&mut self, request: &mut WireRequest, length: usize) -> io::Result<()> {
        loop {
            let missing = length.saturating_sub(request.body.len());
            request.body.extend(self.received.drain(..missing.min(self.received.len())));
            if request.body.len() >= length {
                return Ok(());
            }
            self.receive().await?;
        }
    }

    /// Waits for the first bytes of the next request; false if none arrive within `time`.
    pub async fn wait_for_bytes(&mut self, time: Duration) -> io::Result<bool> {
        if !self.received.is_empty() {
            return Ok(true);
        }
        tokio::time::timeout(time, self.receive())
            .await
            .map_or(Ok(false), |read| read.map(|()| true))
    }

    async fn receive(&mut self) -> io::Result<()> {
        let mut buffer = [0; 8 << 10];
        match self.stream.read(&mut buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.received.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    /// Writes an answer or a part of one.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Makes the close of the connection send a reset.
    pub fn reset(&self) -> io::Result<()> {
        self.stream.set_zero_linger()?;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

/// An answer with a body of known length; `headers` are complete lines.
pub fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
