//! Events ordered by the time at which they become due.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::task::{Context, Waker};

/// Nanoseconds since the start of the world.
pub(crate) type Nanos = u64;

/// Identifies a scheduled event: its time, and a serial number that orders events due at the
/// same time.
pub(crate) type TimerKey = (Nanos, u64);

/// Converts seconds to nanoseconds; negative values become zero.
pub(crate) fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * 1e9) as Nanos
}

/// What happens when a timer is due.
pub(crate) enum Event<P> {
    /// Wakes a routine.
    Wake(Waker),
    /// Delivers a packet of the simulated network.
    Deliver(P),
}

/// Scheduled events. Events due at the same time keep the order of scheduling.
pub(crate) struct Timers<P> {
    events: RefCell<BTreeMap<TimerKey, Event<P>>>,
    last_serial: Cell<u64>,
}

impl<P> Timers<P> {
    pub fn new() -> Timers<P> {
        Timers {
            events: RefCell::new(BTreeMap::new()),
            last_serial: Cell::new(0),
        }
    }

    /// Schedules an event; the returned key can cancel the event.
    pub fn schedule(&self, at: Nanos, event: Event<P>) -> TimerKey {
        let serial = self.last_serial.get() + 1;
        self.last_serial.set(serial);
        self.events.borrow_mut().insert((at, serial), event);
        (at, serial)
    }

    pub fn cancel(&self, key: TimerKey) {
        self.events.borrow_mut().remove(&key);
    }

    /// Whether a wake-up is still pending; if so, its waker is replaced by that of `context`.
    pub fn is_pending(&self, key: TimerKey, context: &Context<'_>) -> bool {
        match self.events.borrow_mut().get_mut(&key) {
            Some(Event::Wake(waker)) => {
                if !waker.will_wake(context.waker()) {
                    *waker = context.waker().clone();
                }
                true
            }
            _ => false,
        }
    }

    /// Returns the time at which the next event is due.
    pub fn next_at(&self) -> Option<Nanos> {
        let events = self.events.borrow();
        events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next event if it is due by `now`.
    pub fn pop_due(&self, now: Nanos) -> Option<Event<P>> {
        let mut events = self.events.borrow_mut();
        let entry = events.first_entry()?;
        let (at, _) = *entry.key();
        (at <= now).then(|| entry.remove())
    }
}
