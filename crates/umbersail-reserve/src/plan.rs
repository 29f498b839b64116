//! Updates the records of reservations to the current state of the cluster: admits entries,
//! names rental requests, counts the machines that are available, uses substitutes where the
//! cloud refuses requests, and releases machines that are not needed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use umbersail_policy::{Shape, TeamLimits};
use umbersail_wire::MachineType;

use crate::admit::{EarlierPromise, admit, is_offered, suits_resources};
use crate::{
    Admission, Batch, BootTimeStats, Entry, PromisedMachines, ReservationRecord, Reservations,
    Terms, Window,
};

/// Settings of reservations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// A leader applies changed and removed entries this many seconds after its election: in a
    /// rolling restart, controllers with the old and the new properties run at the same time.
    pub settings_delay_s: f64,
    /// Part of the lead time for requests, records and refusals, in seconds.
    pub lead_margin_s: f64,
    /// Maximum lead time, in seconds.
    pub max_lead_s: f64,
    /// Quantile of the boot times that the lead time allows for.
    pub boot_quantile: f64,
    /// The boot of a machine is given up after its nominal boot time multiplied by this factor,
    /// plus `boot_timeout_margin_s`.
    pub boot_timeout_factor: f64,
    /// See `boot_timeout_factor`, in seconds.
    pub boot_timeout_margin_s: f64,
    /// Maximum number of machines of one rental request.
    pub max_machines_per_request: u32,
    /// Maximum number of rental requests of one entry without an answer.
    pub max_pending_requests: usize,
    /// Maximum number of machines of one entry.
    pub max_machines: u32,
    /// Waiting time in seconds after which a job may borrow machines of an entry that allows
    /// borrowing, see [`crate::may_borrow`].
    pub borrow_after_s: f64,
    /// Waiting time in seconds after which a job within another team's guaranteed capacity may
    /// borrow any machine, see [`crate::may_borrow`].
    pub guarantee_wait_s: f64,
}

/// Whether a machine is available to its reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The machine is booting.
    Booting,
    /// The machine is running and can be used.
    Available,
    /// The machine sends no heartbeats, is unreachable or faulty, or will be reclaimed by the
    /// cloud. The reservation does not count the machine.
    Unavailable,
    /// The machine runs other work that cannot be preempted for the reservation and whose class
    /// the entry does not list. The reservation does not count the machine.
    Borrowed,
}

/// A machine that is reserved or can be reserved.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservableMachine<'a> {
    /// Index of the machine type in [`ClusterView::types`].
    pub type_index: usize,
    /// Zone of the machine.
    pub zone: &'a str,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether the machine is available to its reservation.
    pub availability: Availability,
    /// Whether the machine runs no task.
    pub idle: bool,
}

/// The state of the cluster that a round of [`plan()`] works with.
pub struct ClusterView<'a> {
    /// Current Unix time in milliseconds.
    pub now_ms: u64,
    /// Seconds since this leader was elected.
    pub leader_for_s: f64,
    /// The catalogue of machine types.
    pub types: &'a [MachineType],
    /// The teams with their limits.
    pub teams: &'a [TeamLimits],
    /// The machines that records name, without machines that no longer exist.
    pub machines: &'a BTreeMap<&'a str, ReservableMachine<'a>>,
    /// Machines that are not reserved and have been idle for the configured time.
    pub idle_machines: &'a BTreeMap<&'a str, ReservableMachine<'a>>,
    /// Whether the cloud has recently refused this machine type (by index) in this zone, as a
    /// spot instance (`true`) or as an on-demand instance (`false`).
    pub is_refused: &'a dyn Fn(usize, &str, bool) -> bool,
    /// For each entry, the largest observed task of its classes.
    pub largest_tasks: &'a BTreeMap<String, Shape>,
    /// Observed boot times.
    pub boot_times: &'a BootTimeStats,
    /// Settings of reservations.
    pub settings: &'a Settings,
}

/// An event of a reservation, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    /// Name of the entry.
    pub entry: String,
    /// What happened.
    pub kind: NoticeKind,
}

/// What happened to a reservation.
#[derive(Debug, Clone, PartialEq)]
pub enum NoticeKind {
    /// A new entry, or one whose demand was not promised in full, was evaluated.
    Admitted(Admission),
    /// A changed entry was evaluated.
    Changed(Admission),
    /// The entry was removed or has no further window.
    Withdrawn {
        /// Number of machines that are released.
        machines: usize,
    },
    /// The window started.
    Opened {
        /// Number of machines that can be used.
        available: u32,
        /// Number of promised machines.
        promised: u32,
    },
    /// Fewer machines are reserved or requested than were promised; states why.
    Shortfall(String),
    /// All promised machines are reserved or requested again.
    Fulfilled,
    /// A machine of a reservation that was admitted later was moved to this reservation.
    Reassigned {
        /// Name of the machine.
        machine: String,
        /// Name of the entry that had reserved the machine.
        from: String,
    },
    /// The window ended.
    Expired {
        /// Number of machines that are released.
        machines: usize,
    },
}

impl fmt::Display for NoticeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |admission: &Admission| match admission {
            Admission::Full => "promised in full".to_owned(),
            Admission::Partial(reason) => format!("promised in part: {reason}"),
            Admission::Rejected(reason) => format!("rejected: {reason}"),
        };
        match self {
            NoticeKind::Admitted(admission) => f.write_str(&text(admission)),
            NoticeKind::Changed(admission) => write!(f, "changed, now {}", text(admission)),
            NoticeKind::Withdrawn { machines } => {
                write!(f, "withdrawn, releasing {machines} machines")
            }
            NoticeKind::Opened {
                available,
                promised,
            } => {
                write!(
                    f,
                    "the window starts with {available} of {promised} machines available"
                )
            }
            NoticeKind::Shortfall(reason) => {
                write!(f, "fewer machines than promised: {reason}")
            }
            NoticeKind::Fulfilled => f.write_str("all promised machines are reserved or requested"),
            NoticeKind::Reassigned { machine, from } => {
                write!(
                    f,
                    "machine {machine} was reassigned from '{from}', which was admitted later"
                )
            }
            NoticeKind::Expired { machines } => {
                write!(f, "the window has ended, releasing {machines} machines")
            }
        }
    }
}

/// Something that can be rented: the index of the machine type, the zone, and whether the
/// machine is a spot instance.
type Offer<'v> = (usize, &'v str, bool);
/// Sort key of an offer, lowest first: whether the type is another than the requested one, the
/// price per covered machine, and the number of machines already reserved or requested from
/// this offer. The number spreads machines over zones of the same price.
type OfferCost = (bool, f64, u32);

/// Maximum number of doublings of the lead time.
const MAX_LEAD_DOUBLINGS: u32 = 3;
/// A missing amount of at most this many machines is a rounding error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Lead time in seconds: how long before a window renting begins. The lead time allows for a
/// boot at the configured quantile, the timeout of a failed boot, the boot of the substitute,
/// and a margin.
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

/// Runs one round. `new_request` must return a name that was never used for a request.
///
/// After the round, exactly the machines named in the records are reserved. The caller must send
/// each request without an answer ([`ReservationRecord::pending_requests`]) after the record is
/// stored, and must repeat the request until the cloud answers.
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
    let mut idle_machines: BTreeSet<&str> = view.idle_machines.keys().copied().collect();
    for (position, name) in order.iter().enumerate() {
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
            update.run(
                records,
                &order[position + 1..],
                &mut idle_machines,
                new_request,
            );
        }
        records.insert(name.clone(), record);
    }
    notices
}

/// Whether renting for the window has begun or is due.
fn is_renting_due(record: &ReservationRecord, view: &ClusterView<'_>) -> bool {
    let lead_ms = (lead_s(record, view) * 1000.0) as u64;
    !record.items.is_empty()
        && (!record.batches.is_empty() || view.now_ms + lead_ms >= record.window.from_ms)
}

/// Removes the records of windows that have ended and of removed entries, applies changed
/// entries, and adds records for entries without one.
fn refresh_records(
    reservations: &Reservations,
    records: &mut BTreeMap<String, ReservationRecord>,
    view: &ClusterView<'_>,
    notices: &mut Vec<Notice>,
) {
    // In a rolling restart, the next leader may still have the old properties.
    let applies_changes = view.leader_for_s >= view.settings.settings_delay_s;
    let mut doublings: BTreeMap<String, u32> = BTreeMap::new();
    records.retain(|name, record| {
        let mut add_notice = |kind| {
            notices.push(Notice {
                entry: name.clone(),
                kind,
            });
        };
        let machines = record.machines().count();
        if record.window.is_over(view.now_ms) {
            add_notice(NoticeKind::Expired { machines });
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
                add_notice(NoticeKind::Withdrawn { machines });
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

/// Applies a changed entry to its record. An entry whose window was only shortened keeps its
/// time of admission. The machines stay reserved unless the new window is too far away.
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

/// Marks a new record until `admit_pending` evaluates the record in the same round. The text is
/// part of the stored format and must not change.
const NOT_EVALUATED: &str = "not yet looked at";
/// Marks a changed record until `admit_pending` evaluates the record in the same round. The text
/// is part of the stored format and must not change.
const CHANGED_NOT_EVALUATED: &str = "changed, not yet looked at";

/// Evaluates new and changed entries, and those whose demand was not promised in full, because
/// more may be possible now. What was promised stays promised.
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
    for (position, name) in order.iter().enumerate() {
        let record = &records[name];
        if record.admission == Admission::Full {
            continue;
        }
        let earlier: Vec<EarlierPromise<'_>> = order[..position]
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
        let (admission, items) = admit(name, &record.terms, &earlier, view);
        let count = |items: &[PromisedMachines]| items.iter().map(|i| i.count).sum::<u32>();
        let not_evaluated = matches!(
            &record.admission,
            Admission::Rejected(r) if r == NOT_EVALUATED || r == CHANGED_NOT_EVALUATED
        );
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

/// How many of an item's machines one machine of type `t` covers.
fn coverage(name: &str, item: &PromisedMachines, t: &MachineType, view: &ClusterView<'_>) -> f64 {
    if t.name == item.machine_type {
        return 1.0;
    }
    let Some(requested) = view.types.iter().find(|t| t.name == item.machine_type) else {
        return 0.0;
    };
    if item.exact {
        let fits = Shape::of_type(requested).fits_in(&Shape::of_type(t));
        return if fits { 1.0 } else { 0.0 };
    }
    if !suits_resources(name, t, view) || requested.cpus <= 0.0 || requested.memory_gb <= 0.0 {
        return 0.0;
    }
    (t.cpus / requested.cpus).min(t.memory_gb / requested.memory_gb)
}

/// The update of one record for which renting has begun or is due.
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

    /// Releases machines that no longer exist or are not needed, then reserves and requests the
    /// missing ones. `others` are the other records, `later` the names of the entries that were
    /// admitted later, and `idle_machines` the machines that are not reserved yet.
    fn run(
        &mut self,
        others: &mut BTreeMap<String, ReservationRecord>,
        later: &[String],
        idle_machines: &mut BTreeSet<&str>,
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
        self.reserve_idle_machines(&mut missing, idle_machines);
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

    /// For each item, the number of machines that are not available, booting or requested, counted
    /// in machines of the item's type; and the names of machines that are not needed and can be
    /// released.
    fn missing(&self) -> (Vec<f64>, BTreeSet<String>) {
        let view = self.view;
        let items = &self.record.items;
        let mut missing: Vec<f64> = items.iter().map(|i| f64::from(i.count)).collect();
        let mut cover_items = |t: &MachineType, count: f64| {
            let mut remaining = count;
            // The item of the machine's own type first, then the items that the machine can
            // substitute for.
            for same_type in [true, false] {
                for (item, missing) in items.iter().zip(&mut missing) {
                    let coverage = coverage(self.name, item, t, view);
                    if (item.machine_type == t.name) != same_type || coverage <= 0.0 {
                        continue;
                    }
                    let used =
                        remaining.min((*missing / coverage - ROUNDING_TOLERANCE).ceil().max(0.0));
                    *missing -= used * coverage;
                    remaining -= used;
                }
            }
            remaining
        };
        let mut machines: Vec<(&str, &ReservableMachine<'_>)> = self
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
        // Machines in use are counted first, then idle ones, then those that are booting.
        machines.sort_by_key(|(name, m)| (m.idle, m.availability == Availability::Booting, *name));
        let mut spare = BTreeSet::new();
        for (name, machine) in machines {
            let Some(t) = view.types.get(machine.type_index) else {
                continue;
            };
            if cover_items(t, 1.0) > 0.0
                && (machine.idle || machine.availability == Availability::Booting)
            {
                spare.insert(name.to_owned());
            }
        }
        for batch in self.record.pending_requests() {
            if let Some(t) = view.types.iter().find(|t| t.name == batch.machine_type) {
                cover_items(t, f64::from(batch.count));
            }
        }
        (missing, spare)
    }

    /// Notes the start of the window, and adapts the lead time of the entry's next window.
    fn mark_opened(&mut self) {
        let view = self.view;
        self.record.opened = true;
        let is_available = |m: &str| {
            let machine = view.machines.get(m);
            machine.is_some_and(|m| m.availability == Availability::Available)
        };
        let available = self.record.machines().filter(|m| is_available(m)).count() as u32;
        let promised = self.record.items.iter().map(|i| i.count).sum();
        // The record of the entry's next window takes the new value over.
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

    /// Whether the terms of the entry allow machines of this zone and kind.
    fn allows(terms: &Terms, zone: &str, spot: bool) -> bool {
        terms.zone.as_ref().is_none_or(|z| z == zone) && (terms.spot || !spot)
    }

    /// Adds a machine that is already rented to the record.
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

    /// The first missing item that the machine can cover, and how many of the item's machines it
    /// covers.
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

    /// Reserves idle machines that are not reserved.
    fn reserve_idle_machines(&mut self, missing: &mut [f64], idle_machines: &mut BTreeSet<&str>) {
        let view = self.view;
        let mut reserved = Vec::new();
        for name in idle_machines.iter() {
            if is_covered(missing) {
                break;
            }
            let machine = &view.idle_machines[name];
            if let Some((index, coverage)) = self.missing_item_for(missing, machine) {
                missing[index] -= coverage;
                self.reserve_machine(name, machine);
                reserved.push(*name);
            }
        }
        for name in reserved {
            idle_machines.remove(name);
        }
    }

    /// Adds rental requests for the missing machines: the requested type first, then types that
    /// can substitute for this type, spread over zones. Returns a reason if no offer is left for
    /// a part.
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
                // The text is part of the stored format and must not change.
                let Some((offer, coverage)) = self.cheapest_offer(item, &counts) else {
                    reason = Some(format!(
                        "the cloud refuses {} and what could stand for it",
                        item.machine_type
                    ));
                    break;
                };
                *counts.entry(offer).or_default() += 1;
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

    /// The cheapest offer for an item, and how many of the item's machines one machine of the
    /// offer covers.
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
                    let batches =
                        self.record.batches.iter().filter(|b| {
                            b.machine_type == t.name && b.zone == *zone && b.spot == spot
                        });
                    let counts_held =
                        batches.map(|b| b.machines.as_ref().map_or(b.count, |m| m.len() as u32));
                    let offer = (type_index, zone.as_str(), spot);
                    let count = counts_held.sum::<u32>() + counts.get(&offer).copied().unwrap_or(0);
                    let is_substitute = item.exact && t.name != item.machine_type;
                    let cost = (is_substitute, price / coverage, count);
                    let is_less = |other: &OfferCost| {
                        cost.0
                            .cmp(&other.0)
                            .then(cost.1.total_cmp(&other.1))
                            .then(cost.2.cmp(&other.2))
                            .is_lt()
                    };
                    if best.as_ref().is_none_or(|(cost, _, _)| is_less(cost)) {
                        best = Some((cost, offer, coverage));
                    }
                }
            }
        }
        best.map(|(_, offer, coverage)| (offer, coverage))
    }

    /// Moves idle machines from reservations that were admitted later to this one, starting with
    /// the latest.
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

/// Whether nothing is missing.
fn is_covered(missing: &[f64]) -> bool {
    missing.iter().all(|m| *m <= ROUNDING_TOLERANCE)
}
