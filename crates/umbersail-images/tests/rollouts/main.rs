//! Rollouts of large images: scripted scenarios and property tests.

mod fleet;
mod peers;
mod properties;
mod recovery;
mod store;
