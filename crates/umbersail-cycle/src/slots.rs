//! Machines with room, gathered once for a cycle and searched by many jobs.

use umbersail_policy::Shape;

use crate::ImageKey;

/// Which machines a job's tasks may use at all.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineFilter {
    /// By index of the machine type; what lies beyond the end is not allowed.
    pub types: Vec<bool>,
    /// The only zone, or any.
    pub zone: Option<String>,
    /// Whether spot machines will do.
    pub spot: bool,
    /// Reservations that the job may use, one bit each.
    pub reservations: u64,
}

impl MachineFilter {
    /// Whether a machine of this type, zone and kind, kept for these reservations, is
    /// within it.
    pub fn matches(&self, type_index: usize, zone: &str, spot: bool, reservations: u64) -> bool {
        self.types.get(type_index) == Some(&true)
            && (!spot || self.spot)
            && (reservations == 0 || reservations & self.reservations != 0)
            && self.zone.as_ref().is_none_or(|z| z == zone)
    }
}

/// What is known of a machine when it is added.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotInfo<'a> {
    /// Index of its machine type.
    pub type_index: usize,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Shape,
    /// Seconds until its next report is due: launches travel in the reply.
    pub heartbeat_due_in_s: f64,
    /// Whose reservations keep it, one bit each; none: it is anybody's.
    pub reservations: u64,
}

/// A machine that takes tasks.
#[derive(Debug, Clone)]
pub struct CandidateSlot<M> {
    /// Name of the machine.
    pub machine: M,
    /// Index of its machine type.
    pub type_index: usize,
    /// Index into [`CandidateSlots::zone`].
    zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Shape,
    /// Seconds until its next report is due.
    pub heartbeat_due_in_s: f64,
    /// Whose reservations reserve it, one bit each; 0 if it is not reserved.
    pub reservations: u64,
    /// Where the images that it has stand.
    images: (usize, usize),
    /// Images on their way there.
    fetching: Vec<ImageKey>,
}

/// A search that found nothing: nothing as large is looked for again.
#[derive(Debug, Clone)]
struct FailedSearch {
    filter: MachineFilter,
    shape: Shape,
}

/// Searches remembered as hopeless. Each is smaller than, or reaches elsewhere
/// than, all the others, so a few serve thousands of jobs.
const MAX_FAILED_SEARCHES: usize = 64;

/// No larger in any amount. Without the allowance for rounding that a fit has:
/// what is larger by a rounding may fit where the other does not.
fn is_no_larger(a: &Shape, b: &Shape) -> bool {
    a.cpus <= b.cpus && a.gpus <= b.gpus && a.memory_gb <= b.memory_gb
}

/// Machines with room as one cycle sees them. Room only shrinks while it lives,
/// so what was hopeless once stays hopeless.
#[derive(Debug)]
pub struct CandidateSlots<M> {
    slots: Vec<CandidateSlot<M>>,
    zones: Vec<String>,
    images: Vec<ImageKey>,
    failed_searches: Vec<FailedSearch>,
    examined: u64,
}

impl<M> Default for CandidateSlots<M> {
    fn default() -> Self {
        CandidateSlots::new()
    }
}

impl<M> CandidateSlots<M> {
    /// No machines.
    pub fn new() -> CandidateSlots<M> {
        CandidateSlots {
            slots: Vec::new(),
            zones: Vec::new(),
            images: Vec::new(),
            failed_searches: Vec::new(),
            examined: 0,
        }
    }

    /// Adds a machine. `images` are those it has; the ones on their way there
    /// follow with [`CandidateSlots::add_fetching`]. Equal placements go to the one added
    /// first.
    pub fn push(&mut self, machine: M, spot: SlotInfo<'_>, images: &[ImageKey]) {
        let zone = match self.zones.iter().position(|z| z == spot.zone) {
            Some(zone) => zone,
            None => {
                self.zones.push(spot.zone.to_owned());
                self.zones.len() - 1
            }
        };
        let start = self.images.len();
        self.images.extend_from_slice(images);
        self.slots.push(CandidateSlot {
            machine,
            type_index: spot.type_index,
            zone,
            spot: spot.spot,
            free: spot.free,
            heartbeat_due_in_s: spot.heartbeat_due_in_s,
            reservations: spot.reservations,
            images: (start, self.images.len()),
            fetching: Vec::new(),
        });
    }

    /// An image that is on its way to the machine added last.
    pub fn add_fetching(&mut self, image: ImageKey) {
        if let Some(slot) = self.slots.last_mut() {
            slot.fetching.push(image);
        }
    }

    /// Number of machines.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The machine at this index.
    pub fn get(&self, index: usize) -> &CandidateSlot<M> {
        &self.slots[index]
    }

    /// The zone of a slot.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[self.slots[index].zone]
    }

    /// Whether the image is there, and whether it is on its way.
    pub fn image(&self, index: usize, image: ImageKey) -> (bool, bool) {
        let slot = &self.slots[index];
        let there = self.images[slot.images.0..slot.images.1].contains(&image);
        (there, !there && slot.fetching.contains(&image))
    }

    /// Slots looked at so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Whether a search has shown already that nothing so large has room. True
    /// only if [`CandidateSlots::fitting`] would be empty.
    pub fn cannot_fit(&self, filter: &MachineFilter, shape: &Shape) -> bool {
        self.failed_searches
            .iter()
            .any(|m| is_no_larger(&m.shape, shape) && m.filter == *filter)
    }

    /// Slots within filter that take a task of this shape, in the order in which
    /// they were added. `allowed` leaves machines out for reasons of the job's
    /// own, which say nothing about other jobs.
    pub fn fitting(
        &mut self,
        filter: &MachineFilter,
        shape: &Shape,
        mut allowed: impl FnMut(&M) -> bool,
    ) -> Vec<usize> {
        self.examined += self.slots.len() as u64;
        let (mut found, mut barred) = (Vec::new(), false);
        for (index, slot) in self.slots.iter().enumerate() {
            if !shape.fits_in(&slot.free)
                || !filter.matches(
                    slot.type_index,
                    &self.zones[slot.zone],
                    slot.spot,
                    slot.reservations,
                )
            {
                continue;
            }
            if allowed(&slot.machine) {
                found.push(index);
            } else {
                barred = true;
            }
        }
        if found.is_empty() && !barred {
            self.record_failed_search(filter, shape);
        }
        found
    }

    /// A search of the caller's own found no slot within filter for this shape.
    pub fn record_failed_search(&mut self, filter: &MachineFilter, shape: &Shape) {
        self.failed_searches
            .retain(|m| m.filter != *filter || !is_no_larger(shape, &m.shape));
        if self.failed_searches.len() < MAX_FAILED_SEARCHES {
            self.failed_searches.push(FailedSearch {
                filter: filter.clone(),
                shape: *shape,
            });
        }
    }

    /// Nothing more goes there in this cycle.
    pub fn close(&mut self, index: usize) {
        let free = &mut self.slots[index].free;
        for amount in [&mut free.cpus, &mut free.gpus, &mut free.memory_gb] {
            *amount = amount.min(0.0) - 1.0;
        }
    }

    /// So many tasks go there, and their image with them.
    pub fn take(&mut self, index: usize, shape: &Shape, times: u32, image: ImageKey) {
        let slot = &mut self.slots[index];
        slot.free.add(shape, -f64::from(times));
        if !slot.fetching.contains(&image) {
            slot.fetching.push(image);
        }
    }
}
