//! Plain HTTP/1.1 messages on blocking sockets.

use std::io::Read;
use std::net::TcpStream;

/// Head of a request or an answer. Names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// A whole message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => false,
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            true
        }
    }
}

/// Reads a message with a length or in chunks; `None` if the connection ends before it is whole.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if !read_more(stream, buffer) {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next()?;
    let mut words = first.splitn(3, ' ');
    let (one, two) = (words.next()?, words.next()?);
    let mut head = Head::default();
    if one.starts_with("HTTP/") {
        head.status = two.parse().ok()?;
    } else {
        head.method = one.to_owned();
        head.target = two.to_owned();
    }
    for line in lines {
        let (name, value) = line.split_once(':')?;
        head.headers
            .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = head
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    let body = if is_chunked {
        read_chunks(stream, buffer)?
    } else {
        let length = head
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        take(stream, buffer, length)?
    };
    Some(Message { head, body })
}

fn take(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buffer.len() < length {
        if !read_more(stream, buffer) {
            return None;
        }
    }
    Some(buffer.drain(..length).collect())
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                break end;
            }
            if !read_more(stream, buffer) {
                return None;
            }
        };
        let size: Vec<u8> = buffer.drain(..end + 2).collect();
        let size = String::from_utf8_lossy(&size);
        let length = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
        body.extend(take(stream, buffer, length)?);
        take(stream, buffer, 2)?;
        if length == 0 {
            return Some(body);
        }
    }
}
