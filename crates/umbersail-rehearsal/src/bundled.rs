//! Scenarios that are part of the program, named by load and fault.

/// A bundled scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bundled {
    /// Name of the scenario.
    pub name: &'static str,
    /// Name in the previous release, accepted as an alias.
    pub former_name: &'static str,
    /// Text of the scenario file.
    pub text: &'static str,
}

macro_rules! bundled {
    ($($former:literal => $name:literal;)*) => {
        /// All bundled scenarios.
        pub const BUNDLED: &[Bundled] = &[
            $(Bundled {
                name: $name,
                former_name: $former,
                text: include_str!(concat!("../scenarios/", $name, ".toml")),
            },)*
        ];
    };
}

bundled! {
    "carnival-week" => "nightly-batch";
    "perthshire-sale" => "burst-before-deadline";
    "carnival-fleet" => "large-fleet-zone-outage-then-burst";
    "sale-fleet" => "large-fleet-zone-dark-all-restart";
    "weights-wave" => "image-rollout-leader-crashes";
    "power-cut-south" => "zone-power-loss-cold-caches";
    "guests-in-the-dark" => "best-effort-silent-controllers";
    "mistakes-and-guests" => "failing-jobs-faulty-machines";
    "changing-hands" => "leader-changes-in-outages";
    "editions-by-the-hour" => "calendar-runs-leader-changes";
    "echoes-at-the-mill" => "unreachable-machines-late-copies";
    "unheard-fleet" => "large-fleet-isolated-leaders";
    "bottling-dawn" => "zones-lose-each-other";
}

/// Returns the text of the bundled scenario with this name or former name.
pub fn bundled(name: &str) -> Option<&'static str> {
    let is_it = |scenario: &&Bundled| scenario.name == name || scenario.former_name == name;
    BUNDLED.iter().find(is_it).map(|scenario| scenario.text)
}

#[cfg(test)]
mod tests;
