//! Notifications between routines.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use crate::executor::wait_on;

/// Wakes all routines that currently wait. A routine that starts to wait later is woken by
/// the next notification.
#[derive(Clone, Default)]
pub struct Broadcast {
    inner: Rc<BroadcastInner>,
}

#[derive(Default)]
struct BroadcastInner {
    /// Number of notifications so far.
    serial: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Broadcast {
    /// Wakes all waiting routines.
    pub fn notify_all(&self) {
        self.inner.serial.set(self.inner.serial.get() + 1);
        for waker in self.inner.wakers.take() {
            waker.wake();
        }
    }

    /// Waits for the next notification.
    pub async fn notified(&self) {
        let seen = self.inner.serial.get();
        poll_fn(|cx| {
            if self.inner.serial.get() != seen {
                return Poll::Ready(());
            }
            self.inner.wakers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Wakes one waiting routine. A notification without a waiting routine is kept for the next
/// routine that waits; at most one is kept.
#[derive(Clone, Default)]
pub struct Notify {
    inner: Rc<NotifyInner>,
}

#[derive(Default)]
struct NotifyInner {
    pending: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting routine, or keeps the notification for the next one.
    pub fn notify(&self) {
        self.inner.pending.set(true);
        if let Some(waker) = self.inner.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for a notification.
    pub async fn notified(&self) {
        poll_fn(|cx| {
            if self.inner.pending.replace(false) {
                Poll::Ready(())
            } else {
                wait_on(&mut self.inner.waker.borrow_mut(), cx)
            }
        })
        .await
    }
}
