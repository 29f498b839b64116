//! TCP over the sockets of the machine or of a simulated world.

use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use mio::{Interest, Token};

use crate::executor::{Inner, Real, Source, World, try_with_current, wait_on, with_current};
use crate::sim::{ConnectionId, Side, Sim};

/// Registration of a socket with the event loop, removed on drop.
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

/// A socket of the real world or of a simulated world.
enum Socket<R, S: Release> {
    Real(R, Registration),
    Simulated(ReleaseOnDrop<S>),
}

/// A resource of the simulated network, released on drop.
trait Release {
    fn release(&self, inner: &Inner);
}

/// Releases its resource when dropped.
struct ReleaseOnDrop<S: Release>(S);

impl<S: Release> Drop for ReleaseOnDrop<S> {
    fn drop(&mut self) {
        try_with_current(|inner| self.0.release(inner));
    }
}

/// An address to which a listener is bound.
struct BoundAddress(SocketAddr);

impl Release for BoundAddress {
    fn release(&self, inner: &Inner) {
        if let Some(sim) = inner.simulated() {
            sim.unbind(&inner.timers, self.0);
        }
    }
}

/// An open endpoint of a connection.
struct OpenEndpoint {
    connection: ConnectionId,
    side: Side,
}

impl Release for OpenEndpoint {
    fn release(&self, inner: &Inner) {
        if let Some(sim) = inner.simulated() {
            sim.close(&inner.timers, self.connection, self.side);
        }
    }
}

/// Runs `f` with the simulated world. Only called for simulated sockets, which exist only in a
/// simulated world.
fn with_sim<R>(f: impl FnOnce(&Inner, &Sim) -> R) -> R {
    with_current(|inner| match &inner.world {
        World::Simulated(sim) => f(inner, sim),
        World::Real(_) => unreachable!("simulated socket used in the real world"),
    })
}

/// A listening TCP socket.
pub struct TcpListener {
    socket: Socket<mio::net::TcpListener, BoundAddress>,
}

impl TcpListener {
    /// Binds a socket to the address and listens; port 0 selects a free port.
    ///
    /// # Errors
    /// If the address can't be bound, for example because it is in use.
    pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        with_current(|inner| {
            let socket = match &inner.world {
                World::Real(real) => {
                    let mut io = mio::net::TcpListener::bind(addr)?;
                    let registration = Registration::new(inner, real, &mut io, Interest::READABLE)?;
                    Socket::Real(io, registration)
                }
                World::Simulated(sim) => {
                    Socket::Simulated(ReleaseOnDrop(BoundAddress(sim.bind(inner.host(), addr)?)))
                }
            };
            Ok(TcpListener { socket })
        })
    }

    /// Returns the address to which the listener is bound.
    ///
    /// # Errors
    /// If the operating system can't determine the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.socket {
            Socket::Real(io, _) => io.local_addr(),
            Socket::Simulated(bound) => Ok(bound.0.0),
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    /// If the operating system reports an error, for example because no socket is free. In a
    /// simulated world, if the host has no free socket.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        let (io, registration) = match &self.socket {
            Socket::Real(io, registration) => (io, registration),
            Socket::Simulated(bound) => {
                let accepted = poll_fn(|cx| {
                    with_sim(|_, sim| sim.accept(bound.0.0, cx.waker()))
                        .map_or(Poll::Pending, Poll::Ready)
                });
                return Ok(TcpStream::simulated(accepted.await?, Side::Server));
            }
        };
        let stream = poll_fn(|cx| match io.accept() {
            Ok((stream, _)) => Poll::Ready(Ok(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let _ = registration.wait_readable(cx);
                Poll::Pending
            }
            Err(e) => Poll::Ready(Err(e)),
        })
        .await?;
        TcpStream::from_mio(stream)
    }
}

/// A TCP connection.
pub struct TcpStream {
    socket: Socket<mio::net::TcpStream, OpenEndpoint>,
}

impl TcpStream {
    fn simulated(connection: ConnectionId, side: Side) -> TcpStream {
        TcpStream {
            socket: Socket::Simulated(ReleaseOnDrop(OpenEndpoint { connection, side })),
        }
    }

    fn from_mio(mut io: mio::net::TcpStream) -> io::Result<TcpStream> {
        with_current(|inner| {
            let World::Real(real) = &inner.world else {
                unreachable!("real socket used in a simulated world")
            };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let registration = Registration::new(inner, real, &mut io, interest)?;
            let _ = io.set_nodelay(true);
            Ok(TcpStream {
                socket: Socket::Real(io, registration),
            })
        })
    }

    /// Opens a connection to the address.
    ///
    /// # Errors
    /// If the connection is refused, the address is unreachable or no socket is free.
    pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
        if with_current(|inner| inner.simulated().is_some()) {
            let connection = with_sim(|inner, sim| sim.connect(&inner.timers, inner.host(), addr))?;
            let stream = TcpStream::simulated(connection, Side::Client);
            poll_fn(|cx| {
                with_sim(|_, sim| sim.connected(connection, cx.waker()))
                    .map_or(Poll::Pending, Poll::Ready)
            })
            .await?;
            return Ok(stream);
        }
        let stream = TcpStream::from_mio(mio::net::TcpStream::connect(addr)?)?;
        if let Socket::Real(io, registration) = &stream.socket {
            poll_fn(|cx| {
                if let Some(e) = io.take_error()? {
                    return Poll::Ready(Err(e));
                }
                match io.peer_addr() {
                    Ok(_) => Poll::Ready(Ok(())),
                    Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                        registration.wait_writable(cx).map(Ok)
                    }
                    Err(e) => Poll::Ready(Err(e)),
                }
            })
            .await?;
        }
        Ok(stream)
    }

    /// Waits for data, copies what has arrived into `buf` and returns the number of bytes; 0
    /// means the end of the stream.
    ///
    /// # Errors
    /// If the connection was reset.
    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match &mut self.socket {
            Socket::Real(io, registration) => {
                poll_fn(|cx| {
                    loop {
                        match io.read(buf) {
                            Ok(n) => return Poll::Ready(Ok(n)),
                            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                                return registration.wait_readable(cx).map(|()| Ok(0));
                            }
                            Err(e) => return Poll::Ready(Err(e)),
                        }
                    }
                })
                .await
            }
            Socket::Simulated(ReleaseOnDrop(endpoint)) => {
                poll_fn(|cx| {
                    with_sim(|_, sim| {
                        sim.read(endpoint.connection, endpoint.side, buf, Some(cx.waker()))
                    })
                    .map_or(Poll::Pending, Poll::Ready)
                })
                .await
            }
        }
    }

    /// Whether the connection can carry a new request: no data waits to be read and the peer
    /// has not closed the connection.
    pub fn is_reusable(&mut self) -> bool {
        match &mut self.socket {
            Socket::Real(io, _) => {
                matches!(io.read(&mut [0u8; 1]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            }
            Socket::Simulated(ReleaseOnDrop(endpoint)) => {
                with_sim(|_, sim| sim.read(endpoint.connection, endpoint.side, &mut [0u8; 1], None))
                    .is_none()
            }
        }
    }

    /// Writes all bytes of `buf`.
    ///
    /// # Errors
    /// If the connection was reset or closed.
    pub async fn write_all(&mut self, mut buf: &[u8]) -> io::Result<()> {
        let (io, registration) = match &mut self.socket {
            Socket::Real(io, registration) => (io, registration),
            Socket::Simulated(ReleaseOnDrop(endpoint)) => {
                return with_sim(|inner, sim| {
                    sim.write(&inner.timers, endpoint.connection, endpoint.side, buf)
                });
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
                            return registration.wait_writable(cx).map(|()| Ok(0));
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
