//! Operators' files name properties by keys that stay as they are, whatever the fields are
//! called. `property_names.txt` lists those of the build in production.

use umbersail_tuning::CONSTANTS;

#[test]
fn every_property_of_the_build_in_production_is_known_by_its_name() {
    let known: Vec<&str> = CONSTANTS.iter().map(|constant| constant.key).collect();
    let missing: Vec<&str> = include_str!("property_names.txt")
        .lines()
        .filter(|name| !known.contains(name))
        .collect();
    assert!(missing.is_empty(), "unknown now: {missing:?}");
}
