//! Rollouts of large images: scripted ones, and invariants under random events.

mod fleet;
mod peers;
mod properties;
mod recovery;
mod store;
