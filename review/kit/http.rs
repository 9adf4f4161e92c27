//! HTTP/1.1 messages on plain sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;

/// A request as it came.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The first value of a header; names are in lower case.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// Reads one line without its end; `None` at the end of the connection.
fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(invalid("the connection ended inside a line"));
    }
    Ok(Some(line.trim_end().to_string()))
}

fn headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = line(from)?.ok_or_else(|| invalid("the connection ended inside a head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("not a header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn exact(from: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn chunk(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(from)?.ok_or_else(|| invalid("the connection ended before a chunk"))?;
    let size = size.split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid("not a chunk"))?;
    let data = exact(from, size)?;
    let end = line(from)?.ok_or_else(|| invalid("the connection ended inside a chunk"))?;
    if end.is_empty() { Ok(data) } else { Err(invalid("a chunk has no end")) }
}

/// Reads a request; `None` where the connection ended before one.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(from)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default().to_string();
    let headers = headers(from)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let part = chunk(from)?;
            if part.is_empty() {
                break;
            }
            body.extend(part);
        }
    } else if let Some(length) = header(&headers, "content-length") {
        body = exact(from, length.parse().map_err(|_| invalid("not a length"))?)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// The head of an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

/// Reads the head of an answer.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Head> {
    let first = line(from)?.ok_or_else(|| invalid("the connection ended without an answer"))?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("not an answer"))?;
    Ok(Head { status, headers: headers(from)? })
}

/// Reads the body of an answer with a length or in chunks, and passes on each part.
pub fn read_body(
    from: &mut impl BufRead,
    head: &Head,
    mut part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if header(&head.headers, "transfer-encoding").is_some() {
        loop {
            let data = chunk(from)?;
            if data.is_empty() {
                return Ok(());
            }
            part(&data);
        }
    }
    let length = header(&head.headers, "content-length");
    match length.map(str::parse) {
        Some(Ok(length)) => part(&exact(from, length)?),
        _ => {
            let mut rest = Vec::new();
            from.read_to_end(&mut rest)?;
            part(&rest);
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn write_answer(
    to: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    to.write_all(text.as_bytes())
}
