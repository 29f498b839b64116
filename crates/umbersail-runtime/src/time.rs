//! Waiting, by the clock of the world that runs.

use std::future::Future;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use futures::future::{Either, select};

use crate::executor::{Due, Nanos, try_with_current, with_current};

/// Ends at its time; dropping it takes it off the timers.
pub struct Sleep {
    at: Nanos,
    key: Option<(Nanos, u64)>,
}

/// Waits for `seconds` of steady time.
pub fn sleep(seconds: f64) -> Sleep {
    with_current(|inner| Sleep {
        at: inner.now() + inner.span(seconds),
        key: None,
    })
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let waits = with_current(|inner| match self.key {
            Some(key) => inner.is_put_off(key, cx),
            None if self.at <= inner.now() => false,
            None => {
                let waker = cx.waker().clone();
                self.key = Some(inner.put_off(self.at, Due::Wake(waker)));
                true
            }
        });
        if waits {
            return Poll::Pending;
        }
        self.key = None;
        Poll::Ready(())
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            try_with_current(|inner| inner.take_back(key));
        }
    }
}

/// The time ran out before the future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Runs `future` for at most `seconds`, then drops it.
pub async fn timeout<T>(seconds: f64, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    match select(pin!(future), pin!(sleep(seconds))).await {
        Either::Left((value, _)) => Ok(value),
        Either::Right(((), _)) => Err(Elapsed),
    }
}
