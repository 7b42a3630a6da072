//! The accepted configuration: revisions rise, whole catalogues are accepted or rejected.

mod entry_log;
mod tracker;

pub use self::{
    entry_log::{ConfigChange, EntryChange, EntryLog},
    tracker::{ChangeOutcome, ConfigTracker},
};
