//! Identifiers of routines.

/// Identifies a routine: a slab index, and a generation that distinguishes the routines that
/// successively use the same index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutineId {
    pub index: usize,
    pub generation: u64,
}
