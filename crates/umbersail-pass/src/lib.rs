//! What a placement pass looks at, so that it costs what changed: places with
//! room, who may lose a task, and what is left of a pass that was cut short.
//!
//! Pure state, no I/O and no clock. Nothing here decides who goes first, where a
//! task goes or who is evicted; that is `umbersail-policy`. What is kept here
//! only spares it looks that would find nothing.
//!
//! ```
//! use umbersail_pass::{ImageKey, Places, Reach, Spot};
//! use umbersail_policy::Shape;
//!
//! let shape = |cpus| Shape { cpus, gpus: 0.0, memory_gb: 1.0 };
//! let mut places: Places<&str> = Places::new();
//! places.push("m1", Spot { type_index: 0, zone: "a", spot: true, free: shape(8.0), report_in_s: 0.4, pledges: 0 }, &[]);
//!
//! let any = Reach { types: vec![true], zone: None, spot: true, pledges: 0 };
//! assert_eq!(places.fitting(&any, &shape(6.0), |_| true), [0]);
//! places.take(0, &shape(6.0), 1, ImageKey::of("img-07"));
//! assert!(places.fitting(&any, &shape(4.0), |_| true).is_empty());
//! // From here on nobody looks again for 4 CPUs or more within this reach.
//! assert!(places.is_hopeless(&any, &shape(5.0)));
//! assert!(!places.is_hopeless(&any, &shape(2.0)));
//! ```
#![deny(missing_docs)]

mod agenda;
mod cheapest;
mod losers;
mod places;
mod rankings;

pub use agenda::{Agenda, Steps};
pub use cheapest::Cheapest;
pub use losers::{Losers, Standing};
pub use places::{Place, Places, Reach, Spot};
pub use rankings::Rankings;

/// A name of an image in eight bytes: placement compares it with what each
/// machine has, thousands of times in a pass. XXH3 of the name's bytes; two
/// names that collide would cost a needless fetch, nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u64);

impl ImageKey {
    /// The key of an image's name.
    pub fn of(name: &str) -> ImageKey {
        ImageKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
