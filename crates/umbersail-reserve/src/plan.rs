//! Brings the records of reservations up to what is: admits, names requests, counts what
//! is there, works around refusals and gives back.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::MachineType;

use crate::admit::{Before, admit, offers, serves};
use crate::{Batch, Boots, Entry, Item, Reservations, ReserveRecord, Terms, Verdict, Window};

/// Constants in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Entries changed or taken out of the file are heeded this many seconds after an
    /// election: in a roll two files are about.
    pub withdraw_s: f64,
    /// Added to the lead for requests, records and refusals, in seconds.
    pub margin_s: f64,
    /// Longest lead, in seconds.
    pub lead_most_s: f64,
    /// Share of boots that the lead reckons with.
    pub boot_share: f64,
    /// A machine is given up after this many times its nominal boot time and so many
    /// seconds more.
    pub boot_patience: f64,
    pub boot_patience_s: f64,
    /// Machines of one request at most, and requests of one entry under way at most.
    pub request_machines: u32,
    pub requests_most: usize,
    pub machines_most: u32,
    /// See [`crate::lends`], in seconds.
    pub floor_s: f64,
    pub guarantee_wait_s: f64,
}

/// How a machine stands, as far as a reservation is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// On its way.
    Coming,
    Up,
    /// Silent, deaf, faulty, or to be taken: counts as not there.
    Out,
    /// Has work of others that does not give it back: counts as not there.
    Lent,
}

/// A machine that is held, or that could be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldMachine<'a> {
    pub type_index: usize,
    pub zone: &'a str,
    pub spot: bool,
    pub standing: Standing,
    /// It has no task.
    pub idle: bool,
}

/// What there is.
pub struct View<'a> {
    /// Unix time.
    pub now_ms: u64,
    /// Seconds since our election.
    pub elected_s: f64,
    pub types: &'a [MachineType],
    pub teams: &'a [TeamLimits],
    /// Machines that records name, those that are gone left out.
    pub machines: &'a BTreeMap<&'a str, HeldMachine<'a>>,
    /// Machines that nobody holds and that have been idle for a while.
    pub free: &'a BTreeMap<&'a str, HeldMachine<'a>>,
    /// Whether the cloud has just refused a type, zone and kind.
    pub refused: &'a dyn Fn(usize, &str, bool) -> bool,
    /// The largest task seen of an entry's classes.
    pub largest: &'a BTreeMap<String, Shape>,
    pub boots: &'a Boots,
    pub rules: &'a Rules,
}

/// What operators are told.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    pub entry: String,
    pub what: What,
}

#[derive(Debug, Clone, PartialEq)]
pub enum What {
    Admitted(Verdict),
    Changed(Verdict),
    Withdrawn { machines: usize },
    Opened { there: u32, promised: u32 },
    Short(String),
    Complete,
    Took { machine: String, from: String },
    Over { machines: usize },
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = |v: &Verdict| match v {
            Verdict::Promised => "promised".to_owned(),
            Verdict::Part(reason) => format!("promised in part: {reason}"),
            Verdict::Refused(reason) => format!("refused: {reason}"),
        };
        match self {
            What::Admitted(v) => f.write_str(&verdict(v)),
            What::Changed(v) => write!(f, "changed, {}", verdict(v)),
            What::Withdrawn { machines } => write!(f, "withdrawn, gives up {machines} machines"),
            What::Opened { there, promised } => {
                write!(f, "opens with {there} of {promised} machines")
            }
            What::Short(reason) => write!(f, "less than promised: {reason}"),
            What::Complete => f.write_str("all that was promised is there or on its way"),
            What::Took { machine, from } => {
                write!(f, "takes {machine} from '{from}', admitted later")
            }
            What::Over { machines } => write!(f, "over, gives up {machines} machines"),
        }
    }
}

/// Type, zone, and whether spot.
type Kind<'v> = (usize, &'v str, bool);
/// Of another type than asked for, price for what it stands for, and how many there are.
type Cost = (bool, f64, u32);

/// Doublings of the lead at most.
const EARLIER_MOST: u32 = 3;
/// A deficit below this is rounding.
const ROUNDING: f64 = 1e-6;

/// Seconds before a window at which renting begins: a boot with its tail, the time after
/// which one that does not come up is given up, and a boot of what stands in for it.
pub fn lead_s(record: &ReserveRecord, view: &View<'_>) -> f64 {
    let rules = view.rules;
    let lead = record.items.iter().filter_map(|item| {
        let t = view.types.iter().find(|t| t.name == item.machine_type)?;
        let boot_s = view.boots.quantile_s(&t.name, t.boot_s, rules.boot_share);
        Some(2.0 * boot_s + rules.boot_patience * t.boot_s + rules.boot_patience_s)
    });
    let lead = lead.fold(0.0, f64::max) + rules.margin_s;
    (lead * f64::from(1 << record.earlier.min(EARLIER_MOST))).min(rules.lead_most_s)
}

/// One round. `new_request` gives a name that no request ever had.
///
/// Afterwards the machines that the records name are the ones held, and requests
/// without an answer ([`ReserveRecord::unanswered`]) are to be sent once their record
/// stands, and again until they are answered.
pub fn plan(
    reservations: &Reservations,
    records: &mut BTreeMap<String, ReserveRecord>,
    view: &View<'_>,
    new_request: &mut dyn FnMut() -> String,
) -> Vec<Notice> {
    let mut notices = Vec::new();
    renew(reservations, records, view, &mut notices);
    judge(records, view, &mut notices);
    let mut order: Vec<String> = records.keys().cloned().collect();
    order.sort_by(|a, b| records[a].rank(a).cmp(&records[b].rank(b)));
    let mut free: BTreeSet<&str> = view.free.keys().copied().collect();
    for (at, name) in order.iter().enumerate() {
        let Some(mut record) = records.remove(name) else {
            continue;
        };
        if is_due(&record, view) {
            let mut tend = Tend {
                name,
                record: &mut record,
                view,
                notices: &mut notices,
            };
            tend.tend(records, &order[at + 1..], &mut free, new_request);
        }
        records.insert(name.clone(), record);
    }
    notices
}

/// Renting has begun, or shall.
fn is_due(record: &ReserveRecord, view: &View<'_>) -> bool {
    let begins_ms = (lead_s(record, view) * 1000.0) as u64;
    !record.items.is_empty()
        && (!record.batches.is_empty() || view.now_ms + begins_ms >= record.window.from_ms)
}

/// Records of windows that are over, of entries that changed or are gone, and of those
/// that have none.
fn renew(
    reservations: &Reservations,
    records: &mut BTreeMap<String, ReserveRecord>,
    view: &View<'_>,
    notices: &mut Vec<Notice>,
) {
    let settled = view.elected_s >= view.rules.withdraw_s;
    let mut earlier: BTreeMap<String, u32> = BTreeMap::new();
    records.retain(|name, record| {
        let mut note = |what| {
            notices.push(Notice {
                entry: name.clone(),
                what,
            });
        };
        let machines = record.machines().count();
        if record.window.is_over(view.now_ms) {
            note(What::Over { machines });
            earlier.insert(name.clone(), record.earlier);
            return false;
        }
        if !settled {
            return true;
        }
        let wanted = reservations
            .get(name)
            .and_then(|entry| Some((entry, entry.window_at(view.now_ms)?)));
        match wanted {
            None => {
                note(What::Withdrawn { machines });
                false
            }
            Some((entry, window)) => {
                if record.terms != entry.terms || record.window != window {
                    change(record, entry, window, view);
                }
                true
            }
        }
    });
    for entry in reservations.iter() {
        if records.contains_key(&entry.name) {
            continue;
        }
        let Some(window) = entry.window_at(view.now_ms) else {
            continue;
        };
        records.insert(
            entry.name.clone(),
            ReserveRecord {
                terms: entry.terms.clone(),
                window,
                admitted_ms: view.now_ms,
                verdict: Verdict::Refused(NEW.to_owned()),
                items: Vec::new(),
                batches: Vec::new(),
                short: None,
                earlier: earlier.get(&entry.name).copied().unwrap_or(0),
                opened: false,
            },
        );
    }
}

/// The entry says otherwise now. One that only became shorter keeps its place among
/// others; what is held stays where the new window wants it.
fn change(record: &mut ReserveRecord, entry: &Entry, window: Window, view: &View<'_>) {
    let shorter = record.terms == entry.terms
        && window.from_ms >= record.window.from_ms
        && window.to_ms <= record.window.to_ms;
    if !shorter {
        record.admitted_ms = view.now_ms;
    }
    record.terms = entry.terms.clone();
    record.window = window;
    record.opened &= window.has_begun(view.now_ms);
    record.verdict = Verdict::Refused(CHANGED.to_owned());
    let begins_ms = (lead_s(record, view) * 1000.0) as u64;
    record.items.clear();
    if view.now_ms + begins_ms < window.from_ms {
        record.batches.clear();
    }
}

/// Verdicts that stand only until the same round has judged.
const NEW: &str = "not yet looked at";
const CHANGED: &str = "changed, not yet looked at";

/// Verdicts on what is new or changed, and on what was promised in part or not at all:
/// it may have more by now. What was promised stays promised.
fn judge(
    records: &mut BTreeMap<String, ReserveRecord>,
    view: &View<'_>,
    notices: &mut Vec<Notice>,
) {
    let mut order: Vec<String> = records.keys().cloned().collect();
    order.sort_by(|a, b| records[a].rank(a).cmp(&records[b].rank(b)));
    for (at, name) in order.iter().enumerate() {
        let record = &records[name];
        if record.verdict == Verdict::Promised {
            continue;
        }
        let before: Vec<Before<'_>> = order[..at]
            .iter()
            .map(|name| (name, &records[name]))
            .filter(|(_, other)| {
                other.terms.team == record.terms.team && other.window.overlaps(&record.window)
            })
            .map(|(name, other)| Before {
                name,
                items: &other.items,
            })
            .collect();
        let (verdict, items) = admit(name, &record.terms, &before, view);
        let count = |items: &[Item]| items.iter().map(|i| i.count).sum::<u32>();
        let unseen = matches!(&record.verdict, Verdict::Refused(r) if r == NEW || r == CHANGED);
        let changed = matches!(&record.verdict, Verdict::Refused(r) if r == CHANGED);
        if verdict == record.verdict || (!unseen && count(&items) < count(&record.items)) {
            continue;
        }
        notices.push(Notice {
            entry: name.clone(),
            what: match changed {
                true => What::Changed(verdict.clone()),
                false => What::Admitted(verdict.clone()),
            },
        });
        if let Some(record) = records.get_mut(name) {
            record.verdict = verdict;
            record.items = items;
        }
    }
}

/// How many of an item's machines one of this type stands for.
fn worth(name: &str, item: &Item, t: &MachineType, view: &View<'_>) -> f64 {
    if t.name == item.machine_type {
        return 1.0;
    }
    let Some(asked) = view.types.iter().find(|t| t.name == item.machine_type) else {
        return 0.0;
    };
    if item.exact {
        let fits = Shape::of_type(asked).fits_in(&Shape::of_type(t));
        return if fits { 1.0 } else { 0.0 };
    }
    if !serves(name, t, view) || asked.cpus <= 0.0 || asked.memory_gb <= 0.0 {
        return 0.0;
    }
    (t.cpus / asked.cpus).min(t.memory_gb / asked.memory_gb)
}

/// One record that is due, under work.
struct Tend<'a, 'v> {
    name: &'a str,
    record: &'a mut ReserveRecord,
    view: &'a View<'v>,
    notices: &'a mut Vec<Notice>,
}

impl<'v> Tend<'_, 'v> {
    fn note(&mut self, what: What) {
        self.notices.push(Notice {
            entry: self.name.to_owned(),
            what,
        });
    }

    fn tend(
        &mut self,
        others: &mut BTreeMap<String, ReserveRecord>,
        later: &[String],
        free: &mut BTreeSet<&str>,
        new_request: &mut dyn FnMut() -> String,
    ) {
        let view = self.view;
        self.record
            .drop_machines(|m| !view.machines.contains_key(m));
        let (mut missing, spare) = self.missing();
        self.record.drop_machines(|m| spare.contains(m));
        if !self.record.opened && self.record.window.has_begun(view.now_ms) {
            self.open();
        }
        self.adopt(&mut missing, free);
        let mut reason = self.buy(&mut missing, new_request);
        if reason.is_some() {
            self.take(&mut missing, others, later);
            reason.take_if(|_| is_none(&missing));
        }
        if reason != self.record.short {
            self.record.short = reason.clone();
            self.note(reason.map_or(What::Complete, What::Short));
        }
    }

    /// What of each item is neither there nor on its way, in machines of its type; and
    /// idle machines beyond what was promised.
    fn missing(&self) -> (Vec<f64>, BTreeSet<String>) {
        let view = self.view;
        let items = &self.record.items;
        let mut missing: Vec<f64> = items.iter().map(|i| f64::from(i.count)).collect();
        let mut cover = |t: &MachineType, count: f64| {
            let mut left = count;
            // Its own item first, then whatever it can stand for.
            for own in [true, false] {
                for (item, missing) in items.iter().zip(&mut missing) {
                    let worth = worth(self.name, item, t, view);
                    if (item.machine_type == t.name) != own || worth <= 0.0 {
                        continue;
                    }
                    let used = left.min((*missing / worth - ROUNDING).ceil().max(0.0));
                    *missing -= used * worth;
                    left -= used;
                }
            }
            left
        };
        let mut there: Vec<(&str, &HeldMachine<'_>)> = self
            .record
            .machines()
            .filter_map(|name| view.machines.get_key_value(name))
            .map(|(name, m)| (*name, m))
            .filter(|(_, m)| matches!(m.standing, Standing::Coming | Standing::Up))
            .collect();
        // What is in use stays; of the rest what is up.
        there.sort_by_key(|(name, m)| (m.idle, m.standing == Standing::Coming, *name));
        let mut spare = BTreeSet::new();
        for (name, machine) in there {
            let Some(t) = view.types.get(machine.type_index) else {
                continue;
            };
            if cover(t, 1.0) > 0.0 && (machine.idle || machine.standing == Standing::Coming) {
                spare.insert(name.to_owned());
            }
        }
        for batch in self.record.unanswered() {
            if let Some(t) = view.types.iter().find(|t| t.name == batch.machine_type) {
                cover(t, f64::from(batch.count));
            }
        }
        (missing, spare)
    }

    fn open(&mut self) {
        let view = self.view;
        self.record.opened = true;
        let up = |m: &str| {
            let found = view.machines.get(m);
            found.is_some_and(|m| m.standing == Standing::Up)
        };
        let there = self.record.machines().filter(|m| up(m)).count() as u32;
        let promised = self.record.items.iter().map(|i| i.count).sum();
        // The next window of this entry gains by it.
        let earlier = self.record.earlier;
        self.record.earlier = match self.record.short {
            Some(_) => (earlier + 1).min(EARLIER_MOST),
            None => earlier.saturating_sub(1),
        };
        self.note(What::Opened { there, promised });
    }

    /// Whether the entry's terms allow such a machine.
    fn allows(terms: &Terms, zone: &str, spot: bool) -> bool {
        terms.zone.as_ref().is_none_or(|z| z == zone) && (terms.spot || !spot)
    }

    fn hold(&mut self, name: &str, machine: &HeldMachine<'_>) {
        let machine_type = self.view.types[machine.type_index].name.clone();
        let batch = self.record.batches.iter_mut().find(|b| {
            b.request.is_none()
                && b.machine_type == machine_type
                && b.zone == machine.zone
                && b.spot == machine.spot
        });
        match batch {
            Some(batch) => {
                batch.count += 1;
                batch.machines.get_or_insert_default().push(name.to_owned());
            }
            None => self.record.batches.push(Batch {
                request: None,
                machine_type,
                zone: machine.zone.to_owned(),
                spot: machine.spot,
                count: 1,
                machines: Some(vec![name.to_owned()]),
            }),
        }
    }

    /// The missing item that such a machine is to stand for, and how much of it.
    fn use_for(&self, missing: &[f64], machine: &HeldMachine<'_>) -> Option<(usize, f64)> {
        let t = self.view.types.get(machine.type_index)?;
        if !Self::allows(&self.record.terms, machine.zone, machine.spot) {
            return None;
        }
        let items = self.record.items.iter().enumerate();
        items
            .filter(|(index, _)| missing[*index] > ROUNDING)
            .map(|(index, item)| (index, worth(self.name, item, t, self.view)))
            .find(|(_, worth)| *worth > 0.0)
    }

    /// Holds idle machines of which nobody has need.
    fn adopt(&mut self, missing: &mut [f64], free: &mut BTreeSet<&str>) {
        let view = self.view;
        let mut taken = Vec::new();
        for name in free.iter() {
            if is_none(missing) {
                break;
            }
            let machine = &view.free[name];
            if let Some((index, worth)) = self.use_for(missing, machine) {
                missing[index] -= worth;
                self.hold(name, machine);
                taken.push(*name);
            }
        }
        for name in taken {
            free.remove(name);
        }
    }

    /// Names requests for what is missing: the asked type first, then others that stand
    /// for it, spread over zones. Why something is left that nothing can be asked for.
    fn buy(
        &mut self,
        missing: &mut [f64],
        new_request: &mut dyn FnMut() -> String,
    ) -> Option<String> {
        let view = self.view;
        let mut counts: BTreeMap<Kind<'_>, u32> = BTreeMap::new();
        let mut reason = None;
        for (index, item) in self.record.items.iter().enumerate() {
            while missing[index] > ROUNDING {
                let Some((kind, worth)) = self.best(item, &counts) else {
                    reason = Some(format!(
                        "the cloud refuses {} and what could stand for it",
                        item.machine_type
                    ));
                    break;
                };
                *counts.entry(kind).or_default() += 1;
                missing[index] -= worth;
            }
        }
        for ((type_index, zone, spot), mut count) in counts {
            while count > 0 && self.record.unanswered().count() < view.rules.requests_most {
                let number = count.min(view.rules.request_machines.max(1));
                count -= number;
                self.record.batches.push(Batch {
                    request: Some(new_request()),
                    machine_type: view.types[type_index].name.clone(),
                    zone: zone.to_owned(),
                    spot,
                    count: number,
                    machines: None,
                });
            }
        }
        reason
    }

    /// The type, zone and kind to ask for, and what one of it is worth.
    fn best(&self, item: &Item, counts: &BTreeMap<Kind<'v>, u32>) -> Option<(Kind<'v>, f64)> {
        let view = self.view;
        let terms = &self.record.terms;
        let mut best: Option<(Cost, Kind<'v>, f64)> = None;
        for (type_index, t) in view.types.iter().enumerate() {
            let worth = worth(self.name, item, t, view);
            if worth <= 0.0 || !offers(t, terms) {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    let price = match (spot, t.spot_price) {
                        (true, None) => continue,
                        (true, Some(price)) => price,
                        (false, _) => t.price,
                    };
                    if !Self::allows(terms, zone, spot) || (view.refused)(type_index, zone, spot) {
                        continue;
                    }
                    let held =
                        self.record.batches.iter().filter(|b| {
                            b.machine_type == t.name && b.zone == *zone && b.spot == spot
                        });
                    let held =
                        held.map(|b| b.machines.as_ref().map_or(b.count, |m| m.len() as u32));
                    let kind = (type_index, zone.as_str(), spot);
                    let already = held.sum::<u32>() + counts.get(&kind).copied().unwrap_or(0);
                    let other = item.exact && t.name != item.machine_type;
                    let cost = (other, price / worth, already);
                    let less = |than: &Cost| {
                        cost.0
                            .cmp(&than.0)
                            .then(cost.1.total_cmp(&than.1))
                            .then(cost.2.cmp(&than.2))
                            .is_lt()
                    };
                    if best.as_ref().is_none_or(|(than, _, _)| less(than)) {
                        best = Some((cost, kind, worth));
                    }
                }
            }
        }
        best.map(|(_, kind, worth)| (kind, worth))
    }

    /// Takes idle machines that are held for who was admitted later.
    fn take(
        &mut self,
        missing: &mut [f64],
        others: &mut BTreeMap<String, ReserveRecord>,
        later: &[String],
    ) {
        let view = self.view;
        for from in later.iter().rev() {
            let Some(other) = others.get_mut(from) else {
                continue;
            };
            let names: Vec<String> = other.machines().map(str::to_owned).collect();
            for name in names {
                let Some(machine) = view.machines.get(name.as_str()) else {
                    continue;
                };
                if !machine.idle || machine.standing != Standing::Up {
                    continue;
                }
                if let Some((index, worth)) = self.use_for(missing, machine) {
                    missing[index] -= worth;
                    other.drop_machines(|m| m == name);
                    self.hold(&name, machine);
                    self.note(What::Took {
                        machine: name,
                        from: from.clone(),
                    });
                }
            }
        }
    }
}

fn is_none(missing: &[f64]) -> bool {
    missing.iter().all(|m| *m <= ROUNDING)
}
