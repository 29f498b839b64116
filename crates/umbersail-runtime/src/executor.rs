use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slab::Slab;

use crate::sim::{HostId, NetEvent, Sim, Turn, WorldHandle};

type BoxedRoutine = Pin<Box<dyn Future<Output = ()>>>;

/// Nanoseconds since the world began.
pub(crate) type Nanos = u64;

struct Slot {
    /// Absent while the routine is being polled.
    future: Option<BoxedRoutine>,
    waker: Waker,
    generation: u64,
    cancelled: bool,
    parent: Option<Id>,
    children: BTreeSet<Id>,
    /// Where it runs, in a simulated world.
    host: HostId,
}

/// A place in the slab and the generation that had it.
pub(crate) type Id = (usize, u64);

/// What becomes due at a time.
pub(crate) enum Due {
    Wake(Waker),
    Net(NetEvent),
}

/// The machine's own clock, sockets and chance.
pub(crate) struct Real {
    poll: RefCell<mio::Poll>,
    pub(crate) registry: mio::Registry,
    start: Instant,
    /// Stand-ins that play hosts in the real world, and their first routines.
    pub(crate) played: RefCell<Vec<Option<Id>>>,
}

/// Where time, network and chance come from.
pub(crate) enum World {
    Real(Real),
    Simulated(Box<Sim>),
}

/// Wakers of one registered socket.
#[derive(Default)]
pub(crate) struct Source {
    pub(crate) reader: Option<Waker>,
    pub(crate) writer: Option<Waker>,
}

pub(crate) struct Inner {
    pub(crate) world: World,
    slots: RefCell<Slab<Slot>>,
    ready: Arc<ReadyQueue>,
    due: RefCell<BTreeMap<(Nanos, u64), Due>>,
    due_serial: Cell<u64>,
    pub(crate) sources: RefCell<Slab<Source>>,
    generation: Cell<u64>,
    /// The routine that is being polled, and its host.
    running: Cell<Option<(Id, HostId)>>,
}

#[derive(Default)]
struct ReadyQueue {
    queue: Mutex<VecDeque<(usize, u64)>>,
}

impl ReadyQueue {
    pub(crate) fn push(&self, key: usize, generation: u64) {
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

/// Runs `f` with the runtime of this thread, if one runs.
pub(crate) fn current_world<R>(f: impl FnOnce(&Rc<Inner>) -> Option<R>) -> Option<R> {
    let seen = CURRENT.try_with(|current| f(current.try_borrow().ok()?.as_ref()?));
    seen.ok().flatten()
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
    pub(crate) inner: Rc<Inner>,
}

impl Runtime {
    /// A runtime on the machine's own clock and sockets.
    pub fn new() -> io::Result<Runtime> {
        let poll = mio::Poll::new()?;
        let registry = poll.registry().try_clone()?;
        Ok(Runtime::of(World::Real(Real {
            poll: RefCell::new(poll),
            registry,
            start: Instant::now(),
            played: RefCell::default(),
        })))
    }

    /// The world in which it runs.
    pub fn world(&self) -> WorldHandle {
        WorldHandle::of(self.inner.clone())
    }

    pub(crate) fn of(world: World) -> Runtime {
        Runtime {
            inner: Rc::new(Inner {
                world,
                slots: RefCell::new(Slab::new()),
                ready: Arc::new(ReadyQueue::default()),
                due: RefCell::new(BTreeMap::new()),
                due_serial: Cell::new(0),
                sources: RefCell::new(Slab::new()),
                generation: Cell::new(0),
                running: Cell::new(None),
            }),
        }
    }

    /// Runs `main` to its end, and with it every routine that it spawns;
    /// routines still alive then are dropped.
    pub fn block_on<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> io::Result<T> {
        self.block_on_watched(main, || {})
    }

    /// The same, and calls `watch` now and then.
    pub(crate) fn block_on_watched<T: 'static>(
        &self,
        main: impl Future<Output = T> + 'static,
        mut watch: impl FnMut(),
    ) -> io::Result<T> {
        let mut turns = 0u32;
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
            turns = turns.wrapping_add(1);
            if turns.is_multiple_of(1000) {
                watch();
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
    /// Nanoseconds since the world began.
    pub(crate) fn now(&self) -> Nanos {
        match &self.world {
            World::Real(real) => real.start.elapsed().as_nanos() as Nanos,
            World::Simulated(sim) => sim.now(),
        }
    }

    /// How long `seconds` on the clock of the routine that runs are in the
    /// world's own time.
    pub(crate) fn span(&self, seconds: f64) -> Nanos {
        let whole = |seconds: f64| {
            Duration::try_from_secs_f64(seconds.max(0.0))
                .unwrap_or(Duration::from_secs(3600))
                .as_nanos() as Nanos
        };
        match &self.world {
            World::Real(_) => whole(seconds),
            // Never short of the time that was asked for, or whoever waits for a
            // point in time would wait for less than a nanosecond for ever.
            World::Simulated(sim) if seconds > 0.0 => whole(seconds / sim.rate(self.host())) + 1,
            World::Simulated(_) => 0,
        }
    }

    /// Milliseconds since the Unix epoch, by the machine.
    pub(crate) fn system_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map(|d| d.as_millis() as u64)
            .unwrap_or(0)
    }

    /// The host of the routine that runs.
    pub(crate) fn host(&self) -> HostId {
        self.running.get().map_or(HostId::OUTSIDE, |(_, host)| host)
    }

    pub(crate) fn simulated(&self) -> Option<&Sim> {
        match &self.world {
            World::Real(_) => None,
            World::Simulated(sim) => Some(sim),
        }
    }

    /// Puts something off; the key takes it back.
    pub(crate) fn put_off(&self, at: Nanos, what: Due) -> (Nanos, u64) {
        let serial = self.due_serial.get() + 1;
        self.due_serial.set(serial);
        self.due.borrow_mut().insert((at, serial), what);
        (at, serial)
    }

    pub(crate) fn take_back(&self, key: (Nanos, u64)) {
        self.due.borrow_mut().remove(&key);
    }

    /// Whether it is still to come; its waker is brought up to date.
    pub(crate) fn is_put_off(&self, key: (Nanos, u64), cx: &Context<'_>) -> bool {
        match self.due.borrow_mut().get_mut(&key) {
            Some(Due::Wake(waker)) => {
                if !waker.will_wake(cx.waker()) {
                    *waker = cx.waker().clone();
                }
                true
            }
            _ => false,
        }
    }

    /// Ready again, as after a freeze.
    pub(crate) fn make_ready(&self, id: Id) {
        self.ready.push(id.0, id.1);
    }

    fn run_ready(&self) {
        while let Some((key, generation)) = self.ready.pop() {
            let (mut future, waker, host) = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(key) {
                    Some(slot) if slot.generation == generation => {
                        if let Some(sim) = self.simulated() {
                            match sim.turn_of(slot.host, (key, generation)) {
                                Turn::Now => {}
                                Turn::Parked => continue,
                                Turn::Later(at) => {
                                    self.put_off(at, Due::Wake(slot.waker.clone()));
                                    continue;
                                }
                            }
                        }
                        match slot.future.take() {
                            Some(future) => (future, slot.waker.clone(), slot.host),
                            None => continue,
                        }
                    }
                    _ => continue,
                }
            };
            self.running.set(Some(((key, generation), host)));
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
    pub(crate) fn remove(&self, id: Id) {
        let mut doomed = vec![id];
        while let Some((key, generation)) = doomed.pop() {
            let slot = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(key) {
                    Some(slot) if slot.generation == generation => {
                        doomed.extend(std::mem::take(&mut slot.children));
                        if self.running.get().map(|(id, _)| id) == Some((key, generation)) {
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
        match &self.world {
            World::Real(real) => self.turn_real(real, events)?,
            World::Simulated(sim) => {
                let next = self.due.borrow().first_key_value().map(|((at, _), _)| *at);
                let Some(next) = next else {
                    return Err(io::Error::other("every routine waits, and nothing is due"));
                };
                sim.advance(next);
            }
        }
        let now = self.now();
        loop {
            let due = {
                let mut due = self.due.borrow_mut();
                match due.first_entry() {
                    Some(entry) if entry.key().0 <= now => entry.remove(),
                    _ => return Ok(()),
                }
            };
            match due {
                Due::Wake(waker) => waker.wake(),
                Due::Net(event) => crate::sim::happen(self, event),
            }
        }
    }

    fn turn_real(&self, real: &Real, events: &mut mio::Events) -> io::Result<()> {
        let now = self.now();
        let next = self.due.borrow().first_key_value().map(|((at, _), _)| *at);
        let wait = next
            .map(|at| Duration::from_nanos(at.saturating_sub(now)))
            .map(|d| d.max(Duration::from_millis(if d.is_zero() { 0 } else { 1 })));
        match real.poll.borrow_mut().poll(events, wait) {
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
        Ok(())
    }

    /// Starts a routine, as a child of `parent` if there is one.
    pub(crate) fn start(
        &self,
        host: HostId,
        parent: Option<Id>,
        future: impl Future<Output = ()> + 'static,
    ) -> Id {
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let mut slots = self.slots.borrow_mut();
        let entry = slots.vacant_entry();
        let key = entry.key();
        let waker = Waker::from(Arc::new(RoutineWaker {
            key,
            generation,
            ready: self.ready.clone(),
        }));
        entry.insert(Slot {
            future: Some(Box::pin(future)),
            waker,
            generation,
            cancelled: false,
            parent,
            children: BTreeSet::new(),
            host,
        });
        if let Some((parent, parent_generation)) = parent
            && let Some(parent) = slots.get_mut(parent)
            && parent.generation == parent_generation
        {
            parent.children.insert((key, generation));
        }
        self.ready.push(key, generation);
        (key, generation)
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
        let running = inner.running.get();
        let host = inner.host();
        Routine {
            id: inner.start(host, running.map(|(id, _)| id), future),
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
