//! Cancellation of routines.

use std::cell::Cell;
use std::rc::Rc;

use umbersail_runtime::{Runtime, sleep, spawn, timeout};

#[test]
fn cancelling_a_routine_cancels_its_children() {
    let count = Rc::new(Cell::new(0));
    let inner = count.clone();
    Runtime::new()
        .unwrap()
        .block_on(async move {
            let child = inner.clone();
            let parent = spawn(async move {
                spawn(async move {
                    loop {
                        child.set(child.get() + 1);
                        sleep(0.002).await;
                    }
                });
                sleep(60.0).await;
            });
            sleep(0.02).await;
            assert!(inner.get() > 1);
            parent.cancel();
            let seen = inner.get();
            sleep(0.02).await;
            assert_eq!(inner.get(), seen);
        })
        .unwrap();
}

#[test]
fn a_timeout_drops_the_future() {
    struct Flag(Rc<Cell<bool>>);
    impl Drop for Flag {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let dropped = Rc::new(Cell::new(false));
    let flag = Flag(dropped.clone());
    let result = Runtime::new()
        .unwrap()
        .block_on(timeout(0.01, async move {
            let _flag = flag;
            sleep(60.0).await;
        }))
        .unwrap();
    assert!(result.is_err() && dropped.get());
}
