//! The record of a case: one line for each thing that was sent, answered or run.

use std::{
    fs::File,
    io::{self, Write},
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Writes lines with the time since the start of the case.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }
}
