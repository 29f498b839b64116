use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use slab::Slab;

type BoxedRoutine = Pin<Box<dyn Future<Output = ()>>>;

struct Slot {
    /// Absent while the routine is being polled.
    future: Option<BoxedRoutine>,
    waker: Waker,
    generation: u64,
    cancelled: bool,
    parent: Option<Id>,
    children: BTreeSet<Id>,
}

/// A place in the slab and the generation that had it.
type Id = (usize, u64);

/// Wakers of one registered socket.
#[derive(Default)]
pub(crate) struct Source {
    pub(crate) reader: Option<Waker>,
    pub(crate) writer: Option<Waker>,
}

pub(crate) struct Inner {
    poll: RefCell<mio::Poll>,
    pub(crate) registry: mio::Registry,
    slots: RefCell<Slab<Slot>>,
    ready: Arc<ReadyQueue>,
    pub(crate) timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    pub(crate) timer_serial: Cell<u64>,
    pub(crate) sources: RefCell<Slab<Source>>,
    generation: Cell<u64>,
    /// The routine that is being polled.
    running: Cell<Option<Id>>,
}

#[derive(Default)]
struct ReadyQueue {
    queue: Mutex<VecDeque<(usize, u64)>>,
}

impl ReadyQueue {
    fn push(&self, key: usize, generation: u64) {
        if let Ok(mut queue) = self.queue.lock() {
            queue.push_back((key, generation));
        }
    }

    fn pop(&self) -> Option<(usize, u64)> {
        self.queue.lock().ok()?.pop_front()
    }
}

struct RoutineWaker {
    key: usize,
    generation: u64,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.ready.push(self.key, self.generation);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.ready.push(self.key, self.generation);
    }
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<Inner>>> = const { RefCell::new(None) };
}

/// Runs `f` with the runtime of this thread. Sockets, timers and `spawn` only
/// work inside `Runtime::block_on`; elsewhere it is an error of the program.
pub(crate) fn with_current<R>(f: impl FnOnce(&Rc<Inner>) -> R) -> R {
    CURRENT.with(|current| {
        let current = current.borrow();
        f(current
            .as_ref()
            .expect("used outside of Runtime::block_on, which is a programming error"))
    })
}

/// Takes the registration of a socket back; quiet when the runtime is gone.
pub(crate) fn try_with_current(f: impl FnOnce(&Rc<Inner>)) {
    let _ = CURRENT.try_with(|current| {
        if let Ok(current) = current.try_borrow()
            && let Some(inner) = current.as_ref()
        {
            f(inner);
        }
    });
}

/// The event loop and the routines it runs.
pub struct Runtime {
    inner: Rc<Inner>,
}

impl Runtime {
    pub fn new() -> io::Result<Runtime> {
        let poll = mio::Poll::new()?;
        let registry = poll.registry().try_clone()?;
        Ok(Runtime {
            inner: Rc::new(Inner {
                poll: RefCell::new(poll),
                registry,
                slots: RefCell::new(Slab::new()),
                ready: Arc::new(ReadyQueue::default()),
                timers: RefCell::new(BTreeMap::new()),
                timer_serial: Cell::new(0),
                sources: RefCell::new(Slab::new()),
                generation: Cell::new(0),
                running: Cell::new(None),
            }),
        })
    }

    /// Runs `main` to its end, and with it every routine that it spawns;
    /// routines still alive then are dropped.
    pub fn block_on<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> io::Result<T> {
        CURRENT.with(|current| *current.borrow_mut() = Some(self.inner.clone()));
        let out: Rc<RefCell<Option<T>>> = Rc::new(RefCell::new(None));
        let slot = out.clone();
        spawn(async move {
            let value = main.await;
            *slot.borrow_mut() = Some(value);
        });
        let mut events = mio::Events::with_capacity(256);
        let result = loop {
            self.inner.run_ready();
            if let Some(value) = out.borrow_mut().take() {
                break Ok(value);
            }
            if let Err(e) = self.inner.turn(&mut events) {
                break Err(e);
            }
        };
        // Dropped one by one outside of the borrow: a routine may own sockets
        // and timers that take themselves off the tables on the way.
        let left: Vec<Slot> = self.inner.slots.borrow_mut().drain().collect();
        drop(left);
        CURRENT.with(|current| *current.borrow_mut() = None);
        result
    }
}

impl Inner {
    fn run_ready(&self) {
        while let Some((key, generation)) = self.ready.pop() {
            let (mut future, waker) = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(key) {
                    Some(slot) if slot.generation == generation => match slot.future.take() {
                        Some(future) => (future, slot.waker.clone()),
                        None => continue,
                    },
                    _ => continue,
                }
            };
            self.running.set(Some((key, generation)));
            let done = future
                .as_mut()
                .poll(&mut Context::from_waker(&waker))
                .is_ready();
            self.running.set(None);
            let cancelled = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(key) {
                    Some(slot) if !done && !slot.cancelled => {
                        slot.future = Some(future);
                        continue;
                    }
                    _ => future,
                }
            };
            drop(cancelled);
            self.remove((key, generation));
        }
    }

    /// Ends a routine and, with it, all that it started.
    fn remove(&self, id: Id) {
        let mut doomed = vec![id];
        while let Some((key, generation)) = doomed.pop() {
            let slot = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(key) {
                    Some(slot) if slot.generation == generation => {
                        doomed.extend(std::mem::take(&mut slot.children));
                        if self.running.get() == Some((key, generation)) {
                            // It is just being polled: it ends right after.
                            slot.cancelled = true;
                            continue;
                        }
                    }
                    _ => continue,
                }
                let slot = slots.remove(key);
                if let Some((parent, generation)) = slot.parent
                    && let Some(parent) = slots.get_mut(parent)
                    && parent.generation == generation
                {
                    parent.children.remove(&(key, slot.generation));
                }
                slot
            };
            // Dropped outside of the borrow: it may own sockets and timers.
            drop(slot);
        }
    }

    fn turn(&self, events: &mut mio::Events) -> io::Result<()> {
        let wait = self
            .timers
            .borrow()
            .first_key_value()
            .map(|((at, _), _)| at.saturating_duration_since(Instant::now()))
            .map(|d| d.max(Duration::from_millis(if d.is_zero() { 0 } else { 1 })));
        match self.poll.borrow_mut().poll(events, wait) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        let mut sources = self.sources.borrow_mut();
        for event in events.iter() {
            if let Some(source) = sources.get_mut(event.token().0) {
                let closed = event.is_error() || event.is_read_closed() || event.is_write_closed();
                if (event.is_readable() || closed)
                    && let Some(waker) = source.reader.take()
                {
                    waker.wake();
                }
                if (event.is_writable() || closed)
                    && let Some(waker) = source.writer.take()
                {
                    waker.wake();
                }
            }
        }
        drop(sources);
        let now = Instant::now();
        let mut timers = self.timers.borrow_mut();
        while let Some(entry) = timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            entry.remove().wake();
        }
        Ok(())
    }
}

/// A running routine. Dropping the handle lets the routine go on;
/// [`Routine::cancel`] ends it.
pub struct Routine {
    id: Id,
}

impl Routine {
    /// Drops the routine's future with everything it holds, and the routines
    /// that it started.
    pub fn cancel(self) {
        with_current(|inner| inner.clone()).remove(self.id);
    }
}

/// Starts a routine on the runtime of this thread. It ends at the latest with
/// the routine that started it.
pub fn spawn(future: impl Future<Output = ()> + 'static) -> Routine {
    with_current(|inner| {
        let generation = inner.generation.get() + 1;
        inner.generation.set(generation);
        let mut slots = inner.slots.borrow_mut();
        let entry = slots.vacant_entry();
        let key = entry.key();
        let waker = Waker::from(Arc::new(RoutineWaker {
            key,
            generation,
            ready: inner.ready.clone(),
        }));
        let parent = inner.running.get();
        entry.insert(Slot {
            future: Some(Box::pin(future)),
            waker,
            generation,
            cancelled: false,
            parent,
            children: BTreeSet::new(),
        });
        if let Some((parent, parent_generation)) = parent
            && let Some(parent) = slots.get_mut(parent)
            && parent.generation == parent_generation
        {
            parent.children.insert((key, generation));
        }
        inner.ready.push(key, generation);
        Routine {
            id: (key, generation),
        }
    })
}

/// Stores the waker of the routine that waits.
pub(crate) fn wait_on(slot: &mut Option<Waker>, cx: &Context<'_>) -> Poll<()> {
    match slot {
        Some(waker) if waker.will_wake(cx.waker()) => {}
        _ => *slot = Some(cx.waker().clone()),
    }
    Poll::Pending
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{sleep, timeout};

    #[test]
    fn a_cancelled_routine_takes_what_it_started_with_it() {
        let count = Rc::new(Cell::new(0));
        let inner = count.clone();
        Runtime::new()
            .unwrap()
            .block_on(async move {
                let child = inner.clone();
                let parent = spawn(async move {
                    spawn(async move {
                        loop {
                            child.set(child.get() + 1);
                            sleep(0.002).await;
                        }
                    });
                    sleep(60.0).await;
                });
                sleep(0.02).await;
                assert!(inner.get() > 1);
                parent.cancel();
                let seen = inner.get();
                sleep(0.02).await;
                assert_eq!(inner.get(), seen);
            })
            .unwrap();
    }

    #[test]
    fn a_timeout_drops_what_ran_too_long() {
        struct Flag(Rc<Cell<bool>>);
        impl Drop for Flag {
            fn drop(&mut self) {
                self.0.set(true);
            }
        }
        let dropped = Rc::new(Cell::new(false));
        let flag = Flag(dropped.clone());
        let result = Runtime::new()
            .unwrap()
            .block_on(timeout(0.01, async move {
                let _flag = flag;
                sleep(60.0).await;
            }))
            .unwrap();
        assert!(result.is_err() && dropped.get());
    }
}
