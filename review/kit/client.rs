//! A caller: sends one request on a channel of its own and reads the answer as it comes.

use super::http::{chunk, header, read_body, read_head};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request to send.
#[derive(Debug, Clone)]
pub struct Ask {
    pub to: SocketAddr,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub id: String,
    pub key: Option<String>,
    /// Further header lines, each with its line end.
    pub headers: String,
    pub body: Vec<u8>,
    /// What `X-Deadline-Remaining` says, and for how long the caller waits in all.
    pub budget: Duration,
    /// Longest gap after which the caller gives a stream up.
    pub gap: Duration,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The whole answer has arrived.
    Whole,
    /// The channel ended inside the answer or before it.
    Cut(String),
    /// The caller gave up.
    GaveUp,
}

/// What the caller saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub status: Option<u16>,
    pub seal: Option<String>,
    /// Ids of the events, in their order.
    pub events: Vec<u64>,
    pub body: Vec<u8>,
    pub end: End,
    /// Time from the request to the end.
    pub took: Duration,
}

/// A channel to a gateway, which may carry several requests one after the other.
pub struct Channel {
    stream: TcpStream,
    from: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel within a second.
    pub fn open(to: SocketAddr) -> std::io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let from = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, from })
    }

    /// Sends a request on this channel and reads the answer.
    pub fn send(&mut self, ask: &Ask) -> Seen {
        watch(|began, seen| exchange(self, ask, began, seen))
    }
}

/// Sends a request on a new channel and reads the answer.
pub fn send(ask: &Ask) -> Seen {
    watch(|began, seen| exchange(&mut Channel::open(ask.to)?, ask, began, seen))
}

fn watch(exchange: impl FnOnce(Instant, &mut Seen) -> std::io::Result<()>) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        status: None,
        seal: None,
        events: Vec::new(),
        body: Vec::new(),
        end: End::Whole,
        took: Duration::ZERO,
    };
    if let Err(e) = exchange(began, &mut seen) {
        seen.end = match e.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => End::GaveUp,
            _ => End::Cut(e.to_string()),
        };
    }
    seen.took = began.elapsed();
    seen
}

fn exchange(
    channel: &mut Channel,
    ask: &Ask,
    began: Instant,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let Channel { stream, from } = channel;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\nx-request-id: {}\r\nx-deadline-remaining: {}\r\n{}",
        ask.method,
        ask.path,
        ask.host,
        ask.id,
        ask.budget.as_millis(),
        ask.headers,
    );
    if let Some(key) = &ask.key {
        head.push_str(&format!("authorization: Bearer {key}\r\n"));
    }
    if !ask.body.is_empty() {
        head.push_str(&format!("content-length: {}\r\n", ask.body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&ask.body)?;
    // A read waits for the gap at most, and never beyond the time budget.
    let arm = || {
        let left = ask.budget.saturating_sub(began.elapsed()).min(ask.gap);
        match left.is_zero() {
            true => Err(ErrorKind::TimedOut.into()),
            false => stream.set_read_timeout(Some(left)),
        }
    };
    arm()?;
    let head = read_head(from)?;
    seen.status = Some(head.status);
    seen.seal = header(&head.headers, "x-replica-seal").map(str::to_string);
    if header(&head.headers, "transfer-encoding").is_none() {
        arm()?;
        return read_body(from, &head, |part| seen.body.extend_from_slice(part));
    }
    let mut searched = 0;
    loop {
        arm()?;
        let part = chunk(from)?;
        if part.is_empty() {
            return Ok(());
        }
        seen.body.extend_from_slice(&part);
        while let Some(at) = seen.body[searched..].windows(2).position(|pair| pair == b"\n\n") {
            let event = String::from_utf8_lossy(&seen.body[searched..searched + at]).to_string();
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            seen.events.extend(id.and_then(|id| id.trim().parse::<u64>().ok()));
            searched += at + 2;
        }
    }
}
