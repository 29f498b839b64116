use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use thiserror::Error;
use umbersail_runtime::{TcpStream, timeout};

use crate::{MAX_HEAD_BYTES, MAX_HEADERS, framing};

/// Why there is no answer. Only `NotSent` proves that the other side has not
/// executed the request.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ClientError {
    #[error("not sent: {0}")]
    NotSent(String),
    #[error("no answer: {0}")]
    NoAnswer(String),
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Bounds of one client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    pub max_body_bytes: usize,
    /// Open connections to one address.
    pub max_per_address: usize,
    /// Idle connections kept for one address.
    pub max_idle: usize,
    pub connect_s: f64,
}

/// Sends requests over kept-open connections.
#[derive(Clone)]
pub struct Client {
    inner: Rc<ClientInner>,
}

struct ClientInner {
    limits: ClientLimits,
    idle: RefCell<HashMap<SocketAddr, Vec<TcpStream>>>,
    open: RefCell<HashMap<SocketAddr, Rc<Cell<usize>>>>,
}

/// Counts one open exchange with an address.
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    pub fn new(limits: ClientLimits) -> Client {
        Client {
            inner: Rc::new(ClientInner {
                limits,
                idle: RefCell::default(),
                open: RefCell::default(),
            }),
        }
    }

    /// Sends one request and waits for its answer, `seconds` at most.
    pub async fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        seconds: f64,
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let count = self
            .inner
            .open
            .borrow_mut()
            .entry(addr)
            .or_default()
            .clone();
        if count.get() >= self.inner.limits.max_per_address {
            return Err(ClientError::NotSent("too many open exchanges".into()));
        }
        count.set(count.get() + 1);
        let _permit = Permit(count);
        match timeout(seconds, self.exchange(addr, method, target, body)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::NoAnswer("out of time".into())),
        }
    }

    /// Closes the connections kept for an address that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.inner.idle.borrow_mut().remove(&addr);
        self.inner.open.borrow_mut().remove(&addr);
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let limits = &self.inner.limits;
        let mut stream = match self.take_idle(addr) {
            Some(stream) => stream,
            None => match timeout(limits.connect_s, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(e)) => return Err(ClientError::NotSent(e.to_string())),
                Err(_) => return Err(ClientError::NotSent("connect ran out of time".into())),
            },
        };
        let mut message = format!(
            "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        message.extend_from_slice(body);
        stream
            .write_all(&message)
            .await
            .map_err(|e| ClientError::NoAnswer(e.to_string()))?;
        let mut buf = Vec::new();
        let mut chunk = vec![0u8; 8 * 1024];
        loop {
            let n = stream
                .read(&mut chunk)
                .await
                .map_err(|e| ClientError::NoAnswer(e.to_string()))?;
            if n == 0 {
                return Err(ClientError::NoAnswer("connection closed".into()));
            }
            buf.extend_from_slice(&chunk[..n]);
            if let Some((status, body, close)) = parse(&buf, limits.max_body_bytes)? {
                if !close {
                    self.keep(addr, stream);
                }
                return Ok((status, body));
            }
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.inner.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        while let Some(mut stream) = streams.pop() {
            if stream.is_quiet() {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.inner.idle.borrow_mut();
        let streams = idle.entry(addr).or_default();
        if streams.len() < self.inner.limits.max_idle {
            streams.push(stream);
        }
    }
}

type Parsed = Option<(u16, Vec<u8>, bool)>;

fn parse(buf: &[u8], max_body: usize) -> Result<Parsed, ClientError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err(ClientError::Malformed("head too long".into()));
        }
        Err(e) => return Err(ClientError::Malformed(e.to_string())),
    };
    let framing = framing(head.headers);
    if framing.unsupported || framing.length > max_body {
        return Err(ClientError::Malformed("body not acceptable".into()));
    }
    if buf.len() < start + framing.length {
        return Ok(None);
    }
    let body = buf[start..start + framing.length].to_vec();
    Ok(Some((head.code.unwrap_or(0), body, framing.close)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_cut_at_their_length_and_bounded() {
        let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
        assert_eq!(parse(whole, 10), Ok(Some((200, b"abc".to_vec(), false))));
        assert_eq!(parse(&whole[..whole.len() - 1], 10), Ok(None));
        assert!(matches!(parse(whole, 2), Err(ClientError::Malformed(_))));
        assert!(matches!(
            parse(b"garbage\r\n\r\n", 10),
            Err(ClientError::Malformed(_))
        ));
    }
}
