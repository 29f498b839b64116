//! What a controller must know to take over at once, and when it may: decisions
//! without I/O and without a clock.

mod remnants;

pub use remnants::{Order, Remnant, Remnants};
