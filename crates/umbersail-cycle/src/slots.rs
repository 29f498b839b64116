//! Machines with free capacity, collected once per cycle slice and searched for many jobs.

use umbersail_policy::Shape;

use crate::ImageKey;

/// Restricts which machines a job's tasks may use.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineFilter {
    /// Allowed machine types, by type index. Types beyond the end are not allowed.
    pub types: Vec<bool>,
    /// The required zone; `None` allows every zone.
    pub zone: Option<String>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Reservations that the job may use, one bit each.
    pub reservations: u64,
}

impl MachineFilter {
    /// Whether a machine with this type, zone, spot property and set of reservations is
    /// allowed.
    pub fn matches(&self, type_index: usize, zone: &str, spot: bool, reservations: u64) -> bool {
        self.types.get(type_index) == Some(&true)
            && (!spot || self.spot)
            && (reservations == 0 || reservations & self.reservations != 0)
            && self.zone.as_ref().is_none_or(|z| z == zone)
    }
}

/// Description of a machine that is added to [`CandidateSlots`].
#[derive(Debug, Clone, PartialEq)]
pub struct SlotInfo<'a> {
    /// Index of the machine type.
    pub type_index: usize,
    /// Zone of the machine.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Shape,
    /// Seconds until the machine's next heartbeat is due. Launch commands travel in the
    /// heartbeat reply.
    pub heartbeat_due_in_s: f64,
    /// Reservations that the machine is held for, one bit each; 0 if it is not reserved.
    pub reservations: u64,
}

/// A machine with free capacity.
#[derive(Debug, Clone)]
pub struct CandidateSlot<M> {
    /// Name of the machine.
    pub machine: M,
    /// Index of the machine type.
    pub type_index: usize,
    /// Index into the zone names of [`CandidateSlots`].
    zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Shape,
    /// Seconds until the machine's next heartbeat is due.
    pub heartbeat_due_in_s: f64,
    /// Reservations that the machine is held for, one bit each; 0 if it is not reserved.
    pub reservations: u64,
    /// Range of the machine's cached images in `CandidateSlots::images`.
    images: (usize, usize),
    /// Images that the machine is fetching.
    fetching: Vec<ImageKey>,
}

/// A search that found no slot. Searches with the same filter for at least as large a shape
/// would find none either.
#[derive(Debug, Clone)]
struct FailedSearch {
    filter: MachineFilter,
    shape: Shape,
}

/// Most failed searches kept. No kept search covers another one (each has a different
/// filter, or is smaller in some resource), so a few cover thousands of jobs.
const MAX_FAILED_SEARCHES: usize = 64;

/// Whether `a` is no larger than `b` in any resource. Unlike [`Shape::fits_in`], the
/// comparison allows no rounding error: a shape that is larger by a rounding error may fit
/// where the other shape does not.
fn is_no_larger(a: &Shape, b: &Shape) -> bool {
    a.elementwise_min(b) == *a
}

/// The machines with free capacity in one cycle slice. Capacity only shrinks during the
/// slice, so a search that failed once would fail again.
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
    /// Creates an empty set.
    pub fn new() -> CandidateSlots<M> {
        CandidateSlots {
            slots: Vec::new(),
            zones: Vec::new(),
            images: Vec::new(),
            failed_searches: Vec::new(),
            examined: 0,
        }
    }

    /// Adds a machine. `images` are the images in the machine's cache; images that the
    /// machine is fetching are added with [`CandidateSlots::add_fetching`]. Among machines
    /// of equal cost, the one added first is preferred.
    pub fn push(&mut self, machine: M, info: SlotInfo<'_>, images: &[ImageKey]) {
        let zone = match self.zones.iter().position(|z| z == info.zone) {
            Some(zone) => zone,
            None => {
                self.zones.push(info.zone.to_owned());
                self.zones.len() - 1
            }
        };
        let start = self.images.len();
        self.images.extend_from_slice(images);
        self.slots.push(CandidateSlot {
            machine,
            type_index: info.type_index,
            zone,
            spot: info.spot,
            free: info.free,
            heartbeat_due_in_s: info.heartbeat_due_in_s,
            reservations: info.reservations,
            images: (start, self.images.len()),
            fetching: Vec::new(),
        });
    }

    /// Adds an image that the most recently added machine is fetching.
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

    /// The zone of the machine at this index.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[self.slots[index].zone]
    }

    /// Whether the machine has the image, and whether it is fetching the image.
    pub fn image(&self, index: usize, image: ImageKey) -> (bool, bool) {
        let slot = &self.slots[index];
        let cached = self.images[slot.images.0..slot.images.1].contains(&image);
        (cached, !cached && slot.fetching.contains(&image))
    }

    /// Number of slots examined so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Whether an earlier search has shown that no slot fits this shape. True only if
    /// [`CandidateSlots::fitting`] would return an empty list.
    pub fn cannot_fit(&self, filter: &MachineFilter, shape: &Shape) -> bool {
        self.failed_searches
            .iter()
            .any(|search| is_no_larger(&search.shape, shape) && search.filter == *filter)
    }

    /// Indices of the slots that match the filter and fit a task of this shape, in the
    /// order in which the machines were added. `allowed` excludes machines for reasons
    /// specific to the job, so a search that `allowed` made fail is not recorded as failed.
    pub fn fitting(
        &mut self,
        filter: &MachineFilter,
        shape: &Shape,
        mut allowed: impl FnMut(&M) -> bool,
    ) -> Vec<usize> {
        self.examined += self.slots.len() as u64;
        let (mut found, mut excluded) = (Vec::new(), false);
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
                excluded = true;
            }
        }
        if found.is_empty() && !excluded {
            self.record_failed_search(filter, shape);
        }
        found
    }

    /// Records that a search by the caller found no slot for this filter and shape.
    pub fn record_failed_search(&mut self, filter: &MachineFilter, shape: &Shape) {
        self.failed_searches
            .retain(|search| search.filter != *filter || !is_no_larger(shape, &search.shape));
        if self.failed_searches.len() < MAX_FAILED_SEARCHES {
            self.failed_searches.push(FailedSearch {
                filter: filter.clone(),
                shape: *shape,
            });
        }
    }

    /// Excludes the machine from all further placement in this slice.
    pub fn close(&mut self, index: usize) {
        let free = &mut self.slots[index].free;
        *free = free
            .elementwise_min(&Shape::default())
            .plus(&Shape::uniform(1.0), -1.0);
    }

    /// Places `times` tasks of this shape on the machine, which will fetch their image.
    pub fn take(&mut self, index: usize, shape: &Shape, times: u32, image: ImageKey) {
        let slot = &mut self.slots[index];
        slot.free.add(shape, -f64::from(times));
        if !slot.fetching.contains(&image) {
            slot.fetching.push(image);
        }
    }
}
