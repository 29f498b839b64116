//! HTTP/1.1 over the sockets of `umbersail-runtime`: a server and a client with a connection
//! pool, both with limits on body sizes, connections and time. `httparse` parses the heads.
//!
//! Bodies have a `Content-Length`; messages with `Transfer-Encoding` are rejected.
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod client;
mod server;

pub use client::{Client, ClientError, ClientLimits, ClientResponse};
pub use server::{Handler, Request, Response, ServerLimits, serve};

/// Size in bytes at which an incomplete head (start line and headers) of a message is
/// rejected.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most headers of one message.
const MAX_HEADERS: usize = 32;

/// How a message is delimited, as its headers say.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
struct Framing {
    /// Length of the body in bytes; 0 without a `Content-Length` header.
    length: usize,
    /// Whether `Connection: close` is set.
    close: bool,
    /// Whether the headers do not determine where the message ends.
    unsupported: bool,
}

/// Reads the headers that delimit a message.
fn framing(headers: &[httparse::Header<'_>]) -> Framing {
    let mut out = Framing::default();
    let mut length: Option<usize> = None;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            match value.parse::<usize>() {
                // With two different lengths, sender and receiver could disagree on where
                // the next message begins (request smuggling).
                Ok(n) if digits && length.is_none_or(|old| old == n) => length = Some(n),
                _ => out.unsupported = true,
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            out.unsupported = true;
        } else if header.name.eq_ignore_ascii_case("connection")
            && value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"))
        {
            out.close = true;
        }
    }
    out.length = length.unwrap_or(0);
    out
}
