//! A small HTTP/1.1 server and client with one thread for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn arg(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| &**v)
    }
}

pub struct Resp {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Answers a request; `None` gives no answer and closes the connection.
pub type Handler = Arc<dyn Fn(Req) -> Option<Resp> + Send + Sync>;

/// Serves until `stop` is set. Connections then close without an answer.
pub fn serve(listener: TcpListener, stop: Arc<AtomicBool>, handler: Handler) {
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (stop, handler) = (stop.clone(), handler.clone());
                    std::thread::spawn(move || connection(stream, stop, handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(3)),
            }
        }
    });
}

fn connection(mut stream: TcpStream, stop: Arc<AtomicBool>, handler: Handler) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut buf: Vec<u8> = Vec::new();
    let mut chunk = [0u8; 16384];
    loop {
        let (head_end, length, close) = loop {
            if let Some(end) = find(&buf, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&buf[..end]).to_string();
                let length = header(&head, "content-length").and_then(|v| v.parse().ok());
                let close = header(&head, "connection").is_some_and(|v| v.contains("close"));
                let length: usize = length.unwrap_or(0);
                if buf.len() >= end + 4 + length {
                    break (end, length, close);
                }
            }
            if stop.load(Ordering::SeqCst) {
                return;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock
                            | std::io::ErrorKind::TimedOut
                            | std::io::ErrorKind::Interrupted
                    ) => {}
                Err(_) => return,
            }
        };
        let head = String::from_utf8_lossy(&buf[..head_end]).to_string();
        let body = buf[head_end + 4..head_end + 4 + length].to_vec();
        buf.drain(..head_end + 4 + length);
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .collect();
        let req = Req { method, path: path.to_owned(), query, body };
        let Some(resp) = handler(req) else { return };
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let mut out = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            resp.status,
            resp.body.len()
        )
        .into_bytes();
        out.extend_from_slice(&resp.body);
        if stream.write_all(&out).is_err() || close {
            return;
        }
    }
}

fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    hay.windows(needle.len()).position(|w| w == needle)
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|l| {
        let (k, v) = l.split_once(':')?;
        k.trim().eq_ignore_ascii_case(name).then(|| v.trim().to_ascii_lowercase())
    })
}

/// A client with one connection.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Sends one request and waits for the whole answer, for `wait` at most.
    pub fn send(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let end = Instant::now() + wait;
        let mut stream = match self.open.take() {
            Some((a, stream)) if a == addr => stream,
            _ => {
                let s = TcpStream::connect_timeout(&addr, wait.min(Duration::from_secs(1))).ok()?;
                let _ = s.set_nodelay(true);
                s
            }
        };
        let mut out = format!(
            "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        let _ = stream.set_write_timeout(Some(wait));
        stream.write_all(&out).ok()?;
        let mut buf: Vec<u8> = Vec::new();
        let mut chunk = [0u8; 16384];
        loop {
            if let Some(at) = find(&buf, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&buf[..at]).to_string();
                let status = head.split_whitespace().nth(1)?.parse().ok()?;
                let length: usize =
                    header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                if buf.len() >= at + 4 + length {
                    let body = buf[at + 4..at + 4 + length].to_vec();
                    if !header(&head, "connection").is_some_and(|v| v.contains("close")) {
                        self.open = Some((addr, stream));
                    }
                    return Some((status, body));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(_) => return None,
            }
        }
    }
}
