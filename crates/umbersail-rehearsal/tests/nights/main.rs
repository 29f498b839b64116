//! Whole nights with real controllers: of all kinds, and one file for each meeting of
//! two troubles.

mod hand_overs;
mod harness;
mod leader_cut;
mod pairs;
mod small_arrays;
mod whole;
