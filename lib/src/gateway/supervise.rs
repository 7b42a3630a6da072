//! Restarts tasks that run for the life of the process.

use std::time::Duration;

use tokio::{task::JoinSet, time::sleep};

/// Delay before a task that panicked is started again, so that one that always panics takes little
/// processor time.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task, and starts it again after a panic. Returns when the task returns; dropping the
/// future aborts the task.
///
/// Without this, a panic would end a task such as the accept loop while the process goes on without
/// it. Must be called within a `LocalSet`.
pub async fn supervise<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(start());
        match tasks.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                tracing::error!(task = name, "task_panicked");
                sleep(RESTART_DELAY).await;
            }
            _ => return,
        }
    }
}
