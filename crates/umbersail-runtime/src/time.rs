//! Timers and timeouts, measured by the clock of the current world.

use std::future::Future;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use futures::future::{Either, select};

use crate::executor::{try_with_current, with_current};
use crate::timers::{Event, Nanos, TimerKey};

/// A pending timer; dropping the timer cancels it.
pub struct Sleep {
    at: Nanos,
    key: Option<TimerKey>,
}

/// Waits for `seconds` of steady time.
pub fn sleep(seconds: f64) -> Sleep {
    with_current(|inner| Sleep {
        at: inner.now() + inner.duration(seconds),
        key: None,
    })
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let is_pending = with_current(|inner| match self.key {
            Some(key) => inner.timers.is_pending(key, cx),
            None if self.at <= inner.now() => false,
            None => {
                let waker = cx.waker().clone();
                self.key = Some(inner.timers.schedule(self.at, Event::Wake(waker)));
                true
            }
        });
        if is_pending {
            return Poll::Pending;
        }
        self.key = None;
        Poll::Ready(())
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            try_with_current(|inner| inner.timers.cancel(key));
        }
    }
}

/// Error of [`timeout`]: the time elapsed before the future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Runs `future` for at most `seconds`, then drops it.
///
/// # Errors
/// If the timeout elapsed first.
pub async fn timeout<T>(seconds: f64, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    match select(pin!(future), pin!(sleep(seconds))).await {
        Either::Left((value, _)) => Ok(value),
        Either::Right(((), _)) => Err(Elapsed),
    }
}
