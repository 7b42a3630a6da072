//! The command table, its dispatch, and the types that all commands share.

use std::{
    ffi::OsString,
    fmt,
    io::{self, Read, Write},
};

use serde::Serialize;

use crate::{check, demo, explain, key, slo, status};

/// Exit status of the `snipepond` process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command failed, or the catalogue was rejected.
    Failure,
    /// The command line is invalid, or a file cannot be read.
    Usage,
}

impl ExitStatus {
    /// Returns the number that the process exits with.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
        }
    }
}

/// Why a command ended without a result.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is invalid, or a file cannot be read; the exit status is 2.
    Usage(String),
    /// The command failed; the exit status is 1.
    Failed(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) => write!(f, "{reason}; see snipepond help"),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for CommandError {}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> Self {
        Self::Failed(format!("input or output failed: {error}"))
    }
}

/// Streams that a command reads from and writes to; standard streams in the `snipepond` process.
pub struct CommandIo<'a> {
    /// Input, such as the API key that `snipepond key hash` reads.
    pub input: &'a mut dyn Read,
    /// Results of the command.
    pub output: &'a mut dyn Write,
    /// Error messages.
    pub errors: &'a mut dyn Write,
}

impl CommandIo<'_> {
    /// Writes a result as indented JSON.
    pub(crate) fn write_json(&mut self, value: &impl Serialize) -> Result<(), CommandError> {
        let text = serde_json::to_string_pretty(value)
            .map_err(|error| CommandError::Failed(format!("result is not JSON: {error}")))?;
        Ok(writeln!(self.output, "{text}")?)
    }
}

/// Runs a command; the parser is positioned after the name of the command.
type CommandRunner = fn(&mut lexopt::Parser, &mut CommandIo<'_>) -> CommandResult;

pub(crate) type CommandResult = Result<ExitStatus, CommandError>;

struct CommandSpec {
    name: &'static str,
    usage: &'static str,
    summary: &'static str,
    run: CommandRunner,
}

/// All commands, in the order in which the help text lists them.
const COMMANDS: &[CommandSpec] = &[
    CommandSpec {
        name: "demo",
        usage: "demo",
        summary: "run two routers with stand-ins in one process and show what they decide",
        run: demo::run,
    },
    CommandSpec {
        name: "check",
        usage: "check FILE [--json]",
        summary: "check a catalogue: a JSON object of entry key to value",
        run: check::run,
    },
    CommandSpec {
        name: "status",
        usage: "status --router URL [--json]",
        summary: "show the state of a router",
        run: status::run,
    },
    CommandSpec {
        name: "explain",
        usage: "explain --router URL (--model M [--chat C] | --path P --method M) [--team T] [--json]",
        summary: "show where a router would send a request, and why",
        run: explain::run,
    },
    CommandSpec {
        name: "slo",
        usage: "slo --router URL [--router URL]... [--json]",
        summary: "show the burn report, added up over the routers given",
        run: slo::run,
    },
    CommandSpec {
        name: "key",
        usage: "key hash [--json]",
        summary: "read a key from standard input and print its SHA-256 for the catalogue",
        run: key::run,
    },
];

/// Runs the command that `args` name and returns its exit status.
///
/// `args` start after the program name. An error is written to `io.errors`.
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString>>,
    io: &mut CommandIo<'_>,
) -> ExitStatus {
    let args: Vec<OsString> = args.into_iter().map(Into::into).collect();
    let mut parser = lexopt::Parser::from_args(args);
    let result = dispatch(&mut parser, io).and_then(|status| {
        io.output.flush()?;
        Ok(status)
    });
    match result {
        Ok(status) => status,
        Err(error) => {
            // If the error stream itself fails, there is no other stream to report to.
            let _ = writeln!(io.errors, "snipepond: {}", escape_control_chars(&error.to_string()));
            match error {
                CommandError::Usage(_) => ExitStatus::Usage,
                CommandError::Failed(_) => ExitStatus::Failure,
            }
        }
    }
}

fn dispatch(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let name = match parser.next()? {
        Some(lexopt::Arg::Value(name)) => name,
        Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => return print_help(io),
        Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version")) => {
            writeln!(io.output, "snipepond {}", env!("CARGO_PKG_VERSION"))?;
            return Ok(ExitStatus::Success);
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CommandError::Usage("a command is required".to_owned())),
    };
    if name == "help" {
        return print_help(io);
    }
    match COMMANDS.iter().find(|it| name == it.name) {
        Some(command) => (command.run)(parser, io),
        None => Err(CommandError::Usage(format!("unknown command {:?}", name.to_string_lossy()))),
    }
}

/// Writes the usage of all commands.
pub(crate) fn print_help(io: &mut CommandIo<'_>) -> CommandResult {
    writeln!(io.output, "Usage: snipepond COMMAND [ARGUMENTS]\n")?;
    for command in COMMANDS {
        writeln!(io.output, "  snipepond {}\n      {}", command.usage, command.summary)?;
    }
    writeln!(
        io.output,
        "  snipepond help\n      print this text\n\n\
         URL is the administration address of a router, such as http://127.0.0.1:8081.\n\
         --json prints JSON instead of text.\n\
         Exit status: 0 success, 1 failure or rejected catalogue, 2 wrong usage."
    )?;
    Ok(ExitStatus::Success)
}

/// Escapes control characters, so that text from a file or a router stays on one line and cannot
/// send escape sequences to the operator's terminal.
pub(crate) fn escape_control_chars(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}
