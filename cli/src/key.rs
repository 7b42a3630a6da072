//! `snipepond key hash`: prints the hash of an API key for the catalogue.
//!
//! The key is read from standard input, because arguments show up in process lists and shell
//! histories.

use std::io::Read;

use serde::Serialize;
use snipepond::catalogue::KeyHash;

use crate::command::{CommandError, CommandIo, CommandResult, ExitStatus, print_help};

/// Longest API key; routers limit a request head, which contains the key, to 16 KiB.
const MAX_KEY_BYTES: u64 = 4_096;

/// Output with `--json`.
#[derive(Serialize)]
struct HashReport {
    sha256: String,
}

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let (mut action, mut json) = (None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("help") => return print_help(io),
            lexopt::Arg::Long("json") => json = true,
            lexopt::Arg::Value(name) if action.is_none() && name == "hash" => action = Some(()),
            // The argument may be a key given by mistake, so the message does not contain it.
            _ => {
                return Err(CommandError::Usage(
                    "unexpected argument; the key is read from standard input".to_owned(),
                ));
            }
        }
    }
    action.ok_or_else(|| CommandError::Usage("key needs the action hash".to_owned()))?;
    let mut text = String::new();
    (&mut *io.input).take(MAX_KEY_BYTES + 2).read_to_string(&mut text)?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    let length = key.len() as u64;
    let allowed =
        (1..=MAX_KEY_BYTES).contains(&length) && key.bytes().all(|b| b.is_ascii_graphic());
    if !allowed {
        // Routers read the key from a request header, which cannot contain such a key.
        return Err(CommandError::Failed(format!(
            "the key must be 1 to {MAX_KEY_BYTES} visible ASCII characters on one line"
        )));
    }
    let report = HashReport { sha256: KeyHash::of(key).to_string() };
    if json {
        io.write_json(&report)?;
    } else {
        writeln!(io.output, "{}", report.sha256)?;
    }
    Ok(ExitStatus::Success)
}
