//! Records, and takeover by a new leader.

use umbersail_images::{CacheView, ImageRecord};

use crate::fleet::{Fleet, machine, settings};

#[test]
fn a_new_leader_adopts_fetches_and_counts_recorded_store_fetches() {
    let mut fleet = Fleet::new(settings(true));
    for n in 0..200 {
        fleet.start(0.0, n).unwrap();
    }
    // Two leader changes during the rollout.
    for round in 1..3 {
        let at = 10.0 * f64::from(round);
        let records = fleet.view.records(|i| (*i).to_owned(), String::clone);
        let mut new_leader = Fleet::new(settings(true));
        let record = &records["weights"];
        new_leader
            .view
            .restore(at, "weights", record, |m| m.to_owned());
        // A new machine requests the image before the other machines have sent a
        // heartbeat: the recorded store fetches occupy all slots.
        let decision = new_leader.start(at, 900 + round as usize);
        assert_eq!(decision, None);
        for n in 0..200 {
            new_leader.observe_fetching(at + 1.0, n);
        }
        let fetching = new_leader.view.counts(&"weights").fetching;
        assert_eq!((fetching, new_leader.recorded_store_fetches()), (200, 8));
        assert!(!new_leader.start(at + 1.0, 500).unwrap().is_empty());
        // The started fetch is counted; remove it before the next leader change.
        assert_eq!(new_leader.view.counts(&"weights").fetching, 201);
        new_leader.view.remove_image(&"weights", &machine(500));
        fleet = new_leader;
    }
}

#[test]
fn invalid_records_are_rejected() {
    let valid = ImageRecord {
        image: "weights".into(),
        size_gb: 40.0,
        from_store: vec![],
        store_gb_s: Some(f64::NAN),
        peer_gb_s: None,
    };
    assert_eq!(valid.validate(), Ok(()));
    let mut view: CacheView<String, &str> = CacheView::new(settings(true));
    view.restore(0.0, "weights", &valid, |m| m.to_owned());
    assert_eq!(view.rates().store_gb_s(), None);
    let invalid = [
        ImageRecord {
            image: String::new(),
            ..valid.clone()
        },
        ImageRecord {
            size_gb: f64::INFINITY,
            ..valid.clone()
        },
        ImageRecord {
            from_store: vec!["m".into(); 65],
            ..valid
        },
    ];
    assert!(invalid.iter().all(|record| record.validate().is_err()));
}
