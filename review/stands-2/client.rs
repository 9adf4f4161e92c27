//! A client of the gateway.

use crate::http::Channel;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer as the client saw it.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status; 0 if none came.
    pub status: u16,
    pub seal: Option<String>,
    /// The bytes of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing marks it.
    pub complete: bool,
    /// Why it is not complete.
    pub why: String,
    /// The longest pause between two parts of the body.
    pub pause: Duration,
}

impl Answer {
    /// Ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect()
    }
}

pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining: {deadline_ms}\r\nAuthorization: Bearer key-of-huka270\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

/// Sends a request on a channel and reads the whole answer.
pub fn ask(channel: &mut Channel, request: &str) -> Answer {
    let mut answer = Answer::default();
    if let Err(e) = read(channel, request, &mut answer) {
        answer.why = e.to_string();
    }
    answer
}

fn read(channel: &mut Channel, request: &str, answer: &mut Answer) -> std::io::Result<()> {
    channel.stream.write_all(request.as_bytes())?;
    let (status, headers) = channel.head()?;
    let header = |name: &str| {
        let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    answer.status = status;
    answer.seal = header("x-replica-seal");
    let mut last = Instant::now();
    if header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let chunk = channel.chunk()?;
            answer.pause = answer.pause.max(last.elapsed());
            last = Instant::now();
            if chunk.is_empty() {
                break;
            }
            answer.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = header("content-length").and_then(|length| length.parse().ok()) {
        answer.body = channel.body(length)?;
    } else {
        answer.body = channel.rest()?;
    }
    answer.complete = true;
    Ok(())
}

pub fn connect(addr: SocketAddr) -> std::io::Result<Channel> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(45)))?;
    Ok(Channel::new(stream))
}

/// The status of a `GET` without a key; `None` if there is no answer.
pub fn status_of(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut channel = connect(addr).ok()?;
    let answer = ask(&mut channel, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    (answer.status > 0).then_some(answer.status)
}
