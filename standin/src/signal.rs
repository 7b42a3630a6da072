//! Signals to child processes.

use std::{io, process::Child};

/// A signal for a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Requests a graceful shutdown (`SIGTERM`).
    Terminate,
    /// Ends the process immediately (`SIGKILL`).
    Kill,
    /// Pauses the process (`SIGSTOP`).
    Stop,
    /// Resumes a paused process (`SIGCONT`).
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
        // SAFETY: `kill` takes no pointers. The id belongs to a child that has not been waited for,
        // so it cannot have been reused for another process.
        match unsafe { libc::kill(id, number) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
