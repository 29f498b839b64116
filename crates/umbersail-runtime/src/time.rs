use std::future::Future;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::future::{Either, select};

use crate::executor::{try_with_current, with_current};

/// Ends at its time; dropping it takes it off the timers.
pub struct Sleep {
    key: (Instant, u64),
    registered: bool,
}

/// Waits for `seconds` of steady time.
pub fn sleep(seconds: f64) -> Sleep {
    let serial = with_current(|inner| {
        let serial = inner.timer_serial.get() + 1;
        inner.timer_serial.set(serial);
        serial
    });
    let wait = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::from_secs(3600));
    Sleep {
        key: (Instant::now() + wait, serial),
        registered: false,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.registered {
            let waiting = with_current(|inner| {
                let mut timers = inner.timers.borrow_mut();
                match timers.get_mut(&self.key) {
                    Some(waker) => {
                        if !waker.will_wake(cx.waker()) {
                            *waker = cx.waker().clone();
                        }
                        true
                    }
                    None => false,
                }
            });
            return if waiting {
                Poll::Pending
            } else {
                Poll::Ready(())
            };
        }
        if self.key.0 <= Instant::now() {
            return Poll::Ready(());
        }
        self.registered = true;
        with_current(|inner| {
            inner
                .timers
                .borrow_mut()
                .insert(self.key, cx.waker().clone())
        });
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if self.registered {
            try_with_current(|inner| {
                inner.timers.borrow_mut().remove(&self.key);
            });
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
