//! TCP, by the machine's sockets or those of a simulated world.

use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use mio::{Interest, Token};

use crate::executor::{Inner, Real, Source, World, try_with_current, wait_on, with_current};

/// A socket's place in the event loop, given back on drop.
struct Registration {
    key: usize,
}

impl Registration {
    fn new(
        inner: &Inner,
        real: &Real,
        io: &mut impl mio::event::Source,
        interest: Interest,
    ) -> io::Result<Registration> {
        let key = inner.sources.borrow_mut().insert(Source::default());
        if let Err(e) = real.registry.register(io, Token(key), interest) {
            inner.sources.borrow_mut().remove(key);
            return Err(e);
        }
        Ok(Registration { key })
    }

    fn wait_readable(&self, cx: &Context<'_>) -> Poll<()> {
        with_current(|inner| wait_on(&mut inner.sources.borrow_mut()[self.key].reader, cx))
    }

    fn wait_writable(&self, cx: &Context<'_>) -> Poll<()> {
        with_current(|inner| wait_on(&mut inner.sources.borrow_mut()[self.key].writer, cx))
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        try_with_current(|inner| {
            inner.sources.borrow_mut().try_remove(self.key);
        });
    }
}

/// One of a real socket and a simulated one.
enum Socket<R, S: Held> {
    Real(R, Registration),
    Simulated(OnDrop<S>),
}

/// What a simulated socket holds, let go of on drop.
trait Held {
    fn release(&self, inner: &Inner);
}

struct OnDrop<S: Held>(S);

impl<S: Held> Drop for OnDrop<S> {
    fn drop(&mut self) {
        try_with_current(|inner| self.0.release(inner));
    }
}

/// An address that a host listens at.
struct Bound(SocketAddr);

impl Held for Bound {
    fn release(&self, inner: &Inner) {
        if let Some(sim) = inner.simulated() {
            sim.unbind(inner, self.0);
        }
    }
}

/// One end of a connection.
struct OpenEnd {
    conn: u64,
    side: usize,
}

impl Held for OpenEnd {
    fn release(&self, inner: &Inner) {
        if let Some(sim) = inner.simulated() {
            sim.close(inner, self.conn, self.side);
        }
    }
}

/// Uses the simulated world; a simulated socket is never seen outside of one.
fn in_world<R>(f: impl FnOnce(&Inner, &crate::sim::Sim) -> R) -> R {
    with_current(|inner| match &inner.world {
        World::Simulated(sim) => f(inner, sim),
        World::Real(_) => unreachable!("a simulated socket in the real world"),
    })
}

pub struct TcpListener {
    socket: Socket<mio::net::TcpListener, Bound>,
}

impl TcpListener {
    pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        with_current(|inner| {
            let socket = match &inner.world {
                World::Real(real) => {
                    let mut io = mio::net::TcpListener::bind(addr)?;
                    let place = Registration::new(inner, real, &mut io, Interest::READABLE)?;
                    Socket::Real(io, place)
                }
                World::Simulated(sim) => {
                    Socket::Simulated(OnDrop(Bound(sim.bind(inner.host(), addr)?)))
                }
            };
            Ok(TcpListener { socket })
        })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.socket {
            Socket::Real(io, _) => io.local_addr(),
            Socket::Simulated(bound) => Ok(bound.0.0),
        }
    }

    pub async fn accept(&self) -> io::Result<TcpStream> {
        let (io, place) = match &self.socket {
            Socket::Real(io, place) => (io, place),
            Socket::Simulated(bound) => {
                let accepted = poll_fn(|cx| {
                    in_world(|_, sim| sim.accept(bound.0.0, cx.waker()))
                        .map_or(Poll::Pending, Poll::Ready)
                });
                return Ok(TcpStream::simulated(accepted.await?, 1));
            }
        };
        let stream = poll_fn(|cx| match io.accept() {
            Ok((stream, _)) => Poll::Ready(Ok(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let _ = place.wait_readable(cx);
                Poll::Pending
            }
            Err(e) => Poll::Ready(Err(e)),
        })
        .await?;
        TcpStream::from_mio(stream)
    }
}

pub struct TcpStream {
    socket: Socket<mio::net::TcpStream, OpenEnd>,
}

impl TcpStream {
    fn simulated(conn: u64, side: usize) -> TcpStream {
        TcpStream {
            socket: Socket::Simulated(OnDrop(OpenEnd { conn, side })),
        }
    }

    fn from_mio(mut io: mio::net::TcpStream) -> io::Result<TcpStream> {
        with_current(|inner| {
            let World::Real(real) = &inner.world else {
                unreachable!("a real socket in a simulated world")
            };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let place = Registration::new(inner, real, &mut io, interest)?;
            let _ = io.set_nodelay(true);
            Ok(TcpStream {
                socket: Socket::Real(io, place),
            })
        })
    }

    pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
        if with_current(|inner| inner.simulated().is_some()) {
            let conn = in_world(|inner, sim| sim.connect(inner, addr))?;
            let stream = TcpStream::simulated(conn, 0);
            poll_fn(|cx| {
                in_world(|_, sim| sim.connected(conn, cx.waker()))
                    .map_or(Poll::Pending, Poll::Ready)
            })
            .await?;
            return Ok(stream);
        }
        let stream = TcpStream::from_mio(mio::net::TcpStream::connect(addr)?)?;
        if let Socket::Real(io, place) = &stream.socket {
            poll_fn(|cx| {
                if let Some(e) = io.take_error()? {
                    return Poll::Ready(Err(e));
                }
                match io.peer_addr() {
                    Ok(_) => Poll::Ready(Ok(())),
                    Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                        place.wait_writable(cx).map(Ok)
                    }
                    Err(e) => Poll::Ready(Err(e)),
                }
            })
            .await?;
        }
        Ok(stream)
    }

    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match &mut self.socket {
            Socket::Real(io, place) => {
                poll_fn(|cx| {
                    loop {
                        match io.read(buf) {
                            Ok(n) => return Poll::Ready(Ok(n)),
                            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                                return place.wait_readable(cx).map(|()| Ok(0));
                            }
                            Err(e) => return Poll::Ready(Err(e)),
                        }
                    }
                })
                .await
            }
            Socket::Simulated(OnDrop(end)) => {
                poll_fn(|cx| {
                    in_world(|_, sim| sim.read(end.conn, end.side, buf, Some(cx.waker())))
                        .map_or(Poll::Pending, Poll::Ready)
                })
                .await
            }
        }
    }

    /// True if the connection can carry a new request: nothing to read, not
    /// closed by the other side.
    pub fn is_quiet(&mut self) -> bool {
        match &mut self.socket {
            Socket::Real(io, _) => {
                matches!(io.read(&mut [0u8; 1]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            }
            Socket::Simulated(OnDrop(end)) => {
                in_world(|_, sim| sim.read(end.conn, end.side, &mut [0u8; 1], None)).is_none()
            }
        }
    }

    pub async fn write_all(&mut self, mut buf: &[u8]) -> io::Result<()> {
        let (io, place) = match &mut self.socket {
            Socket::Real(io, place) => (io, place),
            Socket::Simulated(OnDrop(end)) => {
                return in_world(|inner, sim| sim.write(inner, end.conn, end.side, buf));
            }
        };
        while !buf.is_empty() {
            let n = poll_fn(|cx| {
                loop {
                    match io.write(buf) {
                        Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                        Ok(n) => return Poll::Ready(Ok(n)),
                        Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                            return place.wait_writable(cx).map(|()| Ok(0));
                        }
                        Err(e) => return Poll::Ready(Err(e)),
                    }
                }
            })
            .await?;
            buf = &buf[n..];
        }
        Ok(())
    }
}
