//! Records, and taking over from a predecessor.

use umbersail_images::{CacheView, ImageRecord};

use crate::fleet::{Fleet, machine, settings};

#[test]
fn a_successor_adopts_fetches_and_counts_recorded_store_fetches() {
    let mut fleet = Fleet::new(settings(true));
    for n in 0..200 {
        fleet.start(0.0, n).unwrap();
    }
    // Two changes of leader during one rollout.
    for round in 1..3 {
        let at = 10.0 * f64::from(round);
        let records = fleet.view.records(|i| (*i).to_owned(), String::clone);
        let mut successor = Fleet::new(settings(true));
        let record = &records["weights"];
        successor
            .view
            .restore(at, "weights", record, |m| m.to_owned());
        // A new machine asks before the others have reported.
        let store_left = successor.start(at, 900 + round as usize);
        assert_eq!(store_left, None);
        for n in 0..200 {
            successor.report_fetching(at + 1.0, n);
        }
        let fetching = successor.view.counts(&"weights").fetching;
        assert_eq!((fetching, successor.store_fetches()), (200, 8));
        assert!(!successor.start(at + 1.0, 500).unwrap().is_empty());
        // A launch that is sent again is decided as before.
        assert_eq!(successor.view.counts(&"weights").fetching, 201);
        successor.view.remove(&"weights", &machine(500));
        fleet = successor;
    }
}

#[test]
fn invalid_records_are_rejected_with_a_reason() {
    let good = ImageRecord {
        image: "weights".into(),
        gb: 40.0,
        from_store: vec![],
        store_gb_s: Some(f64::NAN),
        handed_gb_s: None,
    };
    assert_eq!(good.check(), Ok(()));
    let mut view: CacheView<String, &str> = CacheView::new(settings(true));
    view.restore(0.0, "weights", &good, |m| m.to_owned());
    assert_eq!(view.rates().store_gb_s(), None);
    let bad = [
        ImageRecord {
            image: String::new(),
            ..good.clone()
        },
        ImageRecord {
            gb: f64::INFINITY,
            ..good.clone()
        },
        ImageRecord {
            from_store: vec!["m".into(); 65],
            ..good
        },
    ];
    assert!(bad.iter().all(|record| record.check().is_err()));
}
