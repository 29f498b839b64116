//! The server: limits, connections and responses.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use umbersail_runtime::{TcpListener, TcpStream, sleep, spawn, timeout};

use crate::{Framing, MAX_HEAD_BYTES, MAX_HEADERS, framing};

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A response to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body; empty if the response has none.
    pub body: Vec<u8>,
    /// Value of the Retry-After header in seconds; `None` omits the header.
    pub retry_after_s: Option<u32>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

impl Response {
    /// Creates a response with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after_s: None,
            close: false,
        }
    }

    /// Creates a response without a body.
    pub fn empty(status: u16) -> Response {
        Response::new(status, Vec::new())
    }

    /// Creates a response without a body that asks the client to retry after `after_s` seconds.
    pub fn retry(status: u16, after_s: u32) -> Response {
        Response {
            retry_after_s: Some(after_s),
            ..Response::empty(status)
        }
    }
}

/// One connection in this many stays available to new clients: connections that wait for
/// their next request may not occupy that part of the limit.
const FREE_CONNECTIONS_DIVISOR: usize = 8;

impl ServerLimits {
    /// Most connections whose last request had none of the `reserved_paths`.
    fn max_unreserved(&self) -> usize {
        let left = self.max_connections.saturating_sub(self.reserved.get());
        left.max(self.min_unreserved)
    }

    /// Number of open connections up to which a connection stays open after its response.
    /// Beyond that, each closes after its response, so that more clients than
    /// `max_connections` are served in turn: connections kept open between requests would
    /// shut the other clients out.
    fn max_keep_alive(&self) -> usize {
        self.max_connections - self.max_connections / FREE_CONNECTIONS_DIVISOR
    }
}

/// Computes the response to a request.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Most open connections. A connection accepted beyond the limit is closed at once.
    pub max_connections: usize,
    /// Number of connections reserved for those whose last request had one of
    /// `reserved_paths`. The owner of the listener changes the number with the number of
    /// clients that use these paths.
    pub reserved: Rc<Cell<usize>>,
    /// Connections available to all other requests, however many are reserved.
    pub min_unreserved: usize,
    /// Paths whose connections may use the reserved ones.
    pub reserved_paths: Vec<String>,
    /// A connection without a request for this many seconds is closed.
    pub idle_timeout_s: f64,
    /// Longest time in seconds from the first byte of a request to its last one.
    pub receive_timeout_s: f64,
    /// Longest time in seconds to hand a response to the operating system.
    pub send_timeout_s: f64,
}

/// Numbers of open connections of one listener.
#[derive(Default)]
struct ConnectionCounts {
    all: Cell<usize>,
    /// Connections whose last request had one of the reserved paths.
    reserved: Cell<usize>,
}

/// Counts one open connection until it is dropped.
struct Connection {
    counts: Rc<ConnectionCounts>,
    /// Whether the last request had one of the reserved paths.
    reserved: bool,
}

impl Connection {
    fn open(counts: &Rc<ConnectionCounts>) -> Connection {
        counts.all.set(counts.all.get() + 1);
        Connection {
            counts: counts.clone(),
            reserved: false,
        }
    }

    fn set_reserved(&mut self, reserved: bool) {
        if reserved != self.reserved {
            let count = self.counts.reserved.get();
            self.counts
                .reserved
                .set(if reserved { count + 1 } else { count - 1 });
            self.reserved = reserved;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_reserved(false);
        self.counts.all.set(self.counts.all.get() - 1);
    }
}

/// Accepts connections forever and handles each in a routine of its own.
pub async fn serve(listener: TcpListener, limits: ServerLimits, handler: Handler) {
    let limits = Rc::new(limits);
    let counts = Rc::new(ConnectionCounts::default());
    loop {
        match listener.accept().await {
            Ok(stream) => {
                if counts.all.get() >= limits.max_connections {
                    continue;
                }
                let connection = Connection::open(&counts);
                spawn(handle_connection(
                    stream,
                    connection,
                    limits.clone(),
                    handler.clone(),
                ));
            }
            // The usual cause is that the process has no free socket: wait for other
            // connections to close.
            Err(_) => sleep(0.05).await,
        }
    }
}

/// Outcome of receiving one request.
enum Received {
    Request(Request, Framing),
    /// The request is malformed or too large; the connection closes after this response.
    Refuse(Response),
    /// The client closed the connection, or the receive timeout elapsed.
    Closed,
}

/// Handles the requests of one connection until it closes.
async fn handle_connection(
    mut stream: TcpStream,
    mut connection: Connection,
    limits: Rc<ServerLimits>,
    handler: Handler,
) {
    let mut buf: Vec<u8> = Vec::new();
    let mut out: Vec<u8> = Vec::new();
    loop {
        if buf.is_empty() {
            let mut first = [0u8; 2048];
            match timeout(limits.idle_timeout_s, stream.read(&mut first)).await {
                Ok(Ok(n)) if n > 0 => buf.extend_from_slice(&first[..n]),
                _ => return,
            }
        }
        let received = match parse(&mut buf, &limits) {
            Some(received) => received,
            None => timeout(
                limits.receive_timeout_s,
                receive(&mut stream, &mut buf, &limits),
            )
            .await
            .unwrap_or(Received::Closed),
        };
        let (response, close) = match received {
            Received::Closed => return,
            Received::Refuse(response) => (response, true),
            Received::Request(request, framing) => {
                let path = request.path();
                connection.set_reserved(limits.reserved_paths.iter().any(|p| p == path));
                let counts = &connection.counts;
                if !connection.reserved
                    && counts.all.get() - counts.reserved.get() > limits.max_unreserved()
                {
                    (Response::retry(503, 1), true)
                } else {
                    let response = handler(request).await;
                    let at_keep_alive_limit = connection.counts.all.get() > limits.max_keep_alive();
                    let close = framing.close || response.close || at_keep_alive_limit;
                    (response, close)
                }
            }
        };
        encode(&response, close, &mut out);
        match timeout(limits.send_timeout_s, stream.write_all(&out)).await {
            Ok(Ok(())) if !close => {}
            _ => return,
        }
        // Frees the buffers after a large body: the connection may stay open for long.
        if out.capacity() > MAX_HEAD_BYTES {
            out = Vec::new();
        }
        if buf.is_empty() && buf.capacity() > MAX_HEAD_BYTES {
            buf = Vec::new();
        }
    }
}

/// Reads from the connection until one request is complete.
async fn receive(stream: &mut TcpStream, buf: &mut Vec<u8>, limits: &ServerLimits) -> Received {
    let mut chunk = vec![0u8; 8 * 1024];
    loop {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return Received::Closed,
        }
        if let Some(received) = parse(buf, limits) {
            return received;
        }
    }
}

/// Removes one request from the start of the buffer; `None` if more bytes are needed.
fn parse(buf: &mut Vec<u8>, limits: &ServerLimits) -> Option<Received> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let refuse = |status| Some(Received::Refuse(Response::empty(status)));
    let (start, framing, method, target) = match head.parse(buf) {
        Ok(httparse::Status::Complete(n)) => (
            n,
            framing(head.headers),
            head.method.unwrap_or("").to_owned(),
            head.path.unwrap_or("").to_owned(),
        ),
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_BYTES => return None,
        Ok(httparse::Status::Partial) => return refuse(431),
        Err(_) => return refuse(400),
    };
    if framing.unsupported {
        return refuse(400);
    }
    if framing.length > limits.max_body_bytes {
        return refuse(413);
    }
    if buf.len() < start + framing.length {
        return None;
    }
    let body = buf[start..start + framing.length].to_vec();
    buf.drain(..start + framing.length);
    Some(Received::Request(
        Request {
            method,
            target,
            body,
        },
        framing,
    ))
}

/// Writes a response in wire format into `out`, replacing what `out` contains.
fn encode(response: &Response, close: bool, out: &mut Vec<u8>) {
    use std::io::Write;
    out.clear();
    let reason = match response.status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Payload Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    };
    // Writing to a `Vec` never fails.
    let _ = write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        response.status,
        reason,
        response.body.len()
    );
    if !response.body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/msgpack\r\n");
    }
    if let Some(after) = response.retry_after_s {
        let _ = write!(out, "Retry-After: {after}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
}

#[cfg(test)]
mod tests {
    use super::*;
    use umbersail_runtime::Runtime;

    fn limits() -> ServerLimits {
        ServerLimits {
            max_body_bytes: 64,
            max_connections: 8,
            reserved: Rc::default(),
            min_unreserved: 8,
            reserved_paths: vec!["/v1/report".into()],
            idle_timeout_s: 5.0,
            receive_timeout_s: 5.0,
            send_timeout_s: 5.0,
        }
    }

    /// Sends the pieces one by one to a server that echoes target and body. Returns all that
    /// the server sends, followed by `<closed>` if the server closes the connection.
    fn exchange(pieces: Vec<&'static [u8]>) -> String {
        let runtime = Runtime::new().unwrap();
        runtime
            .block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
                let addr = listener.local_addr().unwrap();
                let handler: Handler = Rc::new(|request| {
                    Box::pin(async move {
                        let mut body = request.target.into_bytes();
                        body.push(b'|');
                        body.extend_from_slice(&request.body);
                        Response::new(200, body)
                    })
                });
                spawn(serve(listener, limits(), handler));
                let mut stream = TcpStream::connect(addr).await.unwrap();
                for piece in pieces {
                    stream.write_all(piece).await.unwrap();
                    sleep(0.01).await;
                }
                let mut all = Vec::new();
                let mut chunk = [0u8; 1024];
                while let Ok(Ok(n)) = timeout(0.2, stream.read(&mut chunk)).await {
                    if n == 0 {
                        all.extend_from_slice(b"<closed>");
                        break;
                    }
                    all.extend_from_slice(&chunk[..n]);
                }
                String::from_utf8(all).unwrap()
            })
            .unwrap()
    }

    #[test]
    fn a_request_in_several_pieces_is_reassembled_and_the_connection_stays_open() {
        let received = exchange(vec![
            b"POST /a?b=1 HT",
            b"TP/1.1\r\nContent-Le",
            b"ngth: 4\r\n\r\nab",
            b"cdGET /next HTTP/1.1\r\n\r\n",
        ]);
        assert!(received.contains("/a?b=1|abcd"), "{received}");
        assert!(received.contains("/next|"), "{received}");
        assert!(!received.contains("<closed>"), "{received}");
    }

    #[test]
    fn more_clients_than_connections_are_served_in_turn() {
        // Guards against workers that can't connect, and therefore lose their leases, because
        // the connections of other workers stay open between heartbeats.
        let runtime = Runtime::new().unwrap();
        let (served, still_open) = runtime
            .block_on(async {
                let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
                let addr = listener.local_addr().unwrap();
                let handler: Handler =
                    Rc::new(|_| Box::pin(async { Response::new(200, b"ok".to_vec()) }));
                spawn(serve(listener, limits(), handler));
                let mut clients = Vec::new();
                let mut served = 0;
                for _ in 0..3 * limits().max_connections {
                    let mut stream = TcpStream::connect(addr).await.unwrap();
                    stream
                        .write_all(b"POST /v1/report HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                        .await
                        .unwrap();
                    let mut chunk = [0u8; 1024];
                    let read = timeout(1.0, stream.read(&mut chunk)).await;
                    let length = read.unwrap().unwrap();
                    served += usize::from(chunk[..length].starts_with(b"HTTP/1.1 200"));
                    clients.push(stream);
                    sleep(0.005).await;
                }
                let still_open = clients
                    .iter_mut()
                    .map(TcpStream::is_reusable)
                    .filter(|reusable| *reusable)
                    .count();
                (served, still_open)
            })
            .unwrap();
        assert_eq!(served, 3 * limits().max_connections);
        let limit = limits().max_keep_alive();
        assert_eq!(still_open, limit, "connections up to the limit stay open");
    }

    #[test]
    fn an_oversized_or_malformed_request_is_refused_and_the_connection_closed() {
        let big = exchange(vec![b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"]);
        assert!(
            big.starts_with("HTTP/1.1 413") && big.ends_with("<closed>"),
            "{big}"
        );
        let bad = exchange(vec![b"\x01\x02 nonsense\r\n\r\n"]);
        assert!(
            bad.starts_with("HTTP/1.1 400") && bad.ends_with("<closed>"),
            "{bad}"
        );
        let two = exchange(vec![
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        ]);
        assert!(two.starts_with("HTTP/1.1 400"), "{two}");
    }
}
