//! Brings the records of reservations up to what is: admits, names requests, counts what
//! is there, works around refusals and gives back.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::MachineType;

use crate::admit::{EarlierPromise, admit, is_offered, suits_resources};
use crate::{
    Admission, Batch, BootTimeStats, Entry, PromisedMachines, ReservationRecord, Reservations,
    Terms, Window,
};

/// Constants in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Entries changed or taken out of the file are heeded this many seconds after an
    /// election: in a roll two files are about.
    pub settings_delay_s: f64,
    /// Added to the lead for requests, records and refusals, in seconds.
    pub lead_margin_s: f64,
    /// Longest lead, in seconds.
    pub max_lead_s: f64,
    /// Share of boots that the lead reckons with.
    pub boot_quantile: f64,
    /// A machine is given up after this many times its nominal boot time and so many
    /// seconds more.
    pub boot_timeout_factor: f64,
    pub boot_timeout_margin_s: f64,
    /// Machines of one request at most, and requests of one entry under way at most.
    pub max_machines_per_request: u32,
    pub max_pending_requests: usize,
    pub max_machines: u32,
    /// See [`crate::may_borrow`], in seconds.
    pub borrow_after_s: f64,
    pub guarantee_wait_s: f64,
}

/// How a machine stands, as far as a reservation is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// On its way.
    Booting,
    Available,
    /// Silent, deaf, faulty, or to be taken: counts as not there.
    Unavailable,
    /// Has work of others that does not give it back: counts as not there.
    Borrowed,
}

/// A machine that is held, or that could be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservableMachine<'a> {
    pub type_index: usize,
    pub zone: &'a str,
    pub spot: bool,
    pub availability: Availability,
    /// It has no task.
    pub idle: bool,
}

/// What there is.
pub struct ClusterView<'a> {
    /// Unix time.
    pub now_ms: u64,
    /// Seconds since our election.
    pub leader_for_s: f64,
    pub types: &'a [MachineType],
    pub teams: &'a [TeamLimits],
    /// Machines that records name, those that are gone left out.
    pub machines: &'a BTreeMap<&'a str, ReservableMachine<'a>>,
    /// Machines that nobody holds and that have been idle for a while.
    pub idle_machines: &'a BTreeMap<&'a str, ReservableMachine<'a>>,
    /// Whether the cloud has just refused a type, zone and kind.
    pub is_refused: &'a dyn Fn(usize, &str, bool) -> bool,
    /// The largest task seen of an entry's classes.
    pub largest_tasks: &'a BTreeMap<String, Shape>,
    pub boot_times: &'a BootTimeStats,
    pub settings: &'a Settings,
}

/// What operators are told.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    pub entry: String,
    pub kind: NoticeKind,
}

#[derive(Debug, Clone, PartialEq)]
pub enum NoticeKind {
    Admitted(Admission),
    Changed(Admission),
    Withdrawn { machines: usize },
    Opened { available: u32, promised: u32 },
    Shortfall(String),
    Fulfilled,
    Reassigned { machine: String, from: String },
    Expired { machines: usize },
}

impl fmt::Display for NoticeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let admission = |v: &Admission| match v {
            Admission::Full => "promised".to_owned(),
            Admission::Partial(reason) => format!("promised in part: {reason}"),
            Admission::Rejected(reason) => format!("refused: {reason}"),
        };
        match self {
            NoticeKind::Admitted(v) => f.write_str(&admission(v)),
            NoticeKind::Changed(v) => write!(f, "changed, {}", admission(v)),
            NoticeKind::Withdrawn { machines } => {
                write!(f, "withdrawn, gives up {machines} machines")
            }
            NoticeKind::Opened {
                available,
                promised,
            } => {
                write!(f, "opens with {available} of {promised} machines")
            }
            NoticeKind::Shortfall(reason) => write!(f, "less than promised: {reason}"),
            NoticeKind::Fulfilled => f.write_str("all that was promised is there or on its way"),
            NoticeKind::Reassigned { machine, from } => {
                write!(f, "takes {machine} from '{from}', admitted later")
            }
            NoticeKind::Expired { machines } => write!(f, "over, gives up {machines} machines"),
        }
    }
}

/// Type, zone, and whether spot.
type Offer<'v> = (usize, &'v str, bool);
/// Of another type than asked for, price for what it stands for, and how many there are.
type OfferCost = (bool, f64, u32);

/// Doublings of the lead at most.
const MAX_LEAD_DOUBLINGS: u32 = 3;
/// A deficit below this is rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Seconds before a window at which renting begins: a boot with its tail, the time after
/// which one that does not come up is given up, and a boot of what stands in for it.
pub fn lead_s(record: &ReservationRecord, view: &ClusterView<'_>) -> f64 {
    let settings = view.settings;
    let lead = record.items.iter().filter_map(|item| {
        let t = view.types.iter().find(|t| t.name == item.machine_type)?;
        let boot_s = view
            .boot_times
            .quantile_s(&t.name, t.boot_s, settings.boot_quantile);
        Some(
            2.0 * boot_s + settings.boot_timeout_factor * t.boot_s + settings.boot_timeout_margin_s,
        )
    });
    let lead = lead.fold(0.0, f64::max) + settings.lead_margin_s;
    (lead * f64::from(1 << record.lead_doublings.min(MAX_LEAD_DOUBLINGS))).min(settings.max_lead_s)
}

/// One round. `new_request` gives a name that no request ever had.
///
/// Afterwards the machines that the records name are the ones held, and requests
/// without an answer ([`ReservationRecord::pending_requests`]) are to be sent once their record
/// stands, and again until they are answered.
pub fn plan(
    reservations: &Reservations,
    records: &mut BTreeMap<String, ReservationRecord>,
    view: &ClusterView<'_>,
    new_request: &mut dyn FnMut() -> String,
) -> Vec<Notice> {
    let mut notices = Vec::new();
    refresh_records(reservations, records, view, &mut notices);
    admit_pending(records, view, &mut notices);
    let mut order: Vec<String> = records.keys().cloned().collect();
    order.sort_by(|a, b| {
        records[a]
            .admission_order(a)
            .cmp(&records[b].admission_order(b))
    });
    let mut free: BTreeSet<&str> = view.idle_machines.keys().copied().collect();
    for (at, name) in order.iter().enumerate() {
        let Some(mut record) = records.remove(name) else {
            continue;
        };
        if is_renting_due(&record, view) {
            let mut update = RecordUpdate {
                name,
                record: &mut record,
                view,
                notices: &mut notices,
            };
            update.run(records, &order[at + 1..], &mut free, new_request);
        }
        records.insert(name.clone(), record);
    }
    notices
}

/// Renting has begun, or shall.
fn is_renting_due(record: &ReservationRecord, view: &ClusterView<'_>) -> bool {
    let lead_ms = (lead_s(record, view) * 1000.0) as u64;
    !record.items.is_empty()
        && (!record.batches.is_empty() || view.now_ms + lead_ms >= record.window.from_ms)
}

/// Records of windows that are over, of entries that changed or are gone, and of those
/// that have none.
fn refresh_records(
    reservations: &Reservations,
    records: &mut BTreeMap<String, ReservationRecord>,
    view: &ClusterView<'_>,
    notices: &mut Vec<Notice>,
) {
    let applies_changes = view.leader_for_s >= view.settings.settings_delay_s;
    let mut doublings: BTreeMap<String, u32> = BTreeMap::new();
    records.retain(|name, record| {
        let mut note = |kind| {
            notices.push(Notice {
                entry: name.clone(),
                kind,
            });
        };
        let machines = record.machines().count();
        if record.window.is_over(view.now_ms) {
            note(NoticeKind::Expired { machines });
            doublings.insert(name.clone(), record.lead_doublings);
            return false;
        }
        if !applies_changes {
            return true;
        }
        let current = reservations
            .get(name)
            .and_then(|entry| Some((entry, entry.window_at(view.now_ms)?)));
        match current {
            None => {
                note(NoticeKind::Withdrawn { machines });
                false
            }
            Some((entry, window)) => {
                if record.terms != entry.terms || record.window != window {
                    apply_entry(record, entry, window, view);
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
            ReservationRecord {
                terms: entry.terms.clone(),
                window,
                admitted_ms: view.now_ms,
                admission: Admission::Rejected(NOT_EVALUATED.to_owned()),
                items: Vec::new(),
                batches: Vec::new(),
                shortfall: None,
                lead_doublings: doublings.get(&entry.name).copied().unwrap_or(0),
                opened: false,
            },
        );
    }
}

/// The entry says otherwise now. One that only became shorter keeps its place among
/// others; what is held stays where the new window wants it.
fn apply_entry(
    record: &mut ReservationRecord,
    entry: &Entry,
    window: Window,
    view: &ClusterView<'_>,
) {
    let shorter = record.terms == entry.terms
        && window.from_ms >= record.window.from_ms
        && window.to_ms <= record.window.to_ms;
    if !shorter {
        record.admitted_ms = view.now_ms;
    }
    record.terms = entry.terms.clone();
    record.window = window;
    record.opened &= window.has_begun(view.now_ms);
    record.admission = Admission::Rejected(CHANGED_NOT_EVALUATED.to_owned());
    let lead_ms = (lead_s(record, view) * 1000.0) as u64;
    record.items.clear();
    if view.now_ms + lead_ms < window.from_ms {
        record.batches.clear();
    }
}

/// Verdicts that stand only until the same round has judged.
const NOT_EVALUATED: &str = "not yet looked at";
const CHANGED_NOT_EVALUATED: &str = "changed, not yet looked at";

/// Verdicts on what is new or changed, and on what was promised in part or not at all:
/// it may have more by now. What was promised stays promised.
fn admit_pending(
    records: &mut BTreeMap<String, ReservationRecord>,
    view: &ClusterView<'_>,
    notices: &mut Vec<Notice>,
) {
    let mut order: Vec<String> = records.keys().cloned().collect();
    order.sort_by(|a, b| {
        records[a]
            .admission_order(a)
            .cmp(&records[b].admission_order(b))
    });
    for (at, name) in order.iter().enumerate() {
        let record = &records[name];
        if record.admission == Admission::Full {
            continue;
        }
        let before: Vec<EarlierPromise<'_>> = order[..at]
            .iter()
            .map(|name| (name, &records[name]))
            .filter(|(_, other)| {
                other.terms.team == record.terms.team && other.window.overlaps(&record.window)
            })
            .map(|(name, other)| EarlierPromise {
                name,
                items: &other.items,
            })
            .collect();
        let (admission, items) = admit(name, &record.terms, &before, view);
        let count = |items: &[PromisedMachines]| items.iter().map(|i| i.count).sum::<u32>();
        let not_evaluated = matches!(&record.admission, Admission::Rejected(r) if r == NOT_EVALUATED || r == CHANGED_NOT_EVALUATED);
        let changed =
            matches!(&record.admission, Admission::Rejected(r) if r == CHANGED_NOT_EVALUATED);
        if admission == record.admission || (!not_evaluated && count(&items) < count(&record.items))
        {
            continue;
        }
        notices.push(Notice {
            entry: name.clone(),
            kind: match changed {
                true => NoticeKind::Changed(admission.clone()),
                false => NoticeKind::Admitted(admission.clone()),
            },
        });
        if let Some(record) = records.get_mut(name) {
            record.admission = admission;
            record.items = items;
        }
    }
}

/// How many of an item's machines one of this type stands for.
fn coverage(name: &str, item: &PromisedMachines, t: &MachineType, view: &ClusterView<'_>) -> f64 {
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
    if !suits_resources(name, t, view) || asked.cpus <= 0.0 || asked.memory_gb <= 0.0 {
        return 0.0;
    }
    (t.cpus / asked.cpus).min(t.memory_gb / asked.memory_gb)
}

/// One record that is due, under work.
struct RecordUpdate<'a, 'v> {
    name: &'a str,
    record: &'a mut ReservationRecord,
    view: &'a ClusterView<'v>,
    notices: &'a mut Vec<Notice>,
}

impl<'v> RecordUpdate<'_, 'v> {
    fn add_notice(&mut self, kind: NoticeKind) {
        self.notices.push(Notice {
            entry: self.name.to_owned(),
            kind,
        });
    }

    fn run(
        &mut self,
        others: &mut BTreeMap<String, ReservationRecord>,
        later: &[String],
        free: &mut BTreeSet<&str>,
        new_request: &mut dyn FnMut() -> String,
    ) {
        let view = self.view;
        self.record
            .release_machines(|m| !view.machines.contains_key(m));
        let (mut missing, spare) = self.missing();
        self.record.release_machines(|m| spare.contains(m));
        if !self.record.opened && self.record.window.has_begun(view.now_ms) {
            self.mark_opened();
        }
        self.reserve_idle_machines(&mut missing, free);
        let mut reason = self.request_missing(&mut missing, new_request);
        if reason.is_some() {
            self.reassign_machines(&mut missing, others, later);
            reason.take_if(|_| is_covered(&missing));
        }
        if reason != self.record.shortfall {
            self.record.shortfall = reason.clone();
            self.add_notice(reason.map_or(NoticeKind::Fulfilled, NoticeKind::Shortfall));
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
                    let coverage = coverage(self.name, item, t, view);
                    if (item.machine_type == t.name) != own || coverage <= 0.0 {
                        continue;
                    }
                    let used = left.min((*missing / coverage - ROUNDING_TOLERANCE).ceil().max(0.0));
                    *missing -= used * coverage;
                    left -= used;
                }
            }
            left
        };
        let mut there: Vec<(&str, &ReservableMachine<'_>)> = self
            .record
            .machines()
            .filter_map(|name| view.machines.get_key_value(name))
            .map(|(name, m)| (*name, m))
            .filter(|(_, m)| {
                matches!(
                    m.availability,
                    Availability::Booting | Availability::Available
                )
            })
            .collect();
        // What is in use stays; of the rest what is up.
        there.sort_by_key(|(name, m)| (m.idle, m.availability == Availability::Booting, *name));
        let mut spare = BTreeSet::new();
        for (name, machine) in there {
            let Some(t) = view.types.get(machine.type_index) else {
                continue;
            };
            if cover(t, 1.0) > 0.0
                && (machine.idle || machine.availability == Availability::Booting)
            {
                spare.insert(name.to_owned());
            }
        }
        for batch in self.record.pending_requests() {
            if let Some(t) = view.types.iter().find(|t| t.name == batch.machine_type) {
                cover(t, f64::from(batch.count));
            }
        }
        (missing, spare)
    }

    fn mark_opened(&mut self) {
        let view = self.view;
        self.record.opened = true;
        let up = |m: &str| {
            let found = view.machines.get(m);
            found.is_some_and(|m| m.availability == Availability::Available)
        };
        let available = self.record.machines().filter(|m| up(m)).count() as u32;
        let promised = self.record.items.iter().map(|i| i.count).sum();
        // The next window of this entry gains by it.
        let doublings = self.record.lead_doublings;
        self.record.lead_doublings = match self.record.shortfall {
            Some(_) => (doublings + 1).min(MAX_LEAD_DOUBLINGS),
            None => doublings.saturating_sub(1),
        };
        self.add_notice(NoticeKind::Opened {
            available,
            promised,
        });
    }

    /// Whether the entry's terms allow such a machine.
    fn allows(terms: &Terms, zone: &str, spot: bool) -> bool {
        terms.zone.as_ref().is_none_or(|z| z == zone) && (terms.spot || !spot)
    }

    fn reserve_machine(&mut self, name: &str, machine: &ReservableMachine<'_>) {
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
    fn missing_item_for(
        &self,
        missing: &[f64],
        machine: &ReservableMachine<'_>,
    ) -> Option<(usize, f64)> {
        let t = self.view.types.get(machine.type_index)?;
        if !Self::allows(&self.record.terms, machine.zone, machine.spot) {
            return None;
        }
        let items = self.record.items.iter().enumerate();
        items
            .filter(|(index, _)| missing[*index] > ROUNDING_TOLERANCE)
            .map(|(index, item)| (index, coverage(self.name, item, t, self.view)))
            .find(|(_, coverage)| *coverage > 0.0)
    }

    /// Holds idle machines of which nobody has need.
    fn reserve_idle_machines(&mut self, missing: &mut [f64], free: &mut BTreeSet<&str>) {
        let view = self.view;
        let mut taken = Vec::new();
        for name in free.iter() {
            if is_covered(missing) {
                break;
            }
            let machine = &view.idle_machines[name];
            if let Some((index, coverage)) = self.missing_item_for(missing, machine) {
                missing[index] -= coverage;
                self.reserve_machine(name, machine);
                taken.push(*name);
            }
        }
        for name in taken {
            free.remove(name);
        }
    }

    /// Names requests for what is missing: the asked type first, then others that stand
    /// for it, spread over zones. Why something is left that nothing can be asked for.
    fn request_missing(
        &mut self,
        missing: &mut [f64],
        new_request: &mut dyn FnMut() -> String,
    ) -> Option<String> {
        let view = self.view;
        let mut counts: BTreeMap<Offer<'_>, u32> = BTreeMap::new();
        let mut reason = None;
        for (index, item) in self.record.items.iter().enumerate() {
            while missing[index] > ROUNDING_TOLERANCE {
                let Some((kind, coverage)) = self.cheapest_offer(item, &counts) else {
                    reason = Some(format!(
                        "the cloud refuses {} and what could stand for it",
                        item.machine_type
                    ));
                    break;
                };
                *counts.entry(kind).or_default() += 1;
                missing[index] -= coverage;
            }
        }
        for ((type_index, zone, spot), mut count) in counts {
            while count > 0
                && self.record.pending_requests().count() < view.settings.max_pending_requests
            {
                let batch_size = count.min(view.settings.max_machines_per_request.max(1));
                count -= batch_size;
                self.record.batches.push(Batch {
                    request: Some(new_request()),
                    machine_type: view.types[type_index].name.clone(),
                    zone: zone.to_owned(),
                    spot,
                    count: batch_size,
                    machines: None,
                });
            }
        }
        reason
    }

    /// The type, zone and kind to ask for, and what one of it is coverage.
    fn cheapest_offer(
        &self,
        item: &PromisedMachines,
        counts: &BTreeMap<Offer<'v>, u32>,
    ) -> Option<(Offer<'v>, f64)> {
        let view = self.view;
        let terms = &self.record.terms;
        let mut best: Option<(OfferCost, Offer<'v>, f64)> = None;
        for (type_index, t) in view.types.iter().enumerate() {
            let coverage = coverage(self.name, item, t, view);
            if coverage <= 0.0 || !is_offered(t, terms) {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    let price = match (spot, t.spot_price) {
                        (true, None) => continue,
                        (true, Some(price)) => price,
                        (false, _) => t.price,
                    };
                    if !Self::allows(terms, zone, spot) || (view.is_refused)(type_index, zone, spot)
                    {
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
                    let cost = (other, price / coverage, already);
                    let less = |than: &OfferCost| {
                        cost.0
                            .cmp(&than.0)
                            .then(cost.1.total_cmp(&than.1))
                            .then(cost.2.cmp(&than.2))
                            .is_lt()
                    };
                    if best.as_ref().is_none_or(|(than, _, _)| less(than)) {
                        best = Some((cost, kind, coverage));
                    }
                }
            }
        }
        best.map(|(_, kind, coverage)| (kind, coverage))
    }

    /// Takes idle machines that are held for who was admitted later.
    fn reassign_machines(
        &mut self,
        missing: &mut [f64],
        others: &mut BTreeMap<String, ReservationRecord>,
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
                if !machine.idle || machine.availability != Availability::Available {
                    continue;
                }
                if let Some((index, coverage)) = self.missing_item_for(missing, machine) {
                    missing[index] -= coverage;
                    other.release_machines(|m| m == name);
                    self.reserve_machine(&name, machine);
                    self.add_notice(NoticeKind::Reassigned {
                        machine: name,
                        from: from.clone(),
                    });
                }
            }
        }
    }
}

fn is_covered(missing: &[f64]) -> bool {
    missing.iter().all(|m| *m <= ROUNDING_TOLERANCE)
}
