//! Cancellation of routines and of futures with a timeout.

use std::cell::Cell;
use std::rc::Rc;

use umbersail_runtime::{Runtime, sleep, spawn, timeout};

#[test]
fn cancelling_a_routine_cancels_its_children() {
    let steps = Rc::new(Cell::new(0));
    Runtime::new()
        .unwrap()
        .block_on(async move {
            let child_steps = steps.clone();
            let parent = spawn(async move {
                spawn(async move {
                    loop {
                        child_steps.set(child_steps.get() + 1);
                        sleep(0.002).await;
                    }
                });
                sleep(60.0).await;
            });
            sleep(0.02).await;
            assert!(steps.get() > 1);
            parent.cancel();
            let at_cancel = steps.get();
            sleep(0.02).await;
            assert_eq!(steps.get(), at_cancel);
        })
        .unwrap();
}

#[test]
fn a_timeout_drops_the_future() {
    struct SetOnDrop(Rc<Cell<bool>>);
    impl Drop for SetOnDrop {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let dropped = Rc::new(Cell::new(false));
    let guard = SetOnDrop(dropped.clone());
    let result = Runtime::new()
        .unwrap()
        .block_on(timeout(0.01, async move {
            let _guard = guard;
            sleep(60.0).await;
        }))
        .unwrap();
    assert!(result.is_err() && dropped.get());
}
