//! A search of all states of three controllers, two machines, one task and the
//! state service, to a bound: in whatever order they elect, write, launch, ask,
//! agree, end, come back, hear, answer while isolated, are silent for a lease, or take
//! a copy of an old report, the task is never started on one machine while it runs on
//! the other. Each planted mistake is found.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

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
    PeersWordIsFirst,
    /// An isolated holder goes on answering workers after its time to keep.
    AnswersAfterItsTime,
    /// A machine's lease is reckoned from its last answer by us, though a holder before
    /// us may have answered it since.
    LapsesByOwnAnswers,
    /// A copy of an old report counts like a new one.
    CopiesCount,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Memory {
    #[default]
    None,
    Recorded(u8),
    Open(u8),
}

impl Memory {
    fn token(self) -> u8 {
        match self {
            Memory::None => 0,
            Memory::Recorded(token) | Memory::Open(token) => token,
        }
    }

    /// Told by the holder, or by a peer that it would need.
    fn told(&mut self, token: u8, open: bool) {
        if token >= self.token() && !open {
            *self = Memory::Recorded(token);
        }
    }

    /// It held this token itself.
    fn held(&mut self, token: u8, open: bool) {
        *self = if open {
            Memory::Open(token)
        } else {
            Memory::Recorded(token)
        };
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Opening {
    Shut,
    Open,
    Closing,
}

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
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
    fn first(elections: u8, ends: u8, leases: u8, copies: u8) -> World {
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
        let follower = Node {
            newest: 1,
            memory: Memory::Recorded(1),
            first: 1,
            lead: None,
        };
        let leader = Node {
            newest: 1,
            memory: Memory::None,
            first: 1,
            lead: Some(lead),
        };
        World {
            state_up: true,
            key: 1,
            record: 0,
            unsettled: false,
            nodes: [leader, follower, follower],
            machines: [(1, false); MACHINES as usize],
            answered: ALL,
            leases,
            kept_out: true,
            flight: Vec::new(),
            copy: None,
            copies,
            elections,
            ends,
            outages: 1,
        }
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
            out.push(self.with(|w| w.state_up = true));
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
            }
        }
        out
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
        let node = self.nodes[i];
        if self.ends > 0 && node != Node::default() {
            out.push(self.with(|w| {
                w.nodes[i] = Node::default();
                w.ends -= 1;
            }));
        }
        if self.state_up && (self.key > node.newest || node.first == 0) {
            out.push(self.with(|w| {
                w.nodes[i].newest = w.key;
                if node.first == 0 {
                    w.nodes[i].first = w.key;
                }
            }));
        }
        if node.lead.is_some() {
            return;
        }
        for j in (0..NODES).filter(|j| *j != i) {
            let other = self.nodes[j];
            if let Some(lead) = other.lead.filter(|l| l.token >= node.newest) {
                out.push(self.with(|w| {
                    w.nodes[i].newest = lead.token;
                    if node.first == 0 && planted == Planted::PeersWordIsFirst {
                        w.nodes[i].first = lead.token - 1;
                    }
                    let open = lead.opening != Opening::Shut;
                    w.nodes[i].memory.told(lead.token, open);
                }));
            } else if let Memory::Recorded(token) = other.memory
                && other.lead.is_none()
            {
                out.push(self.with(|w| w.nodes[i].memory.told(token, false)));
            }
        }
        if self.state_up && self.elections > 0 {
            let since = node.first > 0 && node.first < self.key;
            let trusted = match node.memory {
                memory if memory.token() != self.key && since => true,
                Memory::Recorded(token) => token == self.key,
                Memory::None => planted == Planted::TrustsWithoutMemory,
                Memory::Open(_) => planted == Planted::ForgetsAgreement,
            };
            let open = self.unsettled || (self.key > 0 && !trusted);
            out.push(self.with(|w| {
                w.elections -= 1;
                w.key += 1;
                w.kept_out = false;
                w.unsettled = open && planted != Planted::NoNoteOfIt;
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
                w.nodes[i].memory.held(lead.token, open);
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
                out.push(self.with(|w| {
                    w.record = (1 << m) | lead.limbo;
                    let l = w.nodes[i].lead.as_mut().expect("it leads");
                    l.recorded = w.record;
                }));
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
        match lead.opening {
            Opening::Shut if !self.state_up => {
                let peers = (0..NODES).filter(|j| *j != i);
                let asked: Vec<usize> = match planted {
                    Planted::AsksAllButOne => peers.take(1).collect(),
                    _ => peers.collect(),
                };
                let agrees = |j: &usize| {
                    let node = self.nodes[*j];
                    let current = node.newest == lead.token && node.lead.is_none();
                    current || planted == Planted::AgreesWithTheOld
                };
                if asked.iter().all(agrees) {
                    out.push(self.with(|w| {
                        for j in asked {
                            w.nodes[j].memory = Memory::Open(lead.token);
                        }
                        let l = w.nodes[i].lead.as_mut().expect("it leads");
                        l.opening = Opening::Open;
                    }));
                }
            }
            Opening::Open => out.push(set(&|l| l.opening = Opening::Closing)),
            Opening::Closing if named || planted == Planted::RecordedWhenShut => {
                out.push(set(&|l| l.opening = Opening::Shut));
            }
            _ => {}
        }
        let settled = lead.limbo == 0 && (named || planted == Planted::SettledWhenSeen);
        if lead.unsettled && ours && settled {
            out.push(self.with(|w| {
                w.unsettled = false;
                let l = w.nodes[i].lead.as_mut().expect("it leads");
                l.unsettled = false;
            }));
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
            if seen.len() < most && seen.insert(hasher.hash_one(&next)) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), false)
}

#[test]
fn no_order_of_steps_starts_the_task_twice() {
    // Guards against reasons why a successor may start that hold one by one and
    // not together. The first search is complete, the second to a bound.
    let searches = [
        (1, 0, 0, 0, usize::MAX, 10_000),
        (2, 1, 0, 0, 300_000, 300_000),
        // Isolated holders, silence and copies, and a process that is back at once.
        (1, 0, 3, 1, 200_000, 200_000),
        (2, 1, 3, 1, 200_000, 200_000),
    ];
    std::thread::scope(|scope| {
        for (elections, ends, leases, copies, most, least) in searches {
            scope.spawn(move || {
                let first = World::first(elections, ends, leases, copies);
                let (seen, twice) = search(Planted::Nothing, first, most);
                assert!(!twice, "after {seen} worlds");
                assert!(seen >= least, "{seen} worlds only");
            });
        }
    });
}

#[test]
fn each_planted_mistake_is_found() {
    // Guards against a search that can't fail. Each with no more elections and
    // ends of processes than it takes.
    let planted = [
        (Planted::ForgetsAgreement, 1, 0, 0, 0),
        (Planted::TrustsWithoutMemory, 1, 1, 0, 0),
        (Planted::AsksAllButOne, 1, 0, 0, 0),
        (Planted::AgreesWithTheOld, 1, 0, 0, 0),
        (Planted::SettledWhenSeen, 2, 0, 0, 0),
        (Planted::NoNoteOfIt, 2, 0, 0, 0),
        (Planted::AnyReportCounts, 1, 0, 0, 0),
        (Planted::LaunchBeforeRecord, 1, 0, 0, 0),
        (Planted::RecordedWhenShut, 1, 0, 0, 0),
        (Planted::PeersWordIsFirst, 1, 1, 0, 0),
        (Planted::AnswersAfterItsTime, 1, 0, 2, 0),
        (Planted::LapsesByOwnAnswers, 1, 0, 2, 0),
        (Planted::CopiesCount, 0, 0, 0, 1),
    ];
    std::thread::scope(|scope| {
        for (planted, elections, ends, leases, copies) in planted {
            scope.spawn(move || {
                let first = World::first(elections, ends, leases, copies);
                let (seen, twice) = search(planted, first, 2_000_000);
                println!("{planted:?}: {seen} worlds");
                assert!(twice, "{planted:?} is not found in {seen} worlds");
            });
        }
    });
}
