use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use thiserror::Error;
use umbersail_runtime::{TcpStream, timeout};

use crate::{MAX_HEAD_BYTES, MAX_HEADERS, framing};

/// Why there is no answer. `NotSent`, `Refused` and `Unreachable` prove that the
/// other side has not executed the request.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// There is somebody who takes no connection.
    #[error("refused: {0}")]
    Refused(String),
    /// Nobody answers there, not even with a refusal.
    #[error("unreachable")]
    Unreachable,
    /// There was no response in time.
    #[error("no answer: {0}")]
    Timeout(String),
    /// No answer either: the other side closed the connection.
    #[error("closed: {0}")]
    Closed(String),
    /// The response violates the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl ClientError {
    /// Whether the other side has certainly not executed the request.
    pub fn is_request_not_executed(&self) -> bool {
        matches!(
            self,
            ClientError::NotSent(_) | ClientError::Refused(_) | ClientError::Unreachable
        )
    }
}

/// Bounds of one client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Largest body of a response, in bytes.
    pub max_body_bytes: usize,
    /// Open connections to one address.
    pub max_per_address: usize,
    /// Idle connections kept for one address.
    pub max_idle: usize,
    /// Connections in all, open exchanges and idle ones together: whoever has
    /// hundreds of addresses would use up the process's sockets.
    pub max_total: usize,
    /// Seconds to open a connection.
    pub connect_timeout_s: f64,
}

/// Sends requests over kept-open connections.
#[derive(Clone)]
pub struct Client {
    inner: Rc<ClientInner>,
}

struct ClientInner {
    limits: ClientLimits,
    /// The one that was used last stands last.
    idle: RefCell<VecDeque<(SocketAddr, TcpStream)>>,
    /// Open exchanges by address.
    open: RefCell<BTreeMap<SocketAddr, usize>>,
    open_total: Cell<usize>,
}

/// Counts one open exchange with an address.
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
    /// A client without connections.
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

    /// Sends one request and waits for status and body, `seconds` at most.
    ///
    /// # Errors
    /// Why there is no answer, and with that whether the request may have been executed.
    pub async fn request(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        seconds: f64,
    ) -> Result<(u16, Vec<u8>), ClientError> {
        let answer = self.send(addr, method, target, body, seconds).await?;
        Ok((answer.status, answer.body))
    }

    /// Sends one request and waits for its answer, `seconds` at most.
    ///
    /// # Errors
    /// Why there is no answer, and with that whether the request may have been executed.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        seconds: f64,
    ) -> Result<ClientResponse, ClientError> {
        let Some(_permit) = ExchangePermit::acquire(&self.inner, addr) else {
            return Err(ClientError::NotSent("too many open exchanges".into()));
        };
        match timeout(seconds, self.exchange(addr, method, target, body)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::Timeout("out of time".into())),
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
            if let Some((answer, close)) = parse(&buf, limits.max_body_bytes)? {
                if !close {
                    self.return_to_pool(addr, stream);
                }
                return Ok(answer);
            }
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.inner.idle.borrow_mut();
        while let Some(at) = idle.iter().rposition(|(a, _)| *a == addr) {
            let (_, mut stream) = idle.remove(at)?;
            if stream.is_reusable() {
                return Some(stream);
            }
        }
        // A new connection takes the place of the one unused for longest.
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

/// An answer, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds after which to come back, if the other side says so.
    pub retry_after_s: Option<u32>,
    /// The other side ends the connection with this answer.
    pub closes_connection: bool,
}

/// An answer, and whether the connection ends with it.
type ParsedResponse = Option<(ClientResponse, bool)>;

fn parse(buf: &[u8], max_body: usize) -> Result<ParsedResponse, ClientError> {
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
    let retry = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("retry-after"));
    let retry = retry.and_then(|h| std::str::from_utf8(h.value).ok());
    let answer = ClientResponse {
        status: head.code.unwrap_or(0),
        body: buf[start..start + framing.length].to_vec(),
        retry_after_s: retry.and_then(|text| text.trim().parse().ok()),
        closes_connection: framing.close,
    };
    Ok(Some((answer, framing.close)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_cut_at_their_length_and_bounded() {
        let whole = b"HTTP/1.1 503 No\r\nretry-after: 7\r\nContent-Length: 3\r\n\r\nabc";
        let answer = ClientResponse {
            status: 503,
            body: b"abc".to_vec(),
            retry_after_s: Some(7),
            closes_connection: false,
        };
        assert_eq!(parse(whole, 10), Ok(Some((answer, false))));
        assert_eq!(parse(&whole[..whole.len() - 1], 10), Ok(None));
        assert!(matches!(parse(whole, 2), Err(ClientError::Malformed(_))));
        assert!(matches!(
            parse(b"garbage\r\n\r\n", 10),
            Err(ClientError::Malformed(_))
        ));
    }

    #[test]
    fn connections_in_all_are_bounded_and_the_oldest_idle_one_goes_first() {
        // Guards against one kept-open connection for each of hundreds of
        // workers: they would take the sockets of the front door.
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
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        stream.write_all(answer).await.unwrap();
                        umbersail_runtime::sleep(5.0).await;
                    });
                }
                for addr in &addrs {
                    let answer = client.request(*addr, "GET", "/", b"", 2.0).await;
                    assert_eq!(answer, Ok((200, Vec::new())));
                }
                let kept: Vec<SocketAddr> =
                    client.inner.idle.borrow().iter().map(|(a, _)| *a).collect();
                assert_eq!(kept[kept.len() - 1], addrs[4]);
                let inner = &client.inner;
                let held: Vec<_> = addrs[..3]
                    .iter()
                    .map(|a| ExchangePermit::acquire(inner, *a))
                    .collect();
                assert!(held.iter().all(Option::is_some));
                let refused = ExchangePermit::acquire(inner, addrs[3]).is_none();
                drop(held);
                let open = client.inner.open.borrow().len();
                (kept.len(), refused, open)
            })
            .unwrap();
        assert!(idle <= 3 && refused);
        assert_eq!(open, 0, "no entry is kept for an address that is done with");
    }
}
