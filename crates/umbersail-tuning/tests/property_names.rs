//! The keys of properties in operators' files must not change when the fields of `Tuning` are
//! renamed. `property_names.txt` lists the keys of the build in production.

use umbersail_tuning::CONSTANTS;

#[test]
fn every_property_key_of_the_build_in_production_is_known() {
    let known: Vec<&str> = CONSTANTS.iter().map(|constant| constant.key).collect();
    let missing: Vec<&str> = include_str!("property_names.txt")
        .lines()
        .filter(|name| !known.contains(name))
        .collect();
    assert!(missing.is_empty(), "unknown now: {missing:?}");
}
