//! The `snipepond` command line as a library.
//!
//! `bin/snipepond.rs` only passes the process arguments and standard streams to [`run`].

mod check;
mod command;
mod demo;
mod explain;
mod fetch;
mod key;
mod slo;
mod status;
mod strict_json;

pub use self::command::{CommandError, CommandIo, ExitStatus, run};
