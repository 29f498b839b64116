//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod cancellations_during_elections;
mod gap;
mod hand_overs;
mod harness;
mod held_commands;
mod late_writes;
mod leader_cut;
mod mute_machines;
mod old_reports;
mod pairs;
mod reports_for_successors;
mod small_arrays;
mod teams_at_limits;
mod unreachable;
mod whole;
mod zones;
