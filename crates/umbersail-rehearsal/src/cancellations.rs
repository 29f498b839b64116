//! Cancellations that a fault of the scenario requests from users, each at a chosen controller.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use umbersail_runtime::{Notify, sleep};

/// A user who waits before the next poll and can be requested to cancel instead.
#[derive(Default)]
struct IdleUser {
    controller: Cell<Option<usize>>,
    wake: Notify,
}

/// The waiting users, by job, who can be requested to cancel.
#[derive(Default)]
pub struct Cancellations {
    idle: RefCell<BTreeMap<String, Rc<IdleUser>>>,
}

impl Cancellations {
    /// Waits for this many seconds or until a cancellation of the job is requested. In the
    /// latter case, returns the index of the controller to send the cancellation to.
    pub async fn wait(&self, job: &str, seconds: f64) -> Option<usize> {
        let idle = Rc::new(IdleUser::default());
        self.idle.borrow_mut().insert(job.to_owned(), idle.clone());
        let is_asked = {
            let asked = pin!(idle.wake.notified());
            let over = pin!(sleep(seconds));
            matches!(select(asked, over).await, Either::Left(_))
        };
        self.idle.borrow_mut().remove(job);
        is_asked.then(|| idle.controller.get()).flatten()
    }

    /// Returns the jobs whose users wait and have no request to cancel yet.
    pub fn idle_jobs(&self) -> Vec<String> {
        let idle = self.idle.borrow();
        let open = idle.iter().filter(|(_, i)| i.controller.get().is_none());
        open.map(|(job, _)| job.clone()).collect()
    }

    /// Requests that the job's user cancels the job at this controller at once. Does nothing if
    /// the user does not wait.
    pub fn request_cancel(&self, job: &str, controller: usize) {
        if let Some(idle) = self.idle.borrow().get(job) {
            idle.controller.set(Some(controller));
            idle.wake.notify();
        }
    }
}
