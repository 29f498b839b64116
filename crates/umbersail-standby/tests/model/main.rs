//! Exhaustive search of the takeover protocol, up to limits.
//!
//! The model has three controllers, two machines, one task and the state service.
//! Controllers elect, write, launch, ask, agree, crash, restart, hear of each other
//! and reply while isolated; machines fall silent for a lease; reports are
//! duplicated. In no order of these steps may the task be started on one machine
//! while it runs on the other. Requests for agreement, the agreement, the arrival of
//! its reply and greetings are separate steps, and a write without a reply may be
//! applied after newer ones. What controllers know of unrecorded starts is kept by
//! the real `DegradedModeRecord`. Each injected fault must be found.

mod degraded_mode;
mod election;
mod fault;
mod late_writes;
mod leader;
mod memory;
mod search;
mod searches;
mod state;
mod steps;
mod symmetry;
mod time;
