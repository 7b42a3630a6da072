//! The configuration of a process. Accepted revisions only increase, and each revision is accepted
//! or rejected as a whole.

mod entry_log;
mod tracker;

pub use self::{
    entry_log::{ConfigChange, EntryChange, EntryLog},
    tracker::{ChangeOutcome, ConfigTracker},
};
