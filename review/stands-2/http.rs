//! Reads HTTP/1.1 messages from sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request as it came.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let found = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name);
        found.map(|(_, value)| decode(value))
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(if byte == b'+' { b' ' } else { byte });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with what has been read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Channel {
        let _ = stream.set_nodelay(true);
        Channel { stream, ahead: Vec::new() }
    }

    /// Reads more; false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let read = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(line) if line.is_empty() => return Ok(headers),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    headers.push((name.to_string(), value.trim().to_string()));
                }
            }
        }
    }

    /// The next request; `None` once the connection has ended.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut words = line.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (method, target) = (method.to_string(), target.to_string());
        let headers = self.headers()?;
        let mut request = Request { method, target, headers, body: Vec::new() };
        let length = request.header("content-length").and_then(|length| length.parse().ok());
        request.body = self.exactly(length.unwrap_or(0))?;
        Ok(Some(request))
    }

    /// The head of an answer: its status and headers.
    pub fn head(&mut self) -> io::Result<(u16, Vec<(String, String)>)> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok((status, self.headers()?))
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// A body of this length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        self.exactly(length)
    }

    /// All until the connection ends.
    pub fn rest(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? {}
        Ok(std::mem::take(&mut self.ahead))
    }
}
