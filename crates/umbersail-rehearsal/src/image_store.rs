//! Simulated image store and peer-to-peer transfer of images between machines: which source
//! sends which piece to which machine, and how long each transfer takes.
//!
//! A source sends one piece at a time at its upload rate, to its readers in round-robin order.
//! All pieces that a machine receives share its download rate. The store has a rate of its own.
//! Time is passed in, so that [`Swarm`] also works outside a simulated world.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use umbersail_runtime::{Broadcast, WorldHandle, sleep};

use crate::history::{Event, EventKind, History};
use crate::scenario::Store;
use crate::worker::Worker;

/// Seconds until a reader notices that a source is lost.
const SOURCE_LOST_S: f64 = 2.0;

/// Interval at which the amount sent by the store is recorded, in seconds.
const STORE_SENT_INTERVAL_S: f64 = 10.0;

/// The number of a machine. Numbers are never reused.
pub type Node = usize;
/// The number of an image.
pub type Image = u32;

/// Set of pieces, as a bit set.
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

    /// Returns the first piece that is neither in this set nor in `incoming`.
    fn first_missing(&self, incoming: &Pieces, total: u32) -> Option<u32> {
        let words = self.words.iter().zip(&incoming.words).enumerate();
        let mut free = words.filter_map(|(index, (here, incoming))| {
            let left = !(here | incoming);
            (left != 0).then(|| index as u32 * 64 + left.trailing_zeros())
        });
        free.next().filter(|piece| *piece < total)
    }

    /// Returns the first piece that is in this set and in neither of the others.
    fn first_not_in(&self, have: &Pieces, incoming: &Pieces) -> Option<u32> {
        let words = self.words.iter().zip(&have.words).zip(&incoming.words);
        for (index, ((here, have), incoming)) in words.enumerate() {
            let left = here & !have & !incoming;
            if left != 0 {
                return Some(index as u32 * 64 + left.trailing_zeros());
            }
        }
        None
    }
}

/// Where a piece comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Store,
    Machine(Node),
}

/// A complete or partial copy of an image on a machine.
#[derive(Debug)]
struct Replica {
    node: Node,
    image: Image,
    total: u32,
    piece_gb: f64,
    have: Pieces,
    incoming: Pieces,
    sources: Vec<Source>,
    /// Pieces in flight to this machine, each with its source.
    sending: Vec<(Source, u32)>,
    alive: bool,
}

/// The upload side of a source.
#[derive(Debug, Default)]
struct Uplink {
    rate: f64,
    busy: bool,
    /// Replicas that read from this uplink, in round-robin order.
    readers: VecDeque<usize>,
}

/// A machine that fetches images and passes them on.
#[derive(Debug)]
struct Peer {
    zone: u16,
    up: f64,
    down: f64,
    /// When the download link is free again.
    down_free_at: f64,
    alive: bool,
    uplink: Uplink,
    replicas: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TransferEvent {
    UplinkFree(Source),
    Arrived {
        replica: usize,
        from: Source,
        piece: u32,
    },
    SourceLost {
        replica: usize,
        from: Source,
    },
}

/// The image store and all machines that fetch images or pass them on.
#[derive(Debug)]
pub struct Swarm {
    piece_gb: f64,
    store: Uplink,
    peers: BTreeMap<Node, Peer>,
    replicas: Vec<Replica>,
    events: BinaryHeap<Reverse<(u64, u64, TransferEvent)>>,
    sequence: u64,
    now: f64,
    store_gb: f64,
    finished: Vec<(Node, Image)>,
    partitioned_zone: Option<u16>,
}

impl Swarm {
    /// Creates a swarm with a store that sends at this total rate, in GB per second.
    pub fn new(store_gb_s: f64, piece_gb: f64) -> Swarm {
        Swarm {
            piece_gb,
            store: Uplink {
                rate: store_gb_s,
                ..Uplink::default()
            },
            peers: BTreeMap::new(),
            replicas: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            store_gb: 0.0,
            finished: Vec::new(),
            partitioned_zone: None,
        }
    }

    /// Returns how much the store has sent, in GB.
    pub fn store_gb(&self) -> f64 {
        self.store_gb
    }

    /// Adds a machine with its zone and its upload and download rates, in GB per second.
    pub fn add(&mut self, node: Node, zone: u16, up: f64, down: f64) {
        let peer = Peer {
            zone,
            up,
            down,
            down_free_at: 0.0,
            alive: true,
            uplink: Uplink {
                rate: up,
                ..Uplink::default()
            },
            replicas: Vec::new(),
        };
        self.peers.insert(node, peer);
    }

    /// Removes a machine and its replicas.
    pub fn remove(&mut self, now: f64, node: Node) {
        let Some(peer) = self.peers.get_mut(&node) else {
            return;
        };
        peer.alive = false;
        let replicas = std::mem::take(&mut peer.replicas);
        for replica in replicas {
            self.drop_replica(now, replica);
        }
        self.peers.remove(&node);
    }

    /// Divides the machine's upload rate by `times`.
    pub fn slow_uplink(&mut self, node: Node, times: f64) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.uplink.rate = peer.up / times.max(1e-6);
        }
    }

    /// Sets the store's rate, in GB per second; 0 is an outage.
    pub fn set_store_rate(&mut self, now: f64, gb_s: f64) {
        self.store.rate = gb_s;
        self.now = self.now.max(now);
        self.serve(Source::Store);
    }

    /// Cuts a zone off from the other zones, but not from the store. `None` ends the partition.
    pub fn partition_zone(&mut self, now: f64, zone: Option<u16>) {
        self.now = self.now.max(now);
        self.partitioned_zone = zone;
        for replica in 0..self.replicas.len() {
            let lost: Vec<Source> = self.replicas[replica]
                .sources
                .iter()
                .filter(|from| !self.reaches(**from, replica))
                .copied()
                .collect();
            for from in lost {
                self.at(
                    self.now + SOURCE_LOST_S,
                    TransferEvent::SourceLost { replica, from },
                );
            }
        }
    }

    /// Whether no partition separates a source from the machine of a replica.
    fn reaches(&self, from: Source, replica: usize) -> bool {
        let zone = |node| self.peers.get(&node).map(|p| p.zone);
        match (from, self.partitioned_zone) {
            (Source::Store, _) | (_, None) => true,
            (Source::Machine(node), Some(isolated)) => {
                (zone(node) == Some(isolated))
                    == (zone(self.replicas[replica].node) == Some(isolated))
            }
        }
    }

    /// Starts to fetch an image from these machines, or from the store if none of the machines
    /// has or fetches the image.
    pub fn fetch(&mut self, now: f64, node: Node, image: Image, gb: f64, holders: &[Node]) {
        self.now = self.now.max(now);
        if self.replica_of(node, image).is_some() || !self.peers.contains_key(&node) {
            return;
        }
        let total = (gb / self.piece_gb).ceil().max(1.0) as u32;
        let mut sources: Vec<Source> = holders
            .iter()
            .filter(|holder| **holder != node && self.replica_of(**holder, image).is_some())
            .map(|holder| Source::Machine(*holder))
            .collect();
        let replica = self.replicas.len();
        self.replicas.push(Replica {
            node,
            image,
            total,
            piece_gb: gb / f64::from(total),
            have: Pieces::none(total),
            incoming: Pieces::none(total),
            sources: Vec::new(),
            sending: Vec::new(),
            alive: true,
        });
        sources.retain(|from| self.reaches(*from, replica));
        if sources.is_empty() {
            sources.push(Source::Store);
        }
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.replicas.push(replica);
        }
        for from in sources {
            self.read_from(replica, from);
        }
    }

    /// Drops the machine's complete or partial replica of the image.
    pub fn release(&mut self, now: f64, node: Node, image: Image) {
        self.now = self.now.max(now);
        if let Some(replica) = self.replica_of(node, image) {
            if let Some(peer) = self.peers.get_mut(&node) {
                peer.replicas.retain(|r| *r != replica);
            }
            self.drop_replica(now, replica);
        }
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<f64> {
        self.events
            .peek()
            .map(|Reverse((at, _, _))| *at as f64 / 1e9)
    }

    /// Processes events until `now` and returns the fetches that have finished.
    pub fn advance(&mut self, now: f64) -> Vec<(Node, Image)> {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            let at = at as f64 / 1e9;
            if at > now {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            match event {
                TransferEvent::UplinkFree(from) => {
                    if let Some(uplink) = self.uplink(from) {
                        uplink.busy = false;
                    }
                    self.serve(from);
                }
                TransferEvent::Arrived {
                    replica,
                    from,
                    piece,
                } => self.arrived(replica, from, piece),
                TransferEvent::SourceLost { replica, from } => self.source_lost(replica, from),
            }
        }
        self.now = self.now.max(now);
        std::mem::take(&mut self.finished)
    }

    /// Schedules an event.
    fn at(&mut self, at: f64, step: TransferEvent) {
        self.sequence += 1;
        let at = (at.max(0.0) * 1e9).round() as u64;
        self.events.push(Reverse((at, self.sequence, step)));
    }

    fn replica_of(&self, node: Node, image: Image) -> Option<usize> {
        let peer = self.peers.get(&node)?;
        let mut replicas = peer.replicas.iter();
        replicas
            .find(|r| self.replicas[**r].image == image)
            .copied()
    }

    fn uplink(&mut self, from: Source) -> Option<&mut Uplink> {
        match from {
            Source::Store => Some(&mut self.store),
            Source::Machine(node) => self.peers.get_mut(&node).map(|p| &mut p.uplink),
        }
    }

    /// Adds a source to a replica.
    fn read_from(&mut self, replica: usize, from: Source) {
        self.replicas[replica].sources.push(from);
        if let Some(uplink) = self.uplink(from) {
            uplink.readers.push_back(replica);
        }
        self.serve(from);
    }

    /// Sends the next piece from this source, if a reader needs one.
    fn serve(&mut self, from: Source) {
        let Some(uplink) = self.uplink(from) else {
            return;
        };
        if uplink.busy || uplink.rate <= 0.0 {
            return;
        }
        let rate = uplink.rate;
        for turn in 0..uplink.readers.len() {
            let Some(uplink) = self.uplink(from) else {
                return;
            };
            let replica = uplink.readers[turn];
            let Some(piece) = self.next_piece(from, replica) else {
                continue;
            };
            if let Some(uplink) = self.uplink(from) {
                uplink.busy = true;
                uplink.readers.remove(turn);
                uplink.readers.push_back(replica);
            }
            let reader = &mut self.replicas[replica];
            reader.incoming.insert(piece);
            reader.sending.push((from, piece));
            let (gb, node) = (reader.piece_gb, reader.node);
            let sent = self.now + gb / rate;
            let Some(peer) = self.peers.get_mut(&node) else {
                return;
            };
            let arrives = sent.max(peer.down_free_at.max(self.now) + gb / peer.down);
            peer.down_free_at = arrives;
            if from == Source::Store {
                self.store_gb += gb;
            }
            self.at(sent, TransferEvent::UplinkFree(from));
            self.at(
                arrives,
                TransferEvent::Arrived {
                    replica,
                    from,
                    piece,
                },
            );
            return;
        }
    }

    /// Returns the piece that this source sends to the reader next, if any.
    fn next_piece(&self, from: Source, replica: usize) -> Option<u32> {
        let reader = &self.replicas[replica];
        if !reader.alive
            || reader.sending.iter().any(|(sender, _)| *sender == from)
            || !self.reaches(from, replica)
        {
            return None;
        }
        match from {
            Source::Store => reader.have.first_missing(&reader.incoming, reader.total),
            Source::Machine(node) => {
                let holder = &self.replicas[self.replica_of(node, reader.image)?];
                holder.have.first_not_in(&reader.have, &reader.incoming)
            }
        }
    }

    /// Adds a piece that has arrived, and records the image as finished if it is complete.
    fn arrived(&mut self, replica: usize, from: Source, piece: u32) {
        let reader = &mut self.replicas[replica];
        let before = reader.sending.len();
        reader.sending.retain(|sent| *sent != (from, piece));
        if !reader.alive || reader.sending.len() == before {
            return;
        }
        reader.incoming.remove(piece);
        reader.have.insert(piece);
        let (node, image) = (reader.node, reader.image);
        let sources = reader.sources.clone();
        if reader.have.count == reader.total {
            reader.sources.clear();
            for source in &sources {
                if let Some(uplink) = self.uplink(*source) {
                    uplink.readers.retain(|r| *r != replica);
                }
            }
            self.finished.push((node, image));
        }
        for source in sources {
            self.serve(source);
        }
        self.serve(Source::Machine(node));
    }

    /// Removes a source of a replica. If the source was the last one, the replica reads from the
    /// store instead.
    fn source_lost(&mut self, replica: usize, from: Source) {
        let reader = &mut self.replicas[replica];
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
            reader.incoming.remove(piece);
        }
        let sources = reader.sources.clone();
        if let Some(uplink) = self.uplink(from) {
            uplink.readers.retain(|r| *r != replica);
        }
        if sources.is_empty() {
            self.read_from(replica, Source::Store);
        }
        for source in sources {
            self.serve(source);
        }
    }

    /// Drops a replica. The machines that read from this one notice after [`SOURCE_LOST_S`].
    fn drop_replica(&mut self, now: f64, replica: usize) {
        self.now = self.now.max(now);
        let node = self.replicas[replica].node;
        let image = self.replicas[replica].image;
        self.replicas[replica].alive = false;
        for source in std::mem::take(&mut self.replicas[replica].sources) {
            if let Some(uplink) = self.uplink(source) {
                uplink.readers.retain(|r| *r != replica);
            }
        }
        let readers: Vec<usize> = match self.peers.get(&node) {
            Some(peer) => peer.uplink.readers.iter().copied().collect(),
            None => Vec::new(),
        };
        for reader in readers {
            if self.replicas[reader].image == image {
                let from = Source::Machine(node);
                self.at(
                    now + SOURCE_LOST_S,
                    TransferEvent::SourceLost {
                        replica: reader,
                        from,
                    },
                );
            }
        }
    }
}

/// Runs a [`Swarm`] in a scenario and connects it to the simulated workers.
pub struct ImageStore {
    night: Store,
    swarm: RefCell<Swarm>,
    /// Numbers of machines, by address.
    nodes: RefCell<BTreeMap<SocketAddr, Node>>,
    workers: RefCell<BTreeMap<Node, Rc<Worker>>>,
    zones: RefCell<Vec<String>>,
    images: RefCell<Vec<String>>,
    created: Cell<Node>,
    /// Notified whenever a transfer may start.
    wake: Broadcast,
}

impl ImageStore {
    /// Creates the store without machines.
    pub fn new(night: Store) -> Rc<ImageStore> {
        Rc::new(ImageStore {
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

    /// Adds a machine. Its upload rate is a fixed share of its fetch rate.
    pub fn add(&self, addr: SocketAddr, zone: &str, fetch_gb_per_s: f64, worker: Rc<Worker>) {
        let node = self.created.get();
        self.created.set(node + 1);
        let zone = index_of(&self.zones, zone) as u16;
        let up = fetch_gb_per_s * self.night.up_share;
        self.swarm.borrow_mut().add(node, zone, up, fetch_gb_per_s);
        self.nodes.borrow_mut().insert(addr, node);
        self.workers.borrow_mut().insert(node, worker);
    }

    /// Removes a machine that is gone.
    pub fn remove(&self, now: f64, addr: SocketAddr) {
        if let Some(node) = self.nodes.borrow_mut().remove(&addr) {
            self.swarm.borrow_mut().remove(now, node);
            self.workers.borrow_mut().remove(&node);
            self.wake.notify_all();
        }
    }

    /// A worker starts to fetch an image from `holders`, the addresses that the start command
    /// names.
    pub fn fetch(&self, now: f64, addr: SocketAddr, image: &str, gb: f64, holders: &[String]) {
        let nodes = self.nodes.borrow();
        let Some(node) = nodes.get(&addr) else {
            return;
        };
        let known = |holder: &String| nodes.get(&holder.parse().ok()?).copied();
        let holders: Vec<Node> = holders.iter().filter_map(known).collect();
        let image = index_of(&self.images, image) as Image;
        (self.swarm.borrow_mut()).fetch(now, *node, image, gb, &holders);
        self.wake.notify_all();
    }

    /// A worker no longer holds or fetches the image.
    pub fn release(&self, now: f64, addr: SocketAddr, image: &str) {
        if let Some(node) = self.nodes.borrow().get(&addr) {
            let image = index_of(&self.images, image) as Image;
            self.swarm.borrow_mut().release(now, *node, image);
            self.wake.notify_all();
        }
    }

    /// Runs transfers in simulation time, including the store's outage, and records regularly
    /// how much the store has sent.
    pub async fn run(self: Rc<Self>, world: WorldHandle, history: History) {
        let mut recorded_at = 0.0;
        let out = self.night.out_at_s..self.night.out_at_s + self.night.out_for_s;
        loop {
            let now = world.now();
            let rate = match out.contains(&now) {
                true => 0.0,
                false => self.night.gb_per_s,
            };
            self.swarm.borrow_mut().set_store_rate(now, rate);
            let finished = self.swarm.borrow_mut().advance(now);
            for (node, image) in finished {
                let worker = self.workers.borrow().get(&node).cloned();
                let image = self.images.borrow()[image as usize].clone();
                if let Some(worker) = worker {
                    worker.received(now, &image);
                }
            }
            if now >= recorded_at + STORE_SENT_INTERVAL_S {
                recorded_at = now;
                let gb = self.swarm.borrow().store_gb();
                history.add(EventKind::StoreSent { gb });
            }
            let mut next = self
                .swarm
                .borrow()
                .next_at()
                .unwrap_or(now + STORE_SENT_INTERVAL_S);
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

/// Returns the index of a name, adding the name at the end if it is new.
fn index_of(names: &RefCell<Vec<String>>, name: &str) -> usize {
    let mut names = names.borrow_mut();
    let known = names.iter().position(|n| n == name);
    known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// Summarizes image transfers for a scenario with an image store: how much the store sent, and
/// how long after submission tasks began to run, by class.
pub fn summary(events: &[Event]) -> String {
    let mut submitted = BTreeMap::new();
    let mut waits: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let (mut started, mut sent) = (BTreeSet::new(), 0.0);
    for event in events {
        match &event.what {
            EventKind::Submitted { spec } => {
                let first = (event.t, spec.class.as_str(), spec.tasks);
                submitted.entry(spec.id.as_str()).or_insert(first);
            }
            EventKind::Started { job, task, .. } if started.insert((job, task)) => {
                if let Some((at, class, _)) = submitted.get(job.as_str()) {
                    waits.entry(class).or_default().push(event.t - at);
                }
            }
            EventKind::StoreSent { gb } => sent = *gb,
            _ => {}
        }
    }
    let mut out = format!("  images: the store sent {sent:.0} GB\n");
    for (class, mut waits) in waits {
        let all: u32 = submitted
            .values()
            .filter(|a| a.1 == class)
            .map(|a| a.2)
            .sum();
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
