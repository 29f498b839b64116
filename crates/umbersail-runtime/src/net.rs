use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use mio::{Interest, Token};

use crate::executor::{Source, try_with_current, wait_on, with_current};

/// A socket's place in the event loop, given back on drop.
struct Registration {
    key: usize,
}

impl Registration {
    fn new(io: &mut impl mio::event::Source, interest: Interest) -> io::Result<Registration> {
        with_current(|inner| {
            let key = inner.sources.borrow_mut().insert(Source::default());
            if let Err(e) = inner.registry.register(io, Token(key), interest) {
                inner.sources.borrow_mut().remove(key);
                return Err(e);
            }
            Ok(Registration { key })
        })
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

pub struct TcpListener {
    io: mio::net::TcpListener,
    registration: Registration,
}

impl TcpListener {
    pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        let mut io = mio::net::TcpListener::bind(addr)?;
        let registration = Registration::new(&mut io, Interest::READABLE)?;
        Ok(TcpListener { io, registration })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    pub async fn accept(&self) -> io::Result<TcpStream> {
        let stream = poll_fn(|cx| match self.io.accept() {
            Ok((stream, _)) => Poll::Ready(Ok(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let _ = self.registration.wait_readable(cx);
                Poll::Pending
            }
            Err(e) => Poll::Ready(Err(e)),
        })
        .await?;
        TcpStream::from_mio(stream)
    }
}

pub struct TcpStream {
    io: mio::net::TcpStream,
    registration: Registration,
}

impl TcpStream {
    fn from_mio(mut io: mio::net::TcpStream) -> io::Result<TcpStream> {
        let registration = Registration::new(&mut io, Interest::READABLE | Interest::WRITABLE)?;
        let _ = io.set_nodelay(true);
        Ok(TcpStream { io, registration })
    }

    pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::from_mio(mio::net::TcpStream::connect(addr)?)?;
        poll_fn(|cx| {
            if let Some(e) = stream.io.take_error()? {
                return Poll::Ready(Err(e));
            }
            match stream.io.peer_addr() {
                Ok(_) => Poll::Ready(Ok(())),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                    stream.registration.wait_writable(cx).map(Ok)
                }
                Err(e) => Poll::Ready(Err(e)),
            }
        })
        .await?;
        Ok(stream)
    }

    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        poll_fn(|cx| {
            loop {
                match self.io.read(buf) {
                    Ok(n) => return Poll::Ready(Ok(n)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        return self.registration.wait_readable(cx).map(|()| Ok(0));
                    }
                    Err(e) => return Poll::Ready(Err(e)),
                }
            }
        })
        .await
    }

    /// True if the connection can carry a new request: nothing to read, not
    /// closed by the other side.
    pub fn is_quiet(&mut self) -> bool {
        matches!(self.io.read(&mut [0u8; 1]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn write_all(&mut self, mut buf: &[u8]) -> io::Result<()> {
        while !buf.is_empty() {
            let n = poll_fn(|cx| {
                loop {
                    match self.io.write(buf) {
                        Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                        Ok(n) => return Poll::Ready(Ok(n)),
                        Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                            return self.registration.wait_writable(cx).map(|()| Ok(0));
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
