//! `snipepond check`: the check that every router makes, before a catalogue is published.

use std::{fs, path::PathBuf};

use serde::Serialize;
use serde_json::Value;
use snipepond::catalogue::{Catalogue, CatalogueProblem, RawEntries};

use crate::{
    command::{CommandError, CommandIo, CommandResult, ExitStatus, help, printable},
    strict_json::StrictJson,
};

/// Result with `--json`.
#[derive(Serialize)]
struct CheckReport {
    accepted: bool,
    entries: usize,
    problems: Vec<CatalogueProblem>,
}

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let (mut file, mut json) = (None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("help") => return help(io),
            lexopt::Arg::Long("json") => json = true,
            lexopt::Arg::Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let path = file.ok_or_else(|| CommandError::Usage("check needs a FILE".to_owned()))?;
    let text = fs::read_to_string(&path)
        .map_err(|error| CommandError::Usage(format!("cannot read {path:?}: {error}")))?;
    let (entries, result) = match read_entries(&text) {
        // The revision is not part of the file and does not matter for the verdict.
        Ok(entries) => (entries.len(), Catalogue::parse(0, &entries)),
        Err(reason) => return reject_file(io, json, reason),
    };
    let report = CheckReport {
        accepted: result.is_ok(),
        entries,
        problems: result.as_ref().err().map_or_else(Vec::new, |it| it.problems.clone()),
    };
    if json {
        io.write_json(&report)?;
    } else {
        for problem in &report.problems {
            writeln!(io.output, "{}", printable(&problem.to_string()))?;
        }
        if let Ok(catalogue) = &result {
            writeln!(
                io.output,
                "accepted: {entries} entries; {} classes, {} data centres, {} teams, \
                 {} active keys, {} routes, {} upstreams",
                catalogue.classes().len(),
                catalogue.centres().len(),
                catalogue.teams().len(),
                catalogue.active_key_count(),
                catalogue.routes().len(),
                catalogue.upstreams().len()
            )?;
        }
    }
    Ok(if report.accepted { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Reports a file that holds no object of entries.
fn reject_file(io: &mut CommandIo<'_>, json: bool, reason: String) -> CommandResult {
    if json {
        io.write_json(&CheckReport {
            accepted: false,
            entries: 0,
            problems: vec![CatalogueProblem { entry: String::new(), field: String::new(), reason }],
        })?;
    } else {
        writeln!(io.output, "file: {}", printable(&reason))?;
    }
    Ok(ExitStatus::Failure)
}

fn read_entries(text: &str) -> Result<RawEntries, String> {
    let StrictJson(value) = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let Value::Object(map) = value else {
        return Err("expected a JSON object of entry key to value".to_owned());
    };
    Ok(map.into_iter().map(|(key, value)| (key.into(), value.to_string().into())).collect())
}
