use super::*;

#[test]
fn a_scenario_is_found_by_its_name_and_by_its_former_name() {
    for scenario in BUNDLED {
        assert_eq!(bundled(scenario.name), Some(scenario.text));
        assert_eq!(bundled(scenario.former_name), Some(scenario.text));
    }
    assert_eq!(bundled("unheard-of"), None);
}
