//! Logs as one line of `key=value` pairs per event, and metrics in the Prometheus text format.

mod exposition;
mod log;
mod metrics;
mod queue;

pub use self::{
    log::{LineFormat, TelemetryError, init_log, log_subscriber},
    metrics::{
        CONTROL_PURPOSES, ControlPurpose, MetricsError, OTHER_LABEL, RequestLabels, RouterMetrics,
    },
    queue::{LineBuffer, LogQueue, QueueWriter, init_log_queue},
};
