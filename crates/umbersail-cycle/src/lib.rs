//! Data structures that keep a scheduling cycle's cost in proportion to what changed: slots
//! with free capacity, jobs whose tasks may be evicted, and the rest of an interrupted cycle.
//!
//! Pure state without I/O or a clock. The crate decides neither the priority order nor
//! placements nor evictions; that is the task of `umbersail-policy`. It only avoids searches
//! that would find nothing.
//!
//! ```
//! use umbersail_cycle::{ImageKey, CandidateSlots, MachineFilter, SlotInfo};
//! use umbersail_policy::Shape;
//!
//! let shape = |cpus| Shape { cpus, gpus: 0.0, memory_gb: 1.0, task_entries: 1.0 };
//! let mut slots: CandidateSlots<&str> = CandidateSlots::new();
//! slots.push("m1", SlotInfo { type_index: 0, zone: "a", spot: true, free: shape(8.0), heartbeat_due_in_s: 0.4, reservations: 0 }, &[]);
//!
//! let any = MachineFilter { types: vec![true], zone: None, spot: true, reservations: 0 };
//! assert_eq!(slots.fitting(&any, &shape(6.0), |_| true), [0]);
//! slots.take(0, &shape(6.0), 1, ImageKey::of("img-07"));
//! assert!(slots.fitting(&any, &shape(4.0), |_| true).is_empty());
//! // The failed search rules out all tasks of 4 CPUs or more with this filter.
//! assert!(slots.cannot_fit(&any, &shape(5.0)));
//! assert!(!slots.cannot_fit(&any, &shape(2.0)));
//! ```
#![deny(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod cheapest;
mod preemptible;
mod queue;
mod rankings;
mod slots;

pub use cheapest::CheapestFirst;
pub use preemptible::{PreemptibleJobs, PreemptionClass};
pub use queue::{CycleQueue, StepBudget};
pub use rankings::Rankings;
pub use slots::{CandidateSlot, CandidateSlots, MachineFilter, SlotInfo};

/// An image name, hashed to eight bytes with XXH3. Placement compares image names with every
/// machine's cached images thousands of times in a cycle. If two names collide, the only effect
/// is a needless fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u64);

impl ImageKey {
    /// The key of an image's name.
    pub fn of(name: &str) -> ImageKey {
        ImageKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
