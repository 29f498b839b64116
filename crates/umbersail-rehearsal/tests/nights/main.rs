//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod gap;
mod harness;
mod held_commands;
mod late_writes;
mod old_reports;
mod unreachable;
mod whole;
