//! The event loop and the routines it runs.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use slab::Slab;

use crate::routine_id::RoutineId;
use crate::sim::{HostId, PacketTimers, Sim, StepAdmission};
use crate::timers::{Event, Nanos, Timers};

type BoxedRoutine = Pin<Box<dyn Future<Output = ()>>>;

/// Iterations of the event loop between two calls of the observer in
/// [`Runtime::block_on_observed`].
const ITERATIONS_PER_OBSERVATION: u32 = 1000;
/// Most socket events taken from the operating system in one call.
const EVENT_CAPACITY: usize = 256;
/// Replaces durations that can't be represented as a [`Duration`].
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// A routine in the slab.
struct Slot {
    /// Absent while the routine is being polled.
    future: Option<BoxedRoutine>,
    waker: Waker,
    generation: u64,
    cancelled: bool,
    parent: Option<RoutineId>,
    children: BTreeSet<RoutineId>,
    /// Host on which the routine runs.
    host: HostId,
}

/// The real world: clock, sockets and random numbers of the machine.
pub(crate) struct Real {
    poll: RefCell<mio::Poll>,
    pub(crate) registry: mio::Registry,
    start: Instant,
    /// Root routine of each host; in the real world a host is a group of routines of this
    /// process.
    pub(crate) host_roots: RefCell<Vec<Option<RoutineId>>>,
}

/// Source of time, network and random numbers.
pub(crate) enum World {
    Real(Real),
    Simulated(Box<Sim>),
}

/// Routines that wait for one registered socket.
#[derive(Default)]
pub(crate) struct Source {
    pub(crate) reader: Option<Waker>,
    pub(crate) writer: Option<Waker>,
}

/// Shared state of a runtime.
pub(crate) struct Inner {
    pub(crate) world: World,
    slots: RefCell<Slab<Slot>>,
    ready: Arc<ReadyQueue>,
    pub(crate) timers: PacketTimers,
    pub(crate) sources: RefCell<Slab<Source>>,
    generation: Cell<u64>,
    /// The routine being polled and its host; `None` between polls.
    running: Cell<Option<(RoutineId, HostId)>>,
}

/// Routines that are ready to run, in the order in which they were woken. Wakers are `Send`,
/// so the queue has a lock although the runtime uses one thread.
#[derive(Default)]
struct ReadyQueue {
    queue: Mutex<VecDeque<RoutineId>>,
}

impl ReadyQueue {
    fn push(&self, id: RoutineId) {
        if let Ok(mut queue) = self.queue.lock() {
            queue.push_back(id);
        }
    }

    fn pop(&self) -> Option<RoutineId> {
        self.queue.lock().ok()?.pop_front()
    }
}

/// Queues its routine when woken.
struct RoutineWaker {
    id: RoutineId,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.ready.push(self.id);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.ready.push(self.id);
    }
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<Inner>>> = const { RefCell::new(None) };
}

/// Runs `f` with the runtime of this thread.
///
/// Sockets, timers and `spawn` only work inside [`Runtime::block_on`].
///
/// # Panics
/// Outside [`Runtime::block_on`], which is a programming error.
pub(crate) fn with_current<R>(f: impl FnOnce(&Rc<Inner>) -> R) -> R {
    CURRENT.with(|current| {
        let current = current.borrow();
        f(current
            .as_ref()
            .expect("sockets, timers and spawn only work inside Runtime::block_on"))
    })
}

/// Runs `f` with the runtime of this thread and returns its result; `None` if this thread has
/// no runtime.
pub(crate) fn query_current<R>(f: impl FnOnce(&Rc<Inner>) -> Option<R>) -> Option<R> {
    let result = CURRENT.try_with(|current| f(current.try_borrow().ok()?.as_ref()?));
    result.ok().flatten()
}

/// Runs `f` with the runtime of this thread; does nothing if this thread has no runtime.
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
    /// Creates a runtime on the clock and the sockets of the machine.
    ///
    /// # Errors
    /// If the operating system can't create an event queue.
    pub fn new() -> io::Result<Runtime> {
        let poll = mio::Poll::new()?;
        let registry = poll.registry().try_clone()?;
        Ok(Runtime::with_world(World::Real(Real {
            poll: RefCell::new(poll),
            registry,
            start: Instant::now(),
            host_roots: RefCell::default(),
        })))
    }

    pub(crate) fn with_world(world: World) -> Runtime {
        Runtime {
            inner: Rc::new(Inner {
                world,
                slots: RefCell::new(Slab::new()),
                ready: Arc::new(ReadyQueue::default()),
                timers: Timers::new(),
                sources: RefCell::new(Slab::new()),
                generation: Cell::new(0),
                running: Cell::new(None),
            }),
        }
    }

    /// Runs `main` and all routines until `main` completes; then drops the routines that
    /// still exist.
    ///
    /// # Errors
    /// If the operating system's event queue fails, or if all routines of a
    /// simulated world wait and no event is scheduled.
    pub fn block_on<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> io::Result<T> {
        self.block_on_observed(main, || {})
    }

    /// Runs `main` as [`Runtime::block_on`] does, and calls `observe` after every
    /// [`ITERATIONS_PER_OBSERVATION`] iterations of the event loop.
    pub(crate) fn block_on_observed<T: 'static>(
        &self,
        main: impl Future<Output = T> + 'static,
        mut observe: impl FnMut(),
    ) -> io::Result<T> {
        let mut iterations = 0u32;
        CURRENT.with(|current| *current.borrow_mut() = Some(self.inner.clone()));
        let out: Rc<RefCell<Option<T>>> = Rc::new(RefCell::new(None));
        let slot = out.clone();
        spawn(async move {
            let value = main.await;
            *slot.borrow_mut() = Some(value);
        });
        let mut events = mio::Events::with_capacity(EVENT_CAPACITY);
        let result = loop {
            self.inner.run_ready();
            if let Some(value) = out.borrow_mut().take() {
                break Ok(value);
            }
            if let Err(e) = self.inner.process_events(&mut events) {
                break Err(e);
            }
            iterations = iterations.wrapping_add(1);
            if iterations.is_multiple_of(ITERATIONS_PER_OBSERVATION) {
                observe();
            }
        };
        // Dropped after the borrow of `slots` ends: a routine may own sockets, timers and
        // handles whose `drop` borrows the tables of the runtime.
        let remaining: Vec<Slot> = self.inner.slots.borrow_mut().drain().collect();
        drop(remaining);
        CURRENT.with(|current| *current.borrow_mut() = None);
        result
    }
}

impl Inner {
    /// Returns the nanoseconds since the start of the world.
    pub(crate) fn now(&self) -> Nanos {
        match &self.world {
            World::Real(real) => real.start.elapsed().as_nanos() as Nanos,
            World::Simulated(sim) => sim.now(),
        }
    }

    /// Converts a duration on the clock of the running routine to true time.
    pub(crate) fn duration(&self, seconds: f64) -> Nanos {
        let to_nanos = |seconds: f64| {
            Duration::try_from_secs_f64(seconds.max(0.0))
                .unwrap_or(MAX_SLEEP)
                .as_nanos() as Nanos
        };
        match &self.world {
            World::Real(_) => to_nanos(seconds),
            // Rounded up: otherwise a routine that waits for a point in time could wake just
            // before that time over and over.
            World::Simulated(sim) if seconds > 0.0 => {
                to_nanos(seconds / sim.clock_rate(self.host())) + 1
            }
            World::Simulated(_) => 0,
        }
    }

    /// Returns the host of the running routine, or [`HostId::OUTSIDE`] if none is running.
    pub(crate) fn host(&self) -> HostId {
        self.running.get().map_or(HostId::OUTSIDE, |(_, host)| host)
    }

    /// Returns the state of the simulated world; `None` in the real world.
    pub(crate) fn simulated(&self) -> Option<&Sim> {
        match &self.world {
            World::Real(_) => None,
            World::Simulated(sim) => Some(sim),
        }
    }

    /// Queues a routine to run.
    pub(crate) fn make_ready(&self, id: RoutineId) {
        self.ready.push(id);
    }

    /// Polls routines until none is ready.
    fn run_ready(&self) {
        while let Some(id) = self.ready.pop() {
            self.run_step(id);
        }
    }

    /// Polls a routine once, unless its host is frozen or busy.
    fn run_step(&self, id: RoutineId) {
        let Some((mut future, waker, host)) = self.take_for_polling(id) else {
            return;
        };
        self.running.set(Some((id, host)));
        let mut context = Context::from_waker(&waker);
        let is_done = future.as_mut().poll(&mut context).is_ready();
        self.running.set(None);
        let finished = {
            let mut slots = self.slots.borrow_mut();
            match slots.get_mut(id.index) {
                Some(slot) if !is_done && !slot.cancelled => {
                    slot.future = Some(future);
                    return;
                }
                _ => future,
            }
        };
        // Dropped after the borrow of `slots` ends: the future may own sockets and timers.
        drop(finished);
        self.remove(id);
    }

    /// Takes the future of a ready routine out of its slot. Returns `None` if the routine has
    /// ended or if its host is frozen or busy; the routine then runs later.
    fn take_for_polling(&self, id: RoutineId) -> Option<(BoxedRoutine, Waker, HostId)> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(id.index)?;
        if slot.generation != id.generation {
            return None;
        }
        if let Some(sim) = self.simulated() {
            match sim.admit_step(slot.host, id) {
                StepAdmission::Run => {}
                StepAdmission::Parked => return None,
                StepAdmission::Delayed(until) => {
                    self.timers.schedule(until, Event::Wake(slot.waker.clone()));
                    return None;
                }
            }
        }
        let future = slot.future.take()?;
        Some((future, slot.waker.clone(), slot.host))
    }

    /// Cancels a routine and all routines that it started, directly or indirectly.
    pub(crate) fn remove(&self, id: RoutineId) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            let slot = {
                let mut slots = self.slots.borrow_mut();
                match slots.get_mut(id.index) {
                    Some(slot) if slot.generation == id.generation => {
                        pending.extend(std::mem::take(&mut slot.children));
                        if self.running.get().map(|(running, _)| running) == Some(id) {
                            // The routine is being polled; `run_step` removes it afterwards.
                            slot.cancelled = true;
                            continue;
                        }
                    }
                    _ => continue,
                }
                let slot = slots.remove(id.index);
                if let Some(parent_id) = slot.parent
                    && let Some(parent) = slots.get_mut(parent_id.index)
                    && parent.generation == parent_id.generation
                {
                    parent.children.remove(&id);
                }
                slot
            };
            // Dropped after the borrow of `slots` ends: the future may own sockets and timers.
            drop(slot);
        }
    }

    /// Waits for the next event and handles all events that are due.
    fn process_events(&self, events: &mut mio::Events) -> io::Result<()> {
        match &self.world {
            World::Real(real) => self.poll_sockets(real, events)?,
            World::Simulated(sim) => {
                let next = self.timers.next_at();
                let stalled =
                    || io::Error::other("deadlock: all routines wait and no event is scheduled");
                sim.advance(next.ok_or_else(stalled)?);
            }
        }
        let now = self.now();
        while let Some(event) = self.timers.pop_due(now) {
            match (event, &self.world) {
                (Event::Wake(waker), _) => waker.wake(),
                (Event::Deliver(packet), World::Simulated(sim)) => {
                    sim.deliver(&self.timers, packet);
                }
                (Event::Deliver(_), World::Real(_)) => {}
            }
        }
        Ok(())
    }

    /// Waits for socket events, at the latest until the next timer is due, and wakes the
    /// routines that wait for the sockets.
    fn poll_sockets(&self, real: &Real, events: &mut mio::Events) -> io::Result<()> {
        let now = self.now();
        let next = self.timers.next_at();
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

    /// Starts a routine on a host, as a child of `parent` if given.
    pub(crate) fn start(
        &self,
        host: HostId,
        parent: Option<RoutineId>,
        future: impl Future<Output = ()> + 'static,
    ) -> RoutineId {
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let mut slots = self.slots.borrow_mut();
        let entry = slots.vacant_entry();
        let id = RoutineId {
            index: entry.key(),
            generation,
        };
        let waker = Waker::from(Arc::new(RoutineWaker {
            id,
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
        if let Some(parent_id) = parent
            && let Some(parent) = slots.get_mut(parent_id.index)
            && parent.generation == parent_id.generation
        {
            parent.children.insert(id);
        }
        self.ready.push(id);
        id
    }
}

/// A handle on a routine. The routine continues when the handle is dropped;
/// [`Routine::cancel`] ends the routine.
pub struct Routine {
    id: RoutineId,
}

impl Routine {
    /// Drops the future of the routine with everything it owns, and cancels the routines that
    /// it started.
    pub fn cancel(self) {
        with_current(|inner| inner.clone()).remove(self.id);
    }
}

/// Starts a routine on the runtime of this thread, on the host of the running routine. The
/// new routine is cancelled when the routine that started it ends.
pub fn spawn(future: impl Future<Output = ()> + 'static) -> Routine {
    with_current(|inner| {
        let running = inner.running.get();
        let host = inner.host();
        Routine {
            id: inner.start(host, running.map(|(id, _)| id), future),
        }
    })
}

/// Stores the waker of the waiting routine in `slot`; always returns `Poll::Pending`.
pub(crate) fn wait_on(slot: &mut Option<Waker>, cx: &Context<'_>) -> Poll<()> {
    match slot {
        Some(waker) if waker.will_wake(cx.waker()) => {}
        _ => *slot = Some(cx.waker().clone()),
    }
    Poll::Pending
}
