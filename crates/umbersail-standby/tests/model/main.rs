//! A search of all states of three controllers, two machines, one task and the
//! state service, to a bound: in whatever order they elect, write, launch, ask,
//! agree, end, come back, hear, answer while isolated, are silent for a lease, or take
//! a copy of an old report, the task is never started on one machine while it runs on
//! the other. The question to each peer, its agreement, the arrival of its answer and
//! greetings are steps of their own, and a write without an answer may be carried out
//! after newer ones. What the controllers know is kept by the real `OpenMemory`. Each
//! planted mistake is found.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hash, Hasher, RandomState};

use umbersail_standby::OpenMemory;

const NODES: usize = 3;
const MACHINES: u8 = 2;
const ALL: u8 = 0b11;

/// A check that is left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// A successor trusts the records though it agreed to starts without them.
    ForgetsAgreement,
    /// A process that has lost its memory trusts the records.
    TrustsWithoutMemory,
    /// A holder opens though one peer has not been asked.
    AsksAllButOne,
    /// A peer agrees with a holder that it knows to be replaced.
    AgreesWithTheOld,
    /// The matter is settled once all machines are known, whatever is recorded.
    SettledWhenSeen,
    /// The election does not tell the next one that something is unsettled.
    NoNoteOfIt,
    /// A machine is known by its report, whatever token that shows.
    AnyReportCounts,
    /// A launch is told before its record stands.
    LaunchBeforeRecord,
    /// A holder says that all is recorded as soon as it has shut.
    RecordedWhenShut,
    /// A process takes a holder that it hears of for elected in its own time.
    /// Trusted by that alone, as what is known of the holder before would show it.
    PeersWordIsFirst,
    /// An isolated holder goes on answering workers after its time to keep.
    AnswersAfterItsTime,
    /// A machine's lease is reckoned from its last answer by us, though a holder before
    /// us may have answered it since.
    LapsesByOwnAnswers,
    /// A copy of an old report counts like a new one.
    CopiesCount,
    /// A peer's "recorded" is as good as the holder's own (the incident).
    PeersWordCounts,
    /// A process agrees though it has read no holder at the state service.
    AgreesUnread,
    /// A peer's "recorded" counts of a holder that lives, unless we have agreed.
    PeersWordOfTheLiving,
    /// The holder's answer to a question from before our agreement undoes it.
    OldWordCounts,
    /// A holder that asks says that all is recorded until it has opened.
    AskingIsShut,
    /// An answer to a former round of questions counts in this one.
    OldAgreementCounts,
    /// `alive` counts though it was written for an earlier doubt.
    OldAliveCounts,
    /// A holder relies on hosts that a write without an answer would drop.
    ReliesOnDropped,
    /// Progress is written without a condition on the version that it replaces.
    ProgressAnyVersion,
    /// A holder that was elected in our time and never had our agreement is trusted,
    /// whatever is known of the one before it: its election may have come late.
    OwnTimeCounts,
}

/// Moments on every controller's clock, as far as their order matters: before and
/// after its own last agreement.
const BEFORE: f64 = 0.0;
const AGREED: f64 = 1.0;
const AFTER: f64 = 2.0;

/// The real memory, and what tells it from others: the holder that it knows of,
/// whether it agreed with it (2) or was told that all is recorded (1), and how many
/// tokens are no newer than the first that it read.
#[derive(Debug, Clone)]
struct Memory {
    real: OpenMemory,
    sight: (u8, u8, u8),
}

impl Default for Memory {
    fn default() -> Memory {
        let real = OpenMemory::default();
        let sight = sight(&real);
        Memory { real, sight }
    }
}

/// Found by asking the memory what it would say.
fn sight(memory: &OpenMemory) -> (u8, u8, u8) {
    let told = |asked: f64| {
        let mut probe = memory.clone();
        (0..=MOST_TOKEN).find(|token| {
            probe.told(asked, u64::from(*token), false);
            probe.recorded() == Some(u64::from(*token))
        })
    };
    let token = told(AFTER).unwrap_or(u8::MAX);
    let known = match memory.recorded() {
        Some(_) => 1,
        None if told(BEFORE) != Some(token) => 2,
        None => 0,
    };
    let mut probe = memory.clone();
    probe.held(AGREED, u64::MAX - 1, false);
    let older = (0..=MOST_TOKEN).filter(|t| probe.may_be_open(u64::from(*t)));
    let first = match probe.may_be_open(u64::MAX) {
        true => 0,
        false => older.count() as u8,
    };
    (token, known, first)
}

impl Memory {
    fn change<R>(&mut self, change: impl FnOnce(&mut OpenMemory) -> R) -> R {
        let result = change(&mut self.real);
        self.sight = sight(&self.real);
        result
    }
}

impl PartialEq for Memory {
    fn eq(&self, other: &Memory) -> bool {
        self.sight == other.sight
    }
}

impl Eq for Memory {}

impl Hash for Memory {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.sight.hash(state);
    }
}

/// Tokens are smaller than this in every search.
const MOST_TOKEN: u8 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Opening {
    Shut,
    /// These peers' answers have come.
    Asking(u8),
    Open,
    Closing,
}

/// What a peer is asked, or has agreed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Round {
    token: u8,
    peer: u8,
    /// The holder still waits for this answer.
    awaited: bool,
    /// The peer has agreed, and its answer is under way.
    agreed: bool,
}

/// An answer to a greeting that is under way: all that was started is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Word {
    to: u8,
    token: u8,
    by_holder: bool,
    /// Whoever asked has agreed to something since.
    stale: bool,
}

/// A write without an answer, which may yet be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Late {
    Election {
        by: u8,
        former: u8,
        open: bool,
    },
    /// `valid` until the record that it replaces is written by another.
    Progress {
        token: u8,
        record: u8,
        valid: bool,
    },
    Settled {
        token: u8,
    },
    /// Written for a doubt of before; it says that all is recorded.
    Alive {
        token: u8,
    },
}

/// How often things happen at most in a search.
#[derive(Debug, Clone, Copy, Default)]
struct Bounds {
    elections: u8,
    ends: u8,
    leases: u8,
    copies: u8,
    /// Answers to greetings that are held up.
    words: u8,
    /// Writes without an answer: elections, others of the holder.
    late_elections: u8,
    late_writes: u8,
    /// Questions may arrive after the holder has given up its round.
    strays: bool,
    /// Begins after a holder that started the task without a record and ended.
    unsettled: bool,
}

const NONE: Bounds = Bounds {
    elections: 0,
    ends: 0,
    leases: 0,
    copies: 0,
    words: 0,
    late_elections: 0,
    late_writes: 0,
    strays: false,
    unsettled: false,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lead {
    token: u8,
    opening: Opening,
    /// Machines that may hold the task, unknown to it.
    limbo: u8,
    /// Machines that show its token.
    fenced: u8,
    /// Where it believes the task to be, and whether it has told that machine.
    at: Option<(u8, bool)>,
    /// Machines that the record names, as far as it knows.
    recorded: u8,
    unsettled: bool,
    /// Its time to keep is over: it answers no worker and starts nothing.
    over: bool,
    /// Leases for which it has not heard of each machine, two at most, counted from
    /// when nobody before it may answer any more.
    silent: [u8; MACHINES as usize],
    /// Machines of which it has a newer report than the copy.
    newer: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    newest: u8,
    memory: Memory,
    /// The first key that its process read at the state service.
    first: u8,
    lead: Option<Lead>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    state_up: bool,
    /// The newest grant's token.
    key: u8,
    record: u8,
    unsettled: bool,
    nodes: [Node; NODES],
    /// The highest token that each machine has seen, and whether the task runs there.
    machines: [(u8, bool); MACHINES as usize],
    /// Machines that had an answer since the last full lease.
    answered: u8,
    /// Full leases that pass, at most, and whether the time to keep of all holders
    /// before the newest is over.
    leases: u8,
    kept_out: bool,
    /// Launches on their way: machine, token, and whether a lease has passed since.
    flight: Vec<(u8, u8, bool)>,
    /// A copy of a report that may arrive at any time: machine, token and task.
    copy: Option<(u8, u8, bool)>,
    copies: u8,
    elections: u8,
    ends: u8,
    outages: u8,
    /// Who was elected with each token.
    holders: [u8; MOST_TOKEN as usize],
    /// Questions to peers, and their answers under way.
    rounds: Vec<Round>,
    word: Option<Word>,
    words: u8,
    late: Option<Late>,
    late_elections: u8,
    late_writes: u8,
    strays: bool,
}

type Next = Result<World, ()>;

impl Lead {
    /// A report that counts shows our token, and whether the task runs there.
    fn shown(&mut self, m: u8, runs: bool) {
        let bit = 1 << m;
        self.fenced |= bit;
        self.limbo &= !bit;
        if runs && self.at.is_none() {
            self.at = Some((m, true));
        }
        if !runs && self.at == Some((m, true)) {
            self.at = None;
        }
    }
}

impl World {
    /// A holder leads, its peers know that all is recorded, and the machines show
    /// its token.
    fn first(bounds: Bounds) -> World {
        let lead = Lead {
            token: 1,
            opening: Opening::Shut,
            limbo: 0,
            fenced: ALL,
            at: None,
            recorded: 0,
            unsettled: false,
            over: false,
            silent: [0; MACHINES as usize],
            newer: 0,
        };
        let mut memory = Memory::default();
        memory.change(|m| m.read(1));
        let leader = Node {
            newest: 1,
            memory: memory.clone(),
            first: 1,
            lead: Some(lead),
        };
        memory.change(|m| m.told(AFTER, 1, false));
        let follower = Node {
            newest: 1,
            memory,
            first: 1,
            lead: None,
        };
        World {
            state_up: true,
            key: 1,
            record: 0,
            unsettled: false,
            nodes: [leader, follower.clone(), follower],
            machines: [(1, false); MACHINES as usize],
            answered: ALL,
            leases: bounds.leases,
            kept_out: true,
            flight: Vec::new(),
            copy: None,
            copies: bounds.copies,
            elections: bounds.elections,
            ends: bounds.ends,
            outages: 1,
            holders: [0; MOST_TOKEN as usize],
            rounds: Vec::new(),
            word: None,
            words: bounds.words,
            late: None,
            late_elections: bounds.late_elections,
            late_writes: bounds.late_writes,
            strays: bounds.strays,
        }
    }

    /// The holder started the task without a record, with its peers' agreement, and
    /// ended. One of them was elected then.
    fn unsettled(bounds: Bounds) -> World {
        let mut world = World::first(bounds);
        world.nodes[1]
            .memory
            .change(|m| m.agrees(AGREED, 1, 1, true));
        let agreed = world.nodes[1].clone();
        let lead = Lead {
            token: 2,
            limbo: ALL,
            fenced: 0,
            unsettled: true,
            ..world.nodes[0].lead.expect("it leads")
        };
        world.nodes[0] = Node {
            newest: 2,
            lead: Some(lead),
            ..agreed.clone()
        };
        world.nodes[2] = Node::default();
        world.machines[0].1 = true;
        (world.key, world.unsettled, world.outages) = (2, true, 0);
        world
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> Next {
        let mut next = self.clone();
        change(&mut next);
        Ok(next)
    }

    /// Every world that may follow; `Err` where the task would run twice.
    fn next(&self, planted: Planted) -> Vec<Next> {
        let mut out = Vec::new();
        if self.state_up && self.outages > 0 {
            out.push(self.with(|w| (w.state_up, w.outages) = (false, w.outages - 1)));
        }
        if !self.state_up {
            out.push(self.with(|w| {
                w.state_up = true;
                if w.outages == 0 {
                    // Nobody will agree to these any more.
                    w.rounds.retain(|r| r.agreed);
                }
            }));
        }
        self.time_passes(planted, &mut out);
        for (index, &(machine, token, _)) in self.flight.iter().enumerate() {
            out.push(self.with(|w| {
                w.flight.remove(index);
            }));
            let mut landed = self.clone();
            landed.flight.remove(index);
            let (seen, runs) = self.machines[machine as usize];
            if token >= seen {
                let other = self.machines[1 - machine as usize].1;
                if other && !runs {
                    out.push(Err(()));
                    continue;
                }
                landed.machines[machine as usize] = (token, true);
                landed.answered |= 1 << machine;
                out.push(Ok(landed));
            }
        }
        for i in 0..NODES {
            self.node_steps(i, planted, &mut out);
            if let Some(lead) = self.nodes[i].lead {
                self.lead_steps(i, lead, planted, &mut out);
                self.opening_steps(i, lead, planted, &mut out);
            }
        }
        self.late_steps(planted, &mut out);
        out
    }

    /// A write that had no answer is carried out, if its conditions hold by then.
    fn late_steps(&self, planted: Planted, out: &mut Vec<Next>) {
        let Some(late) = self.late.filter(|_| self.state_up) else {
            return;
        };
        out.push(self.with(|w| {
            w.late = None;
            match late {
                Late::Election { by, former, open } => {
                    if former == self.key {
                        w.elected(by, open);
                    }
                }
                Late::Progress {
                    token,
                    record,
                    valid,
                } => {
                    let ours = token == self.key;
                    let version = valid || planted == Planted::ProgressAnyVersion;
                    if ours && version {
                        w.record = record;
                    }
                }
                Late::Settled { token } => {
                    if token == self.key {
                        w.unsettled = false;
                    }
                }
                Late::Alive { token } => {
                    if token == self.key && planted == Planted::OldAliveCounts {
                        let following = w.nodes.iter_mut().filter(|n| n.lead.is_none());
                        following.for_each(|n| {
                            n.memory.change(|m| m.told(AFTER, token.into(), false));
                        });
                    }
                }
            }
        }));
    }

    /// The key and the grant are this node's now, whether it knows that or not.
    fn elected(&mut self, by: u8, open: bool) {
        self.key += 1;
        self.holders[self.key as usize] = by;
        self.kept_out = false;
        self.unsettled |= open;
    }

    /// Nobody waits for answers to this holder any more.
    fn gave_up(&mut self, token: u8, planted: Planted) {
        if planted == Planted::OldAgreementCounts {
            return;
        }
        let strays = self.strays;
        (self.rounds).retain(|r| r.token != token || (strays && !r.agreed));
        for round in self.rounds.iter_mut().filter(|r| r.token == token) {
            round.awaited = false;
        }
        self.rounds.sort_unstable();
        self.rounds.dedup();
    }

    /// The time to keep of former holders, a full lease, and a copy that is made.
    fn time_passes(&self, planted: Planted, out: &mut Vec<Next>) {
        if !self.kept_out && self.leases > 0 {
            out.push(self.with(|w| {
                w.kept_out = true;
                let leads = w.nodes.iter_mut().filter_map(|n| n.lead.as_mut());
                for lead in leads.filter(|l| l.token < self.key) {
                    lead.over = planted != Planted::AnswersAfterItsTime;
                }
            }));
        }
        if self.leases > 0 {
            out.push(self.with(|w| {
                w.leases -= 1;
                // A reply is dropped after 4 s, and by a machine whose lease is over.
                w.flight
                    .retain(|(m, _, old)| !old && self.answered & (1 << m) != 0);
                w.flight.iter_mut().for_each(|launch| launch.2 = true);
                for m in 0..MACHINES {
                    if self.answered & (1 << m) == 0 {
                        w.machines[m as usize].1 = false;
                    }
                }
                w.answered = if w.leases > 0 { 0 } else { ALL };
                let may_count = self.kept_out || planted == Planted::LapsesByOwnAnswers;
                let leads = w.nodes.iter_mut().filter_map(|n| n.lead.as_mut());
                for lead in leads.filter(|l| l.token == self.key && may_count) {
                    for silent in &mut lead.silent {
                        *silent = (*silent + 1).min(2);
                    }
                }
            }));
        }
        if self.copies > 0 {
            for m in 0..MACHINES {
                let (token, runs) = self.machines[m as usize];
                out.push(self.with(|w| {
                    w.copies -= 1;
                    w.copy = Some((m, token, runs));
                    let leads = w.nodes.iter_mut().filter_map(|n| n.lead.as_mut());
                    leads.for_each(|lead| lead.newer = 0);
                }));
            }
        }
    }

    fn node_steps(&self, i: usize, planted: Planted, out: &mut Vec<Next>) {
        let node = &self.nodes[i];
        if self.ends > 0 && *node != Node::default() {
            out.push(self.with(|w| {
                if let Some(lead) = node.lead {
                    w.gave_up(lead.token, planted);
                }
                w.word = w.word.filter(|word| word.to != i as u8);
                w.nodes[i] = Node::default();
                w.ends -= 1;
            }));
        }
        if self.state_up && (self.key > node.newest || node.first == 0) {
            out.push(self.with(|w| {
                w.nodes[i].newest = w.key;
                let key = u64::from(w.key);
                w.nodes[i].memory.change(|m| m.read(key));
                if node.first == 0 {
                    w.nodes[i].first = w.key;
                }
            }));
        }
        self.greetings(i, planted, out);
        let follows = node.lead.is_none();
        for (index, round) in self.rounds.iter().enumerate() {
            let asked = usize::from(round.peer) == i && !round.agreed;
            if asked && (follows || planted == Planted::AgreesWithTheOld) {
                out.extend(self.agreement(i, index, planted).map(Ok));
            }
        }
        if !follows {
            return;
        }
        if self.state_up && self.elections > 0 {
            let key = u64::from(self.key);
            let in_time = matches!(planted, Planted::OwnTimeCounts | Planted::PeersWordIsFirst)
                && node.first > 0
                && node.first < self.key;
            let trusted = match node.memory.sight {
                _ if !node.memory.real.may_be_open(key) => true,
                (token, ..) if token != self.key && in_time => true,
                (_, 0, _) => planted == Planted::TrustsWithoutMemory,
                (_, 2, _) => planted == Planted::ForgetsAgreement,
                _ => false,
            };
            let open = self.unsettled || (self.key > 0 && !trusted);
            let noted = open && planted != Planted::NoNoteOfIt;
            if self.late_elections > 0 && self.late.is_none() {
                out.push(self.with(|w| {
                    w.late_elections -= 1;
                    w.late = Some(Late::Election {
                        by: i as u8,
                        former: self.key,
                        open: noted,
                    });
                }));
            }
            out.push(self.with(|w| {
                w.elections -= 1;
                w.unsettled &= planted != Planted::NoNoteOfIt;
                w.elected(i as u8, noted);
                w.nodes[i].newest = w.key;
                w.nodes[i].lead = Some(Lead {
                    token: w.key,
                    opening: Opening::Shut,
                    limbo: if open { ALL } else { w.record },
                    fenced: 0,
                    at: None,
                    recorded: w.record,
                    unsettled: open,
                    over: false,
                    silent: [0; MACHINES as usize],
                    newer: 0,
                });
            }));
        }
    }

    /// What others say when this one greets them, at once or held up.
    fn greetings(&self, i: usize, planted: Planted, out: &mut Vec<Next>) {
        let node = &self.nodes[i];
        for j in (0..NODES).filter(|j| *j != i) {
            let other = &self.nodes[j];
            let lead = other.lead.filter(|l| l.token >= other.newest);
            let newest = other.newest.max(node.newest);
            if node.lead.is_some() {
                if newest > node.newest {
                    out.push(self.with(|w| w.nodes[i].newest = newest));
                }
                continue;
            }
            let shut = lead.filter(|l| match l.opening {
                Opening::Shut => true,
                Opening::Asking(_) => planted == Planted::AskingIsShut,
                _ => false,
            });
            let recorded = match (lead, other.lead) {
                (Some(_), _) => shut.map(|l| l.token),
                (None, None) => other.memory.real.recorded().map(|token| token as u8),
                (None, Some(_)) => None,
            };
            out.push(self.with(|w| {
                w.nodes[i].newest = newest;
                if node.first == 0
                    && planted == Planted::PeersWordIsFirst
                    && let Some(lead) = lead
                {
                    w.nodes[i].first = lead.token - 1;
                    let before = u64::from(lead.token) - 1;
                    w.nodes[i].memory.change(|m| m.read(before));
                }
                if let Some(token) = recorded {
                    w.hear(i, token, lead.is_some(), false, planted);
                }
            }));
            if let Some(token) = recorded
                && self.words > 0
                && self.word.is_none()
            {
                out.push(self.with(|w| {
                    w.words -= 1;
                    w.word = Some(Word {
                        to: i as u8,
                        token,
                        by_holder: lead.is_some(),
                        stale: false,
                    });
                }));
            }
        }
        if let Some(word) = self.word.filter(|word| usize::from(word.to) == i) {
            out.push(self.with(|w| {
                w.word = None;
                if node.lead.is_none() {
                    w.hear(i, word.token, word.by_holder, word.stale, planted);
                }
            }));
        }
    }

    /// "Recorded", of the holder with this token.
    fn hear(&mut self, i: usize, token: u8, by_holder: bool, stale: bool, planted: Planted) {
        let node = &self.nodes[i];
        let former_self = node.newest == token && usize::from(self.holders[token as usize]) == i;
        let stale = stale && planted != Planted::OldWordCounts;
        let asked = if stale { BEFORE } else { AFTER };
        self.nodes[i].memory.change(|memory| {
            if by_holder || planted == Planted::PeersWordCounts {
                memory.told(asked, token.into(), false);
            } else {
                let any = planted == Planted::PeersWordOfTheLiving;
                memory.told_by_peer(token.into(), former_self || any);
            }
        });
    }

    /// A holder's question arrives at a peer, which may agree.
    fn agreement(&self, i: usize, index: usize, planted: Planted) -> Option<World> {
        let token = self.rounds[index].token;
        let newest = match planted {
            Planted::AgreesWithTheOld => token,
            _ => self.nodes[i].newest,
        };
        let out = !self.state_up;
        let mut next = self.clone();
        let memory = &mut next.nodes[i].memory;
        if planted == Planted::AgreesUnread {
            memory.change(|m| m.read(token.into()));
        }
        if !memory.change(|m| m.agrees(AGREED, token.into(), newest.into(), out)) {
            return None;
        }
        if let Some(word) = next.word.as_mut().filter(|w| usize::from(w.to) == i) {
            word.stale = true;
        }
        if self.rounds[index].awaited {
            next.rounds[index].agreed = true;
        } else {
            next.rounds.remove(index);
        }
        next.rounds.sort_unstable();
        next.rounds.dedup();
        Some(next)
    }

    /// A holder asks its peers, has their answers, gives up, opens and shuts.
    fn opening_steps(&self, i: usize, lead: Lead, planted: Planted, out: &mut Vec<Next>) {
        let set = |opening: Opening| {
            self.with(|w| w.nodes[i].lead.as_mut().expect("it leads").opening = opening)
        };
        let named = lead
            .at
            .is_none_or(|(m, told)| !told || lead.recorded & (1 << m) != 0);
        let peers = (0..NODES).filter(|j| *j != i);
        let peers: Vec<usize> = match planted {
            Planted::AsksAllButOne => peers.take(1).collect(),
            _ => peers.collect(),
        };
        match lead.opening {
            Opening::Shut if !self.state_up && !lead.over => out.push(self.with(|w| {
                let l = w.nodes[i].lead.as_mut().expect("it leads");
                l.opening = Opening::Asking(0);
                w.rounds.extend(peers.iter().map(|peer| Round {
                    token: lead.token,
                    peer: *peer as u8,
                    awaited: true,
                    agreed: false,
                }));
                w.rounds.sort_unstable();
                w.rounds.dedup();
            })),
            Opening::Asking(answered) => {
                out.push(self.with(|w| {
                    w.gave_up(lead.token, planted);
                    let l = w.nodes[i].lead.as_mut().expect("it leads");
                    l.opening = Opening::Shut;
                }));
                let here = |r: &Round| r.token == lead.token && r.agreed && r.awaited;
                for (index, round) in self.rounds.iter().enumerate().filter(|(_, r)| here(r)) {
                    let answered = answered | (1 << round.peer);
                    out.push(self.with(|w| {
                        w.rounds.remove(index);
                        let l = w.nodes[i].lead.as_mut().expect("it leads");
                        l.opening = if peers.iter().all(|p| answered & (1 << p) != 0) {
                            Opening::Open
                        } else {
                            Opening::Asking(answered)
                        };
                    }));
                }
            }
            Opening::Open => out.push(set(Opening::Closing)),
            Opening::Closing if named || planted == Planted::RecordedWhenShut => {
                out.push(set(Opening::Shut));
            }
            _ => {}
        }
        // The answer to a doubt, which is not carried out before the next doubt.
        let shut = lead.opening == Opening::Shut;
        if shut && self.state_up && self.late_writes > 0 && self.late.is_none() {
            out.push(self.with(|w| {
                w.late_writes -= 1;
                w.late = Some(Late::Alive { token: lead.token });
            }));
        }
    }

    fn lead_steps(&self, i: usize, lead: Lead, planted: Planted, out: &mut Vec<Next>) {
        let set = |change: &dyn Fn(&mut Lead)| {
            self.with(|w| change(w.nodes[i].lead.as_mut().expect("it leads")))
        };
        let ours = self.state_up && self.key == lead.token;
        let copied = self.copy.is_some();
        let named = lead
            .at
            .is_none_or(|(m, told)| !told || lead.recorded & (1 << m) != 0);
        // It hears of another, and steps down with what it knows of itself.
        if self.nodes[i].newest > lead.token {
            out.push(self.with(|w| {
                let open = lead.opening != Opening::Shut;
                w.gave_up(lead.token, planted);
                w.nodes[i]
                    .memory
                    .change(|m| m.held(AGREED, lead.token.into(), open));
                w.nodes[i].lead = None;
            }));
        }
        for m in 0..MACHINES {
            let bit = 1 << m;
            let (seen, runs) = self.machines[m as usize];
            // A report: the reply brings our token, or the report shows it. Reports go
            // on while we are isolated, and what is answered renews the lease.
            if seen <= lead.token && !lead.over && (seen, self.answered & bit) != (lead.token, bit)
            {
                out.push(self.with(|w| {
                    w.machines[m as usize].0 = lead.token;
                    w.answered |= bit;
                    let l = w.nodes[i].lead.as_mut().expect("it leads");
                    l.silent[m as usize] = 0;
                    l.newer |= if copied { bit } else { 0 };
                }));
            }
            // A copy shows what was so once; what is newer than it stands.
            if let Some((of, token, ran)) = self.copy
                && of == m
                && token == lead.token
                && (lead.newer & bit == 0 || planted == Planted::CopiesCount)
            {
                out.push(set(&|l| l.shown(m, ran)));
            }
            // Nobody else may have answered it for a lease, and we have not: it has
            // lapsed (rule 3), whatever it held.
            if lead.silent[m as usize] == 2 {
                out.push(set(&|l| {
                    l.limbo &= !bit;
                    l.fenced &= !bit;
                    if l.at.is_some_and(|(at, _)| at == m) {
                        l.at = None;
                    }
                }));
            }
            let shows = seen == lead.token || planted == Planted::AnyReportCounts;
            let on_its_way =
                (self.flight.iter()).any(|(to, token, _)| (*to, *token) == (m, lead.token));
            if shows && seen <= lead.token && !on_its_way {
                out.push(set(&|l| {
                    l.newer |= if copied { bit } else { 0 };
                    l.shown(m, runs);
                }));
            }
            if lead.at.is_none() && lead.limbo == 0 && lead.fenced & bit != 0 {
                out.push(set(&|l| l.at = Some((m, false))));
            }
        }
        if let Some((m, told)) = lead.at {
            if ours && lead.recorded & (1 << m) == 0 {
                let record = (1 << m) | lead.limbo;
                out.push(self.with(|w| {
                    w.record = record;
                    if let Some(Late::Progress { valid, .. }) = &mut w.late {
                        *valid = false;
                    }
                    let l = w.nodes[i].lead.as_mut().expect("it leads");
                    l.recorded = w.record;
                }));
                if self.late_writes > 0 && self.late.is_none() {
                    out.push(self.with(|w| {
                        w.late_writes -= 1;
                        w.late = Some(Late::Progress {
                            token: lead.token,
                            record,
                            valid: true,
                        });
                        let l = w.nodes[i].lead.as_mut().expect("it leads");
                        if planted != Planted::ReliesOnDropped {
                            l.recorded &= record;
                        }
                    }));
                }
            }
            // What was not told yet may be placed elsewhere after all.
            if !told && self.late.is_some() {
                out.push(set(&|l| l.at = None));
            }
            let may = lead.recorded & (1 << m) != 0
                || lead.opening == Opening::Open
                || planted == Planted::LaunchBeforeRecord;
            if !told && may && self.flight.len() < 2 && !lead.over {
                out.push(self.with(|w| {
                    w.flight.push((m, lead.token, false));
                    w.flight.sort_unstable();
                    let l = w.nodes[i].lead.as_mut().expect("it leads");
                    l.silent[m as usize] = 0;
                    l.newer |= if copied { 1 << m } else { 0 };
                    l.at = Some((m, true));
                }));
            }
        }
        let settled = lead.limbo == 0 && (named || planted == Planted::SettledWhenSeen);
        if lead.unsettled && ours && settled && self.late_writes > 0 && self.late.is_none() {
            out.push(self.with(|w| {
                w.late_writes -= 1;
                w.late = Some(Late::Settled { token: lead.token });
            }));
        }
        if lead.unsettled && ours && settled {
            out.push(self.with(|w| {
                w.unsettled = false;
                let l = w.nodes[i].lead.as_mut().expect("it leads");
                l.unsettled = false;
            }));
        }
    }
}

fn swapped(bits: u8) -> u8 {
    (bits & 1) << 1 | bits >> 1
}

/// Machines are all alike, and so are nodes: of worlds that differ in their names alone
/// one is gone on with.
impl World {
    fn canonical(mut self) -> World {
        let mut order: [usize; NODES] = std::array::from_fn(|i| i);
        let rank = |i: &usize| {
            let node = &self.nodes[*i];
            let lead = node.lead.map(|l| l.token);
            (lead, node.newest, node.memory.sight, node.first)
        };
        order.sort_by_key(rank);
        if !order.is_sorted() {
            self.rename_nodes(order);
        }
        if self.side(1) < self.side(0) {
            self.swap_machines();
        }
        self
    }

    fn rename_nodes(&mut self, order: [usize; NODES]) {
        let mut names = [0; NODES];
        for (name, old) in order.iter().enumerate() {
            names[*old] = name as u8;
        }
        let renamed = |name: &mut u8| *name = names[usize::from(*name)];
        self.nodes = order.map(|i| std::mem::take(&mut self.nodes[i]));
        for node in &mut self.nodes {
            if let Some(lead) = &mut node.lead
                && let Opening::Asking(answered) = &mut lead.opening
            {
                let old = *answered;
                let bits = (0..NODES).filter(|i| old & (1 << i) != 0);
                *answered = bits.map(|i| 1 << names[i]).sum();
            }
        }
        let elected = self.key as usize;
        self.holders[1..=elected].iter_mut().for_each(renamed);
        self.rounds.iter_mut().for_each(|r| renamed(&mut r.peer));
        self.rounds.sort_unstable();
        if let Some(word) = &mut self.word {
            renamed(&mut word.to);
        }
        if let Some(Late::Election { by, .. }) = &mut self.late {
            renamed(by);
        }
    }

    /// What tells one machine from the other.
    fn side(&self, m: u8) -> (u8, bool, bool, bool, u64, usize) {
        let bit = 1 << m;
        let has = |bits: u8| u64::from(bits & bit != 0);
        let leads = self.nodes.iter().filter_map(|n| n.lead);
        let leads = leads.fold(0u64, |all, l| {
            let at = match l.at {
                Some((at, told)) if at == m => 1 + u64::from(told),
                _ => 0,
            };
            let bits = has(l.limbo) | has(l.fenced) << 1 | has(l.recorded) << 2;
            let silent = u64::from(l.silent[m as usize]);
            all << 8 | bits | has(l.newer) << 3 | at << 4 | silent << 6
        });
        let (token, runs) = self.machines[m as usize];
        let flights = self.flight.iter().filter(|f| f.0 == m).count();
        let answered = self.answered & bit != 0;
        (
            token,
            runs,
            self.record & bit != 0,
            answered,
            leads,
            flights,
        )
    }

    fn swap_machines(&mut self) {
        self.machines.swap(0, 1);
        self.answered = swapped(self.answered);
        self.record = swapped(self.record);
        self.flight.iter_mut().for_each(|f| f.0 = 1 - f.0);
        self.flight.sort_unstable();
        if let Some(copy) = &mut self.copy {
            copy.0 = 1 - copy.0;
        }
        if let Some(Late::Progress { record, .. }) = &mut self.late {
            *record = swapped(*record);
        }
        for lead in self.nodes.iter_mut().filter_map(|n| n.lead.as_mut()) {
            for bits in [
                &mut lead.limbo,
                &mut lead.fenced,
                &mut lead.recorded,
                &mut lead.newer,
            ] {
                *bits = swapped(*bits);
            }
            lead.silent.swap(0, 1);
            if let Some((at, _)) = &mut lead.at {
                *at = 1 - *at;
            }
        }
    }
}

/// Worlds seen, and whether the task was ever started twice. A world that was seen is
/// remembered by its hash alone.
fn search(planted: Planted, first: World, most: usize) -> (usize, bool) {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        for next in world.next(planted) {
            let Ok(next) = next else {
                return (seen.len(), true);
            };
            let next = next.canonical();
            if seen.len() < most && seen.insert(hasher.hash_one(&next)) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), false)
}

fn start(bounds: Bounds) -> World {
    if bounds.unsettled {
        World::unsettled(bounds)
    } else {
        World::first(bounds)
    }
}

/// So many elections and ends of processes.
fn few(elections: u8, ends: u8) -> Bounds {
    Bounds {
        elections,
        ends,
        ..NONE
    }
}

#[test]
fn no_order_of_steps_starts_the_task_twice() {
    // Guards against reasons why a successor may start that hold one by one and
    // not together. Searches without a bound are complete.
    let all = usize::MAX;
    let silence = |bounds| Bounds {
        leases: 3,
        copies: 1,
        ..bounds
    };
    let searches = [
        (few(1, 0), all, 70_000),
        (few(1, 1), 800_000, 800_000),
        (few(2, 1), 300_000, 300_000),
        // Isolated holders, silence and copies, and a process that is back at once.
        (silence(few(1, 0)), 200_000, 200_000),
        (silence(few(2, 1)), 200_000, 200_000),
        // Answers to greetings and questions that are held up.
        (
            Bounds {
                words: 1,
                ..few(1, 1)
            },
            300_000,
            300_000,
        ),
        (
            Bounds {
                strays: true,
                ..few(1, 0)
            },
            300_000,
            200_000,
        ),
        (
            Bounds {
                unsettled: true,
                ..few(1, 1)
            },
            300_000,
            20_000,
        ),
        (
            Bounds {
                unsettled: true,
                late_writes: 1,
                ..few(1, 1)
            },
            300_000,
            300_000,
        ),
        // Writes without an answer.
        (
            Bounds {
                late_elections: 1,
                ..few(1, 0)
            },
            all,
            600_000,
        ),
        (
            Bounds {
                late_elections: 1,
                ..few(1, 1)
            },
            300_000,
            300_000,
        ),
        (
            Bounds {
                late_writes: 1,
                ..few(1, 0)
            },
            all,
            600_000,
        ),
        (
            Bounds {
                late_writes: 1,
                words: 1,
                ..few(2, 1)
            },
            300_000,
            300_000,
        ),
    ];
    std::thread::scope(|scope| {
        for (bounds, most, least) in searches {
            scope.spawn(move || {
                let begun = std::time::Instant::now();
                let (seen, twice) = search(Planted::Nothing, start(bounds), most);
                println!("{bounds:?}: {seen} worlds in {:.1?}", begun.elapsed());
                assert!(!twice, "{bounds:?}: after {seen} worlds");
                assert!(seen >= least, "{bounds:?}: {seen} worlds only");
            });
        }
    });
}

#[test]
fn each_planted_mistake_is_found() {
    // Guards against a search that can't fail. Each with no more elections and
    // ends of processes than it takes.
    let late_write = Bounds {
        late_writes: 1,
        ..few(1, 0)
    };
    let planted = [
        (Planted::ForgetsAgreement, few(1, 0)),
        (Planted::TrustsWithoutMemory, few(1, 1)),
        (Planted::AsksAllButOne, few(1, 0)),
        (Planted::AgreesWithTheOld, few(1, 0)),
        (
            Planted::SettledWhenSeen,
            Bounds {
                unsettled: true,
                ..few(1, 0)
            },
        ),
        (Planted::NoNoteOfIt, few(2, 0)),
        (Planted::AnyReportCounts, few(1, 0)),
        (Planted::LaunchBeforeRecord, few(1, 0)),
        (Planted::RecordedWhenShut, few(1, 0)),
        (Planted::PeersWordIsFirst, few(1, 1)),
        (
            Planted::AnswersAfterItsTime,
            Bounds {
                leases: 2,
                ..few(1, 0)
            },
        ),
        (
            Planted::LapsesByOwnAnswers,
            Bounds {
                leases: 2,
                ..few(1, 0)
            },
        ),
        (Planted::CopiesCount, Bounds { copies: 1, ..NONE }),
        (Planted::PeersWordCounts, few(1, 0)),
        (Planted::PeersWordOfTheLiving, few(1, 1)),
        (Planted::AgreesUnread, few(1, 1)),
        (
            Planted::OldWordCounts,
            Bounds {
                words: 1,
                ..few(1, 0)
            },
        ),
        (Planted::AskingIsShut, few(1, 0)),
        (Planted::OldAgreementCounts, few(1, 0)),
        (Planted::OldAliveCounts, late_write),
        (Planted::ReliesOnDropped, late_write),
        (Planted::ProgressAnyVersion, late_write),
        (
            Planted::OwnTimeCounts,
            Bounds {
                late_elections: 1,
                ..few(1, 0)
            },
        ),
    ];
    std::thread::scope(|scope| {
        for (planted, bounds) in planted {
            scope.spawn(move || {
                let begun = std::time::Instant::now();
                let (seen, twice) = search(planted, start(bounds), 2_000_000);
                println!("{planted:?}: {seen} worlds in {:.1?}", begun.elapsed());
                assert!(twice, "{planted:?} is not found in {seen} worlds");
            });
        }
    });
}
