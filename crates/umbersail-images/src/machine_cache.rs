//! The image cache of one machine.

use std::collections::BTreeMap;

use crate::fetch::ActiveFetch;

/// An image in a machine's cache.
#[derive(Debug, Clone)]
pub(crate) enum CachedImage<M> {
    /// All of it.
    Complete,
    /// Still being fetched.
    Partial(ActiveFetch<M>),
}

impl<M> CachedImage<M> {
    /// Distance in hops from a complete copy.
    pub fn hops(&self) -> u32 {
        match self {
            CachedImage::Complete => 0,
            CachedImage::Partial(fetch) => fetch.hops,
        }
    }

    pub fn is_complete(&self) -> bool {
        matches!(self, CachedImage::Complete)
    }
}

/// The images of one machine, and its load as a source.
#[derive(Debug, Clone)]
pub(crate) struct MachineCache<M, I: Ord> {
    pub zone: String,
    /// Distinguishes this cache from that of an earlier machine of the same name.
    pub generation: u64,
    /// Fetches that were directed to it.
    pub uploads: u32,
    /// Found unusable as a source; cleared by its next report.
    pub suspended: bool,
    pub images: BTreeMap<I, CachedImage<M>>,
}

impl<M, I: Ord> MachineCache<M, I> {
    pub fn new(zone: &str, generation: u64) -> MachineCache<M, I> {
        MachineCache {
            zone: zone.to_owned(),
            generation,
            uploads: 0,
            suspended: false,
            images: BTreeMap::new(),
        }
    }
}
