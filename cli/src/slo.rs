//! `snipepond slo`: shows the burn report of one router, or the sum over several routers.

use snipepond::slo::BurnReport;

use crate::{
    command::{
        CommandError, CommandIo, CommandResult, ExitStatus, escape_control_chars, print_help,
    },
    fetch::{RouterUrl, missing_router_flag},
};

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let (mut routers, mut json) = (Vec::new(), false);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("help") => return print_help(io),
            lexopt::Arg::Long("json") => json = true,
            lexopt::Arg::Long("router") => {
                let url = RouterUrl::from_flag(parser)?;
                if routers.contains(&url) {
                    // The events of this router would be counted twice.
                    return Err(CommandError::Usage("a --router is given twice".to_owned()));
                }
                routers.push(url);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if routers.is_empty() {
        return Err(missing_router_flag());
    }
    let (mut reports, mut failures) = (Vec::new(), Vec::new());
    for url in &routers {
        match url.get::<BurnReport>("/slo") {
            Ok(report) => reports.push(report),
            Err(error) => failures.push(error),
        }
    }
    for error in &failures {
        writeln!(io.errors, "snipepond: {}", escape_control_chars(&error.to_string()))?;
    }
    if reports.is_empty() {
        return Ok(ExitStatus::Failure);
    }
    let merged = BurnReport::merge(&reports);
    if json {
        io.write_json(&merged)?;
    } else {
        io.output.write_all(merged.to_text().as_bytes())?;
        writeln!(io.output, "routers: {} of {} answered", reports.len(), routers.len())?;
    }
    Ok(if failures.is_empty() { ExitStatus::Success } else { ExitStatus::Failure })
}
