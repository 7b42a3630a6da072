//! `snipepond explain`: shows where a router would send a request, and why.

use snipepond::status::{ExplainQuery, ExplainReport, ExplainVerdict, StepOutcome};

use crate::{
    command::{
        CommandError, CommandIo, CommandResult, ExitStatus, escape_control_chars, print_help,
    },
    fetch::{RouterUrl, missing_router_flag},
};

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let (mut router, mut json) = (None, false);
    let mut query = ExplainQuery::default();
    while let Some(arg) = parser.next()? {
        let field = match arg {
            lexopt::Arg::Long("help") => return print_help(io),
            lexopt::Arg::Long("json") => {
                json = true;
                continue;
            }
            lexopt::Arg::Long("router") => {
                router = Some(RouterUrl::from_flag(parser)?);
                continue;
            }
            lexopt::Arg::Long("model") => &mut query.model,
            lexopt::Arg::Long("chat") => &mut query.chat,
            lexopt::Arg::Long("path") => &mut query.path,
            lexopt::Arg::Long("method") => &mut query.method,
            lexopt::Arg::Long("team") => &mut query.team,
            _ => return Err(arg.unexpected().into()),
        };
        let value = parser.value()?.into_string();
        *field = Some(value.map_err(|it| CommandError::Usage(format!("{it:?} is not UTF-8")))?);
    }
    let url = router.ok_or_else(missing_router_flag)?;
    query.check().map_err(|error| CommandError::Usage(error.to_string()))?;
    let report: ExplainReport = url.get(&format!("/explain?{}", query.to_query()))?;
    if json {
        io.write_json(&report)?;
    } else {
        io.output.write_all(to_text(&report).as_bytes())?;
    }
    Ok(ExitStatus::Success)
}

fn to_text(report: &ExplainReport) -> String {
    let mut text = format!(
        "host {}, revision {}\n",
        escape_control_chars(report.host.as_str()),
        report.revision
    );
    for step in &report.steps {
        let outcome = match step.outcome {
            StepOutcome::Passed => "passed",
            StepOutcome::Refused => "refused",
            StepOutcome::Skipped => "skipped",
        };
        text.push_str(&format!(
            "  {outcome:<7}  {}: {}\n",
            escape_control_chars(&step.name),
            escape_control_chars(&step.detail)
        ));
    }
    let verdict = match &report.verdict {
        ExplainVerdict::Dispatch { upstream } => format!("dispatch to upstream {upstream}"),
        ExplainVerdict::Queue { reason } => format!("wait in the queue: {reason}"),
        ExplainVerdict::Forward { host } => format!("forward to host {host}"),
        ExplainVerdict::Refuse { reason } => format!("refuse: {reason}"),
    };
    text.push_str(&format!("verdict: {}\n", escape_control_chars(&verdict)));
    text
}
