//! Model checker of the failover protocol: an exhaustive search up to limits.
//!
//! The model has three controllers, two machines, one task and the state service.
//! Controllers elect a leader, write records, launch the task, request agreement, agree,
//! crash, restart, exchange hello messages, and reply to heartbeats while they are isolated.
//! Machines send no heartbeat for a lease duration, and heartbeats are duplicated. In no order
//! of these steps may the task be started on one machine while it runs on the other.
//!
//! A request for agreement, the agreement, the arrival of the agreement's reply, and a
//! hello message are separate steps. A write that received no reply may be applied after newer
//! writes. What a controller knows about unrecorded starts (tasks started without a record in
//! the state service) is kept by the production type `DegradedModeMemory`. The search must also
//! find each fault that is injected into the protocol.

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
