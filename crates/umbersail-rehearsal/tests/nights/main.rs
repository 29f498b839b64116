//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod all_away;
mod gap;
mod hand_overs;
mod harness;
mod held_commands;
mod late_writes;
mod leader_cut;
mod lost_answers;
mod many_leaders;
mod old_reports;
mod pairs;
mod small_arrays;
mod unreachable;
mod whole;
