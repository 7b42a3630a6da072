//! Tests of the restart of long-lived tasks.

mod gateway_support;

use std::{cell::Cell, rc::Rc, time::Duration};

use gateway_support::run_local;
use snipepond::gateway::supervise;
use tokio::{task::spawn_local, time::sleep};

/// Guards against a process that runs on without its accept loop or its view of the platform,
/// because an unexpected error ended the task.
#[test]
fn task_that_panics_is_started_again() {
    run_local(async {
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        supervise("test", move || {
            let starts = counted.clone();
            async move {
                starts.set(starts.get() + 1);
                assert!(starts.get() > 2, "an unexpected error");
            }
        })
        .await;
        assert_eq!(starts.get(), 3);
    });
}

/// Guards against a task that runs on after the server that started it is gone.
#[test]
fn aborted_supervision_ends_the_task() {
    run_local(async {
        let steps = Rc::new(Cell::new(0));
        let counted = steps.clone();
        let supervisor = spawn_local(supervise("test", move || {
            let steps = counted.clone();
            async move {
                loop {
                    steps.set(steps.get() + 1);
                    sleep(Duration::from_millis(1)).await;
                }
            }
        }));
        while steps.get() < 3 {
            sleep(Duration::from_millis(1)).await;
        }
        supervisor.abort();
        let _ = supervisor.await;
        let stopped_at = steps.get();
        sleep(Duration::from_millis(20)).await;
        assert_eq!(steps.get(), stopped_at);
    });
}
