//! The image cache of a machine.

use std::collections::BTreeMap;

use crate::fetch::ActiveFetch;

/// State of an image in a machine's cache.
#[derive(Debug, Clone)]
pub(crate) enum CachedImage<M> {
    /// The machine has the whole image.
    Complete,
    /// The machine is fetching the image.
    Partial(ActiveFetch<M>),
}

impl<M> CachedImage<M> {
    /// Distance from a complete copy, in hops; 0 for a complete copy.
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

/// The images of a machine and its uploads to other machines.
#[derive(Debug, Clone)]
pub(crate) struct MachineCache<M, I: Ord> {
    pub zone: String,
    /// Distinguishes this cache from the cache of an earlier machine with the same
    /// name.
    pub generation: u64,
    /// Number of fetches in progress that the machine serves.
    pub uploads: u32,
    /// Whether the machine was found unusable as a source. The next heartbeat of the
    /// machine clears this flag.
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
