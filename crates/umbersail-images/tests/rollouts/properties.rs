//! Invariants that hold under random sequences of events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use umbersail_images::{Decision, ImageCounts, Settings};

use crate::fleet::{Fleet, machine, settings};

proptest! {
    /// Under any sequence of requests, completions, removed machines and unreachable
    /// machines: no source serves more fetches than the limit, every source is usable
    /// and has or fetches the image, sources form no cycle, and no store slot leaks.
    #[test]
    fn uploads_are_bounded_and_sources_form_no_cycle(
        steps in prop::collection::vec((0usize..6, 0usize..60, 0usize..2), 1..400),
        serve_partial in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(Settings { serve_partial, ..settings(true) });
        let images = ["weights", "other"];
        // The sources of each fetch in progress.
        let mut sources_of: BTreeMap<(usize, usize), Vec<String>> = BTreeMap::new();
        let mut complete: BTreeSet<(usize, usize)> = BTreeSet::new();
        let mut now = 0.0;
        for (step, n, i) in steps {
            now += 1.0;
            let key = (n, i);
            match step {
                0 | 1 => {
                    let requested = sources_of.contains_key(&key) || complete.contains(&key);
                    let decision = fleet.request_image(now, images[i], n, i as u8);
                    if let Decision::Start { sources } = decision && !requested {
                        prop_assert!(sources.len() <= 4);
                        for source in &sources {
                            prop_assert!(!fleet.unreachable.contains(source));
                            let from = (source[5..].parse().unwrap(), i);
                            prop_assert!(complete.contains(&from) || (serve_partial && sources_of.contains_key(&from)));
                            // No direct or indirect source depends on this fetch.
                            let mut pending = vec![from];
                            while let Some(at) = pending.pop() {
                                prop_assert!(at != key);
                                let upstream = sources_of.get(&at).into_iter().flatten();
                                pending.extend(upstream.map(|m| (m[5..].parse().unwrap(), i)));
                            }
                        }
                        sources_of.insert(key, sources);
                    }
                }
                2 => if sources_of.remove(&key).is_some() {
                    fleet.observe_cached_image(now, images[i], n);
                    complete.insert(key);
                },
                3 => {
                    // The machine no longer serves fetches that were assigned to it before.
                    fleet.view.remove_machine(&machine(n));
                    for sources in sources_of.values_mut() {
                        sources.retain(|source| *source != machine(n));
                    }
                    for i in 0..2 {
                        sources_of.remove(&(n, i));
                        complete.remove(&(n, i));
                    }
                }
                4 => {
                    fleet.unreachable.insert(machine(n));
                }
                _ => {
                    fleet.unreachable.remove(&machine(n));
                    fleet.view.observe_heartbeat(&machine(n));
                }
            }
            let mut uploads: BTreeMap<&String, u32> = BTreeMap::new();
            for source in sources_of.values().flatten() {
                *uploads.entry(source).or_default() += 1;
            }
            prop_assert!(uploads.values().all(|n| *n <= 5));
        }
        for n in 0..60 {
            fleet.view.remove_machine(&machine(n));
        }
        for image in images {
            prop_assert_eq!(fleet.view.counts(&image), ImageCounts::default());
        }
        fleet.unreachable.clear();
        let from_store = (0..40).filter(|n| fleet.start(now + 100.0, *n) == Some(vec![])).count();
        prop_assert!(from_store >= 8, "{}", from_store);
    }
}
