//! Identity of a routine.

/// A slab index, and the generation that tells apart successive users of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutineId {
    pub index: usize,
    pub generation: u64,
}
