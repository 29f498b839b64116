//! The client and its pool of connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use thiserror::Error;
use umbersail_runtime::{TcpStream, timeout};

use crate::{MAX_HEAD_BYTES, MAX_HEADERS, framing};

/// Why a request has no usable response. `NotSent`, `Refused` and `Unreachable` prove
/// that the server has not executed the request.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The client did not send the request, for example because of its own limits.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The attempt to connect failed with an error, such as a refused connection.
    #[error("connect failed: {0}")]
    Refused(String),
    /// The attempt to connect got no reply before its timeout, not even a refusal.
    #[error("unreachable")]
    Unreachable,
    /// The response did not arrive in time; the request may have been executed.
    #[error("no response: {0}")]
    Timeout(String),
    /// The connection closed or failed before the response was complete; the request may
    /// have been executed.
    #[error("connection closed: {0}")]
    Closed(String),
    /// The response violates the protocol or exceeds a limit.
    #[error("malformed response: {0}")]
    Malformed(String),
}

impl ClientError {
    /// Whether the error proves that the server has not executed the request.
    pub fn is_request_not_executed(&self) -> bool {
        matches!(
            self,
            ClientError::NotSent(_) | ClientError::Refused(_) | ClientError::Unreachable
        )
    }
}

/// Limits of one client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Largest body of a response, in bytes.
    pub max_body_bytes: usize,
    /// Most requests in flight to one address.
    pub max_per_address: usize,
    /// Most idle connections in the pool for one address.
    pub max_idle: usize,
    /// Most connections in total, in use and idle: a client that sends to hundreds of
    /// addresses would otherwise use up the sockets of the process.
    pub max_total: usize,
    /// Longest time to open a connection, in seconds.
    pub connect_timeout_s: f64,
}

/// An HTTP client that keeps idle connections open in a pool.
#[derive(Clone)]
pub struct Client {
    inner: Rc<ClientInner>,
}

struct ClientInner {
    limits: ClientLimits,
    /// Idle connections, the most recently used one last.
    idle: RefCell<VecDeque<(SocketAddr, TcpStream)>>,
    /// Requests in flight by address.
    open: RefCell<BTreeMap<SocketAddr, usize>>,
    /// Requests in flight to all addresses.
    open_total: Cell<usize>,
}

/// Counts one request in flight to an address, until the permit is dropped.
struct ExchangePermit {
    client: Rc<ClientInner>,
    addr: SocketAddr,
}

impl ExchangePermit {
    fn acquire(client: &Rc<ClientInner>, addr: SocketAddr) -> Option<ExchangePermit> {
        let limits = &client.limits;
        let mut open = client.open.borrow_mut();
        let count = open.get(&addr).copied().unwrap_or(0);
        if count >= limits.max_per_address || client.open_total.get() >= limits.max_total {
            return None;
        }
        open.insert(addr, count + 1);
        client.open_total.set(client.open_total.get() + 1);
        Some(ExchangePermit {
            client: client.clone(),
            addr,
        })
    }
}

impl Drop for ExchangePermit {
    fn drop(&mut self) {
        let mut open = self.client.open.borrow_mut();
        match open.get_mut(&self.addr) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                open.remove(&self.addr);
            }
        }
        let total = &self.client.open_total;
        total.set(total.get().saturating_sub(1));
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(limits: ClientLimits) -> Client {
        Client {
            inner: Rc::new(ClientInner {
                limits,
                idle: RefCell::default(),
                open: RefCell::default(),
                open_total: Cell::new(0),
            }),
        }
    }

    /// Sends one request and waits at most `seconds` for the status and body of the response.
    ///
    /// # Errors
    /// Fails without a usable response; the error tells whether the request may have been
    /// executed.
    pub async fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        seconds: f64,
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let response = self.send(addr, method, target, body, seconds).await?;
        Ok((response.status, response.body))
    }

    /// Sends one request and waits at most `seconds` for the response.
    ///
    /// # Errors
    /// Fails without a usable response; the error tells whether the request may have been
    /// executed.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        seconds: f64,
    ) -> Result<ClientResponse, ClientError> {
        let Some(_permit) = ExchangePermit::acquire(&self.inner, addr) else {
            return Err(ClientError::NotSent("too many requests in flight".into()));
        };
        match timeout(seconds, self.exchange(addr, method, target, body)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::Timeout("timeout elapsed".into())),
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<ClientResponse, ClientError> {
        let limits = &self.inner.limits;
        let mut stream = match self.take_idle(addr) {
            Some(stream) => stream,
            None => match timeout(limits.connect_timeout_s, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(e)) => return Err(ClientError::Refused(e.to_string())),
                Err(_) => return Err(ClientError::Unreachable),
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
            .map_err(|e| ClientError::Closed(e.to_string()))?;
        let mut buf = Vec::new();
        let mut chunk = vec![0u8; 8 * 1024];
        loop {
            let n = stream
                .read(&mut chunk)
                .await
                .map_err(|e| ClientError::Closed(e.to_string()))?;
            if n == 0 {
                return Err(ClientError::Closed("end of stream".into()));
            }
            buf.extend_from_slice(&chunk[..n]);
            if let Some((response, close)) = parse(&buf, limits.max_body_bytes)? {
                if !close {
                    self.return_to_pool(addr, stream);
                }
                return Ok(response);
            }
        }
    }

    /// Takes the most recently used reusable connection to the address out of the pool. If
    /// there is none, makes room under `max_total` for a new connection.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.inner.idle.borrow_mut();
        while let Some(at) = idle.iter().rposition(|(a, _)| *a == addr) {
            let (_, mut stream) = idle.remove(at)?;
            if stream.is_reusable() {
                return Some(stream);
            }
        }
        // A new connection replaces the least recently used idle one.
        let limits = &self.inner.limits;
        while !idle.is_empty() && idle.len() + self.inner.open_total.get() > limits.max_total {
            idle.pop_front();
        }
        None
    }

    fn return_to_pool(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.inner.idle.borrow_mut();
        if idle.iter().filter(|(a, _)| *a == addr).count() < self.inner.limits.max_idle {
            idle.push_back((addr, stream));
        }
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Value of the Retry-After header in seconds, if the response has one.
    pub retry_after_s: Option<u32>,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
}

/// A response, and whether the connection closes after it; `None` if more bytes are needed.
type ParsedResponse = Option<(ClientResponse, bool)>;

/// Parses one response from the start of the buffer.
fn parse(buf: &[u8], max_body: usize) -> Result<ParsedResponse, ClientError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err(ClientError::Malformed(format!(
                "the head exceeds {MAX_HEAD_BYTES} bytes"
            )));
        }
        Err(e) => return Err(ClientError::Malformed(e.to_string())),
    };
    let framing = framing(head.headers);
    if framing.unsupported || framing.length > max_body {
        return Err(ClientError::Malformed(format!(
            "unsupported framing, or a body of more than {max_body} bytes"
        )));
    }
    if buf.len() < start + framing.length {
        return Ok(None);
    }
    let retry = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("retry-after"));
    let retry = retry.and_then(|h| std::str::from_utf8(h.value).ok());
    let response = ClientResponse {
        status: head.code.unwrap_or(0),
        body: buf[start..start + framing.length].to_vec(),
        retry_after_s: retry.and_then(|text| text.trim().parse().ok()),
        closes_connection: framing.close,
    };
    Ok(Some((response, framing.close)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_response_ends_at_its_content_length_and_its_body_is_bounded() {
        let whole = b"HTTP/1.1 503 No\r\nretry-after: 7\r\nContent-Length: 3\r\n\r\nabc";
        let response = ClientResponse {
            status: 503,
            body: b"abc".to_vec(),
            retry_after_s: Some(7),
            closes_connection: false,
        };
        assert_eq!(parse(whole, 10), Ok(Some((response, false))));
        assert_eq!(parse(&whole[..whole.len() - 1], 10), Ok(None));
        assert!(matches!(parse(whole, 2), Err(ClientError::Malformed(_))));
        assert!(matches!(
            parse(b"garbage\r\n\r\n", 10),
            Err(ClientError::Malformed(_))
        ));
    }

    #[test]
    fn total_connections_are_bounded_and_the_least_recently_used_idle_one_is_closed() {
        // Guards against one idle connection for each of hundreds of workers: these would
        // use up the sockets that the listener for users and workers needs.
        let runtime = umbersail_runtime::Runtime::new().unwrap();
        let (idle, refused, open) = runtime
            .block_on(async {
                let client = Client::new(ClientLimits {
                    max_body_bytes: 64,
                    max_per_address: 2,
                    max_idle: 2,
                    max_total: 3,
                    connect_timeout_s: 1.0,
                });
                let mut addrs = Vec::new();
                for _ in 0..5 {
                    let listener =
                        umbersail_runtime::TcpListener::bind("127.0.0.1:0".parse().unwrap());
                    let listener = listener.unwrap();
                    addrs.push(listener.local_addr().unwrap());
                    umbersail_runtime::spawn(async move {
                        let mut stream = listener.accept().await.unwrap();
                        let mut chunk = [0u8; 256];
                        stream.read(&mut chunk).await.unwrap();
                        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        stream.write_all(response).await.unwrap();
                        umbersail_runtime::sleep(5.0).await;
                    });
                }
                for addr in &addrs {
                    let response = client.request(*addr, "GET", "/", b"", 2.0).await;
                    assert_eq!(response, Ok((200, Vec::new())));
                }
                let idle: Vec<SocketAddr> =
                    client.inner.idle.borrow().iter().map(|(a, _)| *a).collect();
                assert_eq!(idle[idle.len() - 1], addrs[4]);
                let inner = &client.inner;
                let permits: Vec<_> = addrs[..3]
                    .iter()
                    .map(|a| ExchangePermit::acquire(inner, *a))
                    .collect();
                assert!(permits.iter().all(Option::is_some));
                let refused = ExchangePermit::acquire(inner, addrs[3]).is_none();
                drop(permits);
                let open = client.inner.open.borrow().len();
                (idle.len(), refused, open)
            })
            .unwrap();
        assert!(idle <= 3 && refused);
        assert_eq!(
            open, 0,
            "an address without a request in flight has no entry"
        );
    }
}
