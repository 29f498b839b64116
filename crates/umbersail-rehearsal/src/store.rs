//! The stand-in for the store of images and for machines that hand them on: who
//! sends which piece to whom, and how long that takes.
//!
//! A sender sends one piece at a time, at its up rate, to its readers in turn; what
//! comes to a machine shares its down rate. The store sends at its own rate. Time is
//! passed in, so that it serves nights and models alike.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use umbersail_runtime::{Broadcast, WorldHandle, sleep};

use crate::history::{Event, History, What};
use crate::scenario::Store;
use crate::worker::Worker;

/// A reader knows within so many seconds that its holder is gone.
const GONE_S: f64 = 2.0;

/// What the store has sent is told this often.
const TOLD_S: f64 = 10.0;

/// A machine, by a number that is never used again.
pub type Node = usize;
/// An image by its number.
pub type Image = u32;

/// Pieces as bits.
#[derive(Debug, Clone, Default)]
struct Pieces {
    words: Vec<u64>,
    count: u32,
}

impl Pieces {
    fn none(total: u32) -> Pieces {
        Pieces {
            words: vec![0; total.div_ceil(64) as usize],
            count: 0,
        }
    }

    fn insert(&mut self, piece: u32) -> bool {
        let (word, bit) = (&mut self.words[piece as usize / 64], 1 << (piece % 64));
        let new = *word & bit == 0;
        *word |= bit;
        self.count += u32::from(new);
        new
    }

    fn remove(&mut self, piece: u32) {
        let (word, bit) = (&mut self.words[piece as usize / 64], 1 << (piece % 64));
        self.count -= u32::from(*word & bit != 0);
        *word &= !bit;
    }

    /// The first piece that is neither here nor coming.
    fn first_missing(&self, coming: &Pieces, total: u32) -> Option<u32> {
        let words = self.words.iter().zip(&coming.words).enumerate();
        let mut free = words.filter_map(|(index, (here, coming))| {
            let left = !(here | coming);
            (left != 0).then(|| index as u32 * 64 + left.trailing_zeros())
        });
        free.next().filter(|piece| *piece < total)
    }

    /// The first piece that is here and in neither of the others.
    fn first_beside(&self, have: &Pieces, coming: &Pieces) -> Option<u32> {
        let words = self.words.iter().zip(&have.words).zip(&coming.words);
        for (index, ((here, have), coming)) in words.enumerate() {
            let left = here & !have & !coming;
            if left != 0 {
                return Some(index as u32 * 64 + left.trailing_zeros());
            }
        }
        None
    }
}

/// Who sends: the store, or a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Sender {
    Store,
    Machine(Node),
}

/// An image on a machine, whole or in pieces.
#[derive(Debug)]
struct Hold {
    node: Node,
    image: Image,
    total: u32,
    piece_gb: f64,
    have: Pieces,
    coming: Pieces,
    sources: Vec<Sender>,
    /// Sources with a piece under way to it, each with the piece.
    sending: Vec<(Sender, u32)>,
    alive: bool,
}

#[derive(Debug, Default)]
struct Server {
    rate: f64,
    busy: bool,
    /// Its readers in turn, by their holds.
    readers: VecDeque<usize>,
}

#[derive(Debug)]
struct Place {
    zone: u16,
    up: f64,
    down: f64,
    down_free_at: f64,
    alive: bool,
    server: Server,
    holds: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Free(Sender),
    Arrived {
        hold: usize,
        from: Sender,
        piece: u32,
    },
    Gone {
        hold: usize,
        from: Sender,
    },
}

/// The store and all machines that fetch.
#[derive(Debug)]
pub struct Swarm {
    piece_gb: f64,
    store: Server,
    places: BTreeMap<Node, Place>,
    holds: Vec<Hold>,
    events: BinaryHeap<Reverse<(u64, u64, Step)>>,
    order: u64,
    now: f64,
    store_gb: f64,
    finished: Vec<(Node, Image)>,
    cut: Option<u16>,
}

impl Swarm {
    /// A store that gives so much in all.
    pub fn new(store_gb_s: f64, piece_gb: f64) -> Swarm {
        Swarm {
            piece_gb,
            store: Server {
                rate: store_gb_s,
                ..Server::default()
            },
            places: BTreeMap::new(),
            holds: Vec::new(),
            events: BinaryHeap::new(),
            order: 0,
            now: 0.0,
            store_gb: 0.0,
            finished: Vec::new(),
            cut: None,
        }
    }

    /// What the store has sent, in GB.
    pub fn store_gb(&self) -> f64 {
        self.store_gb
    }

    pub fn add(&mut self, node: Node, zone: u16, up: f64, down: f64) {
        let place = Place {
            zone,
            up,
            down,
            down_free_at: 0.0,
            alive: true,
            server: Server {
                rate: up,
                ..Server::default()
            },
            holds: Vec::new(),
        };
        self.places.insert(node, place);
    }

    /// The machine is gone, and all that it has.
    pub fn remove(&mut self, now: f64, node: Node) {
        let Some(place) = self.places.get_mut(&node) else {
            return;
        };
        place.alive = false;
        let holds = std::mem::take(&mut place.holds);
        for hold in holds {
            self.drop_hold(now, hold);
        }
        self.places.remove(&node);
    }

    /// The machine sends so many times slower.
    pub fn slow(&mut self, node: Node, times: f64) {
        if let Some(place) = self.places.get_mut(&node) {
            place.server.rate = place.up / times.max(1e-6);
        }
    }

    /// What the store gives from now on; 0: it is out.
    pub fn set_store(&mut self, now: f64, gb_s: f64) {
        self.store.rate = gb_s;
        self.now = self.now.max(now);
        self.serve(Sender::Store);
    }

    /// A zone is cut off from the others, but not from the store, until `None`.
    pub fn cut(&mut self, now: f64, zone: Option<u16>) {
        self.now = self.now.max(now);
        self.cut = zone;
        for hold in 0..self.holds.len() {
            let lost: Vec<Sender> = self.holds[hold]
                .sources
                .iter()
                .filter(|from| !self.reaches(**from, hold))
                .copied()
                .collect();
            for from in lost {
                self.at(self.now + GONE_S, Step::Gone { hold, from });
            }
        }
    }

    fn reaches(&self, from: Sender, hold: usize) -> bool {
        let zone = |node| self.places.get(&node).map(|p| p.zone);
        match (from, self.cut) {
            (Sender::Store, _) | (_, None) => true,
            (Sender::Machine(node), Some(cut)) => {
                (zone(node) == Some(cut)) == (zone(self.holds[hold].node) == Some(cut))
            }
        }
    }

    /// A machine begins to fetch from these holders, or from the store if none of them
    /// has or fetches the image.
    pub fn fetch(&mut self, now: f64, node: Node, image: Image, gb: f64, holders: &[Node]) {
        self.now = self.now.max(now);
        if self.hold_of(node, image).is_some() || !self.places.contains_key(&node) {
            return;
        }
        let total = (gb / self.piece_gb).ceil().max(1.0) as u32;
        let mut sources: Vec<Sender> = holders
            .iter()
            .filter(|holder| **holder != node && self.hold_of(**holder, image).is_some())
            .map(|holder| Sender::Machine(*holder))
            .collect();
        let hold = self.holds.len();
        self.holds.push(Hold {
            node,
            image,
            total,
            piece_gb: gb / f64::from(total),
            have: Pieces::none(total),
            coming: Pieces::none(total),
            sources: Vec::new(),
            sending: Vec::new(),
            alive: true,
        });
        sources.retain(|from| self.reaches(*from, hold));
        if sources.is_empty() {
            sources.push(Sender::Store);
        }
        if let Some(place) = self.places.get_mut(&node) {
            place.holds.push(hold);
        }
        for from in sources {
            self.read_from(hold, from);
        }
    }

    /// The machine gives the image up, whole or not.
    pub fn give_up(&mut self, now: f64, node: Node, image: Image) {
        self.now = self.now.max(now);
        if let Some(hold) = self.hold_of(node, image) {
            if let Some(place) = self.places.get_mut(&node) {
                place.holds.retain(|h| *h != hold);
            }
            self.drop_hold(now, hold);
        }
    }

    /// When something happens next.
    pub fn next_at(&self) -> Option<f64> {
        self.events
            .peek()
            .map(|Reverse((at, _, _))| *at as f64 / 1e9)
    }

    /// Goes on until `now`; the fetches that have come to their end meanwhile.
    pub fn advance(&mut self, now: f64) -> Vec<(Node, Image)> {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            let at = at as f64 / 1e9;
            if at > now {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            match event {
                Step::Free(from) => {
                    if let Some(server) = self.server(from) {
                        server.busy = false;
                    }
                    self.serve(from);
                }
                Step::Arrived { hold, from, piece } => self.arrived(hold, from, piece),
                Step::Gone { hold, from } => self.source_gone(hold, from),
            }
        }
        self.now = self.now.max(now);
        std::mem::take(&mut self.finished)
    }

    fn at(&mut self, at: f64, step: Step) {
        self.order += 1;
        let at = (at.max(0.0) * 1e9).round() as u64;
        self.events.push(Reverse((at, self.order, step)));
    }

    fn hold_of(&self, node: Node, image: Image) -> Option<usize> {
        let place = self.places.get(&node)?;
        let mut holds = place.holds.iter();
        holds.find(|h| self.holds[**h].image == image).copied()
    }

    fn server(&mut self, from: Sender) -> Option<&mut Server> {
        match from {
            Sender::Store => Some(&mut self.store),
            Sender::Machine(node) => self.places.get_mut(&node).map(|p| &mut p.server),
        }
    }

    fn read_from(&mut self, hold: usize, from: Sender) {
        self.holds[hold].sources.push(from);
        if let Some(server) = self.server(from) {
            server.readers.push_back(hold);
        }
        self.serve(from);
    }

    /// Sends the next piece, if anybody wants one.
    fn serve(&mut self, from: Sender) {
        let Some(server) = self.server(from) else {
            return;
        };
        if server.busy || server.rate <= 0.0 {
            return;
        }
        let rate = server.rate;
        for turn in 0..server.readers.len() {
            let Some(server) = self.server(from) else {
                return;
            };
            let hold = server.readers[turn];
            let Some(piece) = self.wanted(from, hold) else {
                continue;
            };
            if let Some(server) = self.server(from) {
                server.busy = true;
                server.readers.remove(turn);
                server.readers.push_back(hold);
            }
            let reader = &mut self.holds[hold];
            reader.coming.insert(piece);
            reader.sending.push((from, piece));
            let (gb, node) = (reader.piece_gb, reader.node);
            let sent = self.now + gb / rate;
            let Some(place) = self.places.get_mut(&node) else {
                return;
            };
            let arrives = sent.max(place.down_free_at.max(self.now) + gb / place.down);
            place.down_free_at = arrives;
            if from == Sender::Store {
                self.store_gb += gb;
            }
            self.at(sent, Step::Free(from));
            self.at(arrives, Step::Arrived { hold, from, piece });
            return;
        }
    }

    /// The piece that the reader gets next from here, if any.
    fn wanted(&self, from: Sender, hold: usize) -> Option<u32> {
        let reader = &self.holds[hold];
        if !reader.alive
            || reader.sending.iter().any(|(sender, _)| *sender == from)
            || !self.reaches(from, hold)
        {
            return None;
        }
        match from {
            Sender::Store => reader.have.first_missing(&reader.coming, reader.total),
            Sender::Machine(node) => {
                let holder = &self.holds[self.hold_of(node, reader.image)?];
                holder.have.first_beside(&reader.have, &reader.coming)
            }
        }
    }

    fn arrived(&mut self, hold: usize, from: Sender, piece: u32) {
        let reader = &mut self.holds[hold];
        let before = reader.sending.len();
        reader.sending.retain(|sent| *sent != (from, piece));
        if !reader.alive || reader.sending.len() == before {
            return;
        }
        reader.coming.remove(piece);
        reader.have.insert(piece);
        let (node, image) = (reader.node, reader.image);
        let sources = reader.sources.clone();
        if reader.have.count == reader.total {
            reader.sources.clear();
            for source in &sources {
                if let Some(server) = self.server(*source) {
                    server.readers.retain(|h| *h != hold);
                }
            }
            self.finished.push((node, image));
        }
        for source in sources {
            self.serve(source);
        }
        self.serve(Sender::Machine(node));
    }

    /// The reader drops a holder; from the store in its stead if it was the last.
    fn source_gone(&mut self, hold: usize, from: Sender) {
        let reader = &mut self.holds[hold];
        let before = reader.sources.len();
        reader.sources.retain(|s| *s != from);
        if !reader.alive || reader.sources.len() == before {
            return;
        }
        let lost: Vec<u32> = reader
            .sending
            .extract_if(.., |(sender, _)| *sender == from)
            .map(|(_, piece)| piece)
            .collect();
        for piece in lost {
            reader.coming.remove(piece);
        }
        let sources = reader.sources.clone();
        if let Some(server) = self.server(from) {
            server.readers.retain(|h| *h != hold);
        }
        if sources.is_empty() {
            self.read_from(hold, Sender::Store);
        }
        for source in sources {
            self.serve(source);
        }
    }

    fn drop_hold(&mut self, now: f64, hold: usize) {
        self.now = self.now.max(now);
        let node = self.holds[hold].node;
        let image = self.holds[hold].image;
        self.holds[hold].alive = false;
        for source in std::mem::take(&mut self.holds[hold].sources) {
            if let Some(server) = self.server(source) {
                server.readers.retain(|h| *h != hold);
            }
        }
        let readers: Vec<usize> = match self.places.get(&node) {
            Some(place) => place.server.readers.iter().copied().collect(),
            None => Vec::new(),
        };
        for reader in readers {
            if self.holds[reader].image == image {
                let from = Sender::Machine(node);
                self.at(now + GONE_S, Step::Gone { hold: reader, from });
            }
        }
    }
}

/// The store and its machines in a night.
pub struct StoreHost {
    night: Store,
    swarm: RefCell<Swarm>,
    /// Machines by address, with their numbers.
    nodes: RefCell<BTreeMap<SocketAddr, Node>>,
    workers: RefCell<BTreeMap<Node, Rc<Worker>>>,
    zones: RefCell<Vec<String>>,
    images: RefCell<Vec<String>>,
    created: Cell<Node>,
    /// Raised whenever something may be sent.
    wake: Broadcast,
}

impl StoreHost {
    pub fn new(night: Store) -> Rc<StoreHost> {
        Rc::new(StoreHost {
            swarm: RefCell::new(Swarm::new(night.gb_per_s, night.piece_gb)),
            night,
            nodes: RefCell::default(),
            workers: RefCell::default(),
            zones: RefCell::default(),
            images: RefCell::default(),
            created: Cell::new(0),
            wake: Broadcast::default(),
        })
    }

    pub fn add(&self, addr: SocketAddr, zone: &str, fetch_gb_per_s: f64, worker: Rc<Worker>) {
        let node = self.created.get();
        self.created.set(node + 1);
        let zone = number(&self.zones, zone) as u16;
        let up = fetch_gb_per_s * self.night.up_share;
        self.swarm.borrow_mut().add(node, zone, up, fetch_gb_per_s);
        self.nodes.borrow_mut().insert(addr, node);
        self.workers.borrow_mut().insert(node, worker);
    }

    pub fn remove(&self, now: f64, addr: SocketAddr) {
        if let Some(node) = self.nodes.borrow_mut().remove(&addr) {
            self.swarm.borrow_mut().remove(now, node);
            self.workers.borrow_mut().remove(&node);
            self.wake.notify_all();
        }
    }

    /// A worker begins to fetch; holders by their addresses, as launches name them.
    pub fn fetch(&self, now: f64, addr: SocketAddr, image: &str, gb: f64, holders: &[String]) {
        let nodes = self.nodes.borrow();
        let Some(node) = nodes.get(&addr) else {
            return;
        };
        let known = |holder: &String| nodes.get(&holder.parse().ok()?).copied();
        let holders: Vec<Node> = holders.iter().filter_map(known).collect();
        let image = number(&self.images, image) as Image;
        (self.swarm.borrow_mut()).fetch(now, *node, image, gb, &holders);
        self.wake.notify_all();
    }

    pub fn give_up(&self, now: f64, addr: SocketAddr, image: &str) {
        if let Some(node) = self.nodes.borrow().get(&addr) {
            let image = number(&self.images, image) as Image;
            self.swarm.borrow_mut().give_up(now, *node, image);
            self.wake.notify_all();
        }
    }

    /// Sends as time goes by.
    pub async fn send_for_ever(self: Rc<Self>, world: WorldHandle, history: History) {
        let mut told_at = 0.0;
        let out = self.night.out_at_s..self.night.out_at_s + self.night.out_for_s;
        loop {
            let now = world.now();
            let rate = match out.contains(&now) {
                true => 0.0,
                false => self.night.gb_per_s,
            };
            self.swarm.borrow_mut().set_store(now, rate);
            let finished = self.swarm.borrow_mut().advance(now);
            for (node, image) in finished {
                let worker = self.workers.borrow().get(&node).cloned();
                let image = self.images.borrow()[image as usize].clone();
                if let Some(worker) = worker {
                    worker.received(now, &image);
                }
            }
            if now >= told_at + TOLD_S {
                told_at = now;
                let gb = self.swarm.borrow().store_gb();
                history.add(What::StoreSent { gb });
            }
            let mut next = self.swarm.borrow().next_at().unwrap_or(now + TOLD_S);
            for edge in [out.start, out.end] {
                if edge > now {
                    next = next.min(edge);
                }
            }
            let wait = sleep((next - now).max(0.0));
            let _ = select(pin!(self.wake.notified()), pin!(wait)).await;
        }
    }
}

/// The number of a name, by the order in which names came.
fn number(names: &RefCell<Vec<String>>, name: &str) -> usize {
    let mut names = names.borrow_mut();
    let known = names.iter().position(|n| n == name);
    known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// How fetches went, for a night with a store: what it sent, and when tasks had their
/// images, from their jobs' submission on.
pub fn told(events: &[Event]) -> String {
    let mut asked = BTreeMap::new();
    let mut waits: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let (mut begun, mut sent) = (BTreeSet::new(), 0.0);
    for event in events {
        match &event.what {
            What::Asked { spec } => {
                let first = (event.t, spec.class.as_str(), spec.tasks);
                asked.entry(spec.id.as_str()).or_insert(first);
            }
            What::Started { job, task, .. } if begun.insert((job, task)) => {
                if let Some((at, class, _)) = asked.get(job.as_str()) {
                    waits.entry(class).or_default().push(event.t - at);
                }
            }
            What::StoreSent { gb } => sent = *gb,
            _ => {}
        }
    }
    let mut out = format!("  images: the store sent {sent:.0} GB\n");
    for (class, mut waits) in waits {
        let all: u32 = asked.values().filter(|a| a.1 == class).map(|a| a.2).sum();
        waits.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = ((share * f64::from(all)).ceil() as usize).max(1) - 1;
            waits
                .get(index)
                .map_or("never".into(), |s| format!("{s:.0} s"))
        };
        out += &format!(
            "  images: {class}: half of {all} tasks began after {}, 90% after {}, all after {}\n",
            at(0.5),
            at(0.9),
            at(1.0)
        );
    }
    out
}
