//! Settings of the two small deployments of the brief.

use crate::world::{Breed, Site};

/// The recipe site: its team and its guests, both without a limit, lease of 10 s, reports every second.
pub fn recipes() -> Site {
    Site {
        zones: vec!["north-shed", "south-shed"],
        member_zones: ["north-shed", "south-shed", "north-shed"],
        breeds: vec![
            Breed {
                name: "pot",
                cores: 8.0,
                mem_gb: 32.0,
                rate: 0.53,
                market_price: 0.16,
                startup_s: 2.0,
                pull_gb_per_s: 0.4,
                cache_gb: 60.0,
            },
            Breed {
                name: "cauldron",
                cores: 64.0,
                mem_gb: 256.0,
                rate: 4.11,
                market_price: 1.23,
                startup_s: 2.0,
                pull_gb_per_s: 0.4,
                cache_gb: 70.0,
            },
        ],
        capacity: vec![
            ("pot", "north-shed", false, 4),
            ("pot", "south-shed", false, 4),
            ("pot", "north-shed", true, 13),
            ("pot", "south-shed", true, 13),
            ("cauldron", "north-shed", false, 1),
            ("cauldron", "south-shed", false, 1),
            ("cauldron", "north-shed", true, 1),
            ("cauldron", "south-shed", true, 1),
        ],
        facts: r#"[[facts.teams]]
name = "test-kitchen"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[facts.teams]]
name = "carnival-bakers"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[facts.objectives]]
kind = "deadline"
class = "photo-resize"
share = 0.65
times = 1.0

[[facts.objectives]]
kind = "deadline"
class = "page-rebuild"
share = 0.96
times = 1.0

[[facts.objectives]]
kind = "wait"
class = "page-rebuild"
within_s = 8.0
share = 0.96
"#,
        skew_ms: 1000.0,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        state: (100.0, 25.0, 20, 32),
        cloud_rps: 5.0,
        list_lag_s: 4.0,
        resources: (0.04, 40.0, 600),
    }
}

/// The auctions: three teams with guarantees and limits, lease of 18 s, reports every 2.5 s.
pub fn auctions() -> Site {
    Site {
        zones: vec!["steading", "byre", "hired-shed"],
        member_zones: ["steading", "byre", "steading"],
        breeds: vec![
            Breed {
                name: "quad",
                cores: 4.0,
                mem_gb: 32.0,
                rate: 0.31,
                market_price: 0.11,
                startup_s: 2.0,
                pull_gb_per_s: 0.8,
                cache_gb: 80.0,
            },
            Breed {
                name: "tractor",
                cores: 16.0,
                mem_gb: 32.0,
                rate: 0.93,
                market_price: 0.34,
                startup_s: 2.0,
                pull_gb_per_s: 0.8,
                cache_gb: 40.0,
            },
            Breed {
                name: "combine",
                cores: 64.0,
                mem_gb: 256.0,
                rate: 3.91,
                market_price: 1.31,
                startup_s: 2.0,
                pull_gb_per_s: 0.25,
                cache_gb: 25.0,
            },
        ],
        capacity: vec![
            ("quad", "steading", false, 4),
            ("quad", "steading", true, 5),
            ("quad", "byre", false, 3),
            ("quad", "byre", true, 4),
            ("quad", "hired-shed", false, 3),
            ("quad", "hired-shed", true, 4),
            ("tractor", "steading", false, 1),
            ("tractor", "steading", true, 1),
            ("tractor", "byre", false, 1),
            ("tractor", "byre", true, 1),
            ("tractor", "hired-shed", false, 1),
            ("tractor", "hired-shed", true, 1),
            ("combine", "steading", false, 1),
            ("combine", "steading", true, 1),
            ("combine", "byre", false, 1),
            ("combine", "byre", true, 1),
            ("combine", "hired-shed", false, 1),
            ("combine", "hired-shed", true, 1),
        ],
        facts: r#"[[facts.teams]]
name = "listings"
cpus = 64.0
cpus_max = 192.0
gpus = 0.0
gpus_max = 0.0

[[facts.teams]]
name = "bidding"
cpus = 64.0
cpus_max = 128.0
gpus = 0.0
gpus_max = 0.0

[[facts.teams]]
name = "ledger"
cpus = 80.0
cpus_max = 192.0
gpus = 0.0
gpus_max = 0.0

[[facts.objectives]]
kind = "deadline"
class = "photo-crop"
share = 0.85
times = 1.0

[[facts.objectives]]
kind = "deadline"
class = "catalogue-build"
share = 0.9
times = 1.0

[[facts.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.88
"#,
        skew_ms: 100.0,
        report_s: 2.5,
        lease_s: 18.0,
        cancel_s: 38.0,
        state: (150.0, 50.0, 32, 32),
        cloud_rps: 4.0,
        list_lag_s: 4.0,
        resources: (0.048, 104.0, 1500),
    }
}
