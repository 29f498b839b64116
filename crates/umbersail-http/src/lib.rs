//! HTTP/1.1 on `httparse`: a server and a pooled client, both bounded in
//! bodies, connections and time.
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

/// Room for the head of one message, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers of one message.
const MAX_HEADERS: usize = 32;

/// Headers that both sides act on.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
struct Framing {
    length: usize,
    close: bool,
    unsupported: bool,
}

fn framing(headers: &[httparse::Header<'_>]) -> Framing {
    let mut out = Framing::default();
    let mut length: Option<usize> = None;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            match value.parse::<usize>() {
                // Two lengths that differ would let a peer and us disagree on
                // where the next message begins.
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
