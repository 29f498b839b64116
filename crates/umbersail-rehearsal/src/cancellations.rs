//! Cancellations that the script of failures asks of users, each at a controller of
//! its choice.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use umbersail_runtime::{Notify, sleep};

/// A user who waits before the next question, and may be asked to cancel instead.
#[derive(Default)]
struct IdleUser {
    controller: Cell<Option<usize>>,
    wake: Notify,
}

/// Users that can be asked to cancel their jobs.
#[derive(Default)]
pub struct Cancellations {
    idle: RefCell<BTreeMap<String, Rc<IdleUser>>>,
}

impl Cancellations {
    /// Waits for so many seconds, or until the job is to be cancelled: then the number
    /// of the controller to ask is returned.
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

    /// Jobs whose users wait, and have not been asked yet.
    pub fn idle_jobs(&self) -> Vec<String> {
        let idle = self.idle.borrow();
        let open = idle.iter().filter(|(_, i)| i.controller.get().is_none());
        open.map(|(job, _)| job.clone()).collect()
    }

    /// The job's user shall cancel it at this controller, at once.
    pub fn request_cancel(&self, job: &str, controller: usize) {
        if let Some(idle) = self.idle.borrow().get(job) {
            idle.controller.set(Some(controller));
            idle.wake.notify();
        }
    }
}
