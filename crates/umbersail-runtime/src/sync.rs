use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Wakes one waiting routine; a notice given while nobody waits is kept.
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
    pub fn notify(&self) {
        self.inner.pending.set(true);
        if let Some(waker) = self.inner.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub async fn notified(&self) {
        poll_fn(|cx| {
            if self.inner.pending.replace(false) {
                Poll::Ready(())
            } else {
                crate::executor::wait_on(&mut self.inner.waker.borrow_mut(), cx)
            }
        })
        .await
    }
}
