//! Who may use a held machine that is not for them.

use umbersail_wire::Priority;

use crate::{Settings, Terms};

/// Work that is not what the machine is held for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Borrower<'a> {
    pub class: &'a str,
    pub tier: Priority,
    /// Seconds to save when stopped; none if it can't.
    pub checkpoint_s: Option<f64>,
    /// Seconds since it was submitted.
    pub waited_s: f64,
    /// Within its team's guarantee, of another team.
    pub guaranteed: bool,
}

impl Borrower<'_> {
    /// Whether it may be stopped for the work that the machine is held for: it saves in
    /// time, and its tier is lower.
    pub fn is_preemptible_for(&self, terms: &Terms) -> bool {
        self.tier < terms.priority
            && self
                .checkpoint_s
                .is_some_and(|s| s <= terms.max_checkpoint_s)
    }
}

/// Whether a held machine that is idle is lent, while none of the work that it is held
/// for waits (`own_waits`).
///
/// A reservation keeps nobody waiting for ever: what is within another team's guarantee
/// is lent a machine after `guarantee_wait_s`, and what has waited for `borrow_after_s` too
/// unless the entry says that nobody borrows; such a wait ends with the window. A
/// machine lent to what neither gives it back nor is named by the entry counts as not
/// there, and is replaced.
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
