//! Decides which work outside a reservation may use reserved machines.

use umbersail_wire::Priority;

use crate::{Settings, Terms};

/// A job whose work a machine is not reserved for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Borrower<'a> {
    /// Class of the job.
    pub class: &'a str,
    /// Priority of the job.
    pub tier: Priority,
    /// Time in seconds that a task needs to save a checkpoint when it is preempted; absent if
    /// tasks of the job save no checkpoints.
    pub checkpoint_s: Option<f64>,
    /// Seconds since the job was submitted.
    pub waited_s: f64,
    /// Whether the job belongs to a team other than the reservation's and is within that team's
    /// guaranteed capacity.
    pub guaranteed: bool,
}

impl Borrower<'_> {
    /// Whether the job's tasks may be preempted for the work that the machine is reserved for:
    /// the job has a lower priority and saves a checkpoint in the allowed time.
    pub fn is_preemptible_for(&self, terms: &Terms) -> bool {
        self.tier < terms.priority
            && self
                .checkpoint_s
                .is_some_and(|s| s <= terms.max_checkpoint_s)
    }
}

/// Whether a job may borrow an idle reserved machine. `own_waits` states whether work that
/// the machine is reserved for is waiting.
///
/// A reservation makes no other job wait without limit. A job within another team's guaranteed
/// capacity may borrow after `guarantee_wait_s`. Any other job may borrow after
/// `borrow_after_s` unless the entry forbids borrowing; if the entry forbids borrowing, the job
/// waits until the window ends at the latest. If a borrower is neither preemptible nor of a
/// class that the entry lists, the machine counts as unavailable for the reservation and is
/// replaced.
pub fn may_borrow(
    terms: &Terms,
    borrower: &Borrower<'_>,
    own_waits: bool,
    settings: &Settings,
) -> bool {
    if borrower.guaranteed && borrower.waited_s >= settings.guarantee_wait_s {
        return true;
    }
    if own_waits || terms.borrow.is_forbidden() {
        return false;
    }
    terms.borrow.classes.iter().any(|c| c == borrower.class)
        || (terms.borrow.checkpointable && borrower.is_preemptible_for(terms))
        || borrower.waited_s >= settings.borrow_after_s
}
