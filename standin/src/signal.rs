//! Signals to child processes.

use std::{io, process::Child};

/// A signal that a test or the demo sends to a process that it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process after a graceful shutdown.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Continue,
}

impl ProcessSignal {
    /// Sends the signal to a child that has not been waited for.
    ///
    /// # Errors
    ///
    /// The process has ended.
    #[allow(unsafe_code, reason = "the standard library sends no signal but SIGKILL")]
    pub fn send(self, child: &Child) -> io::Result<()> {
        let number = match self {
            Self::Terminate => libc::SIGTERM,
            Self::Kill => libc::SIGKILL,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
        };
        let id = libc::pid_t::try_from(child.id()).map_err(io::Error::other)?;
        // SAFETY: `kill` takes no pointers. The id is that of a child that was not waited for, so it
        // cannot belong to another process.
        match unsafe { libc::kill(id, number) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
