//! `snipepond status`: shows the state of a router, its upstreams and its teams.

use snipepond::{
    catalogue::{UpstreamKind, UpstreamState},
    slo::TextTable,
    status::StatusReport,
};

use crate::{
    command::{CommandIo, CommandResult, ExitStatus, escape_control_chars, print_help},
    fetch::{RouterUrl, missing_router_flag},
};

pub(crate) fn run(parser: &mut lexopt::Parser, io: &mut CommandIo<'_>) -> CommandResult {
    let (mut router, mut json) = (None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("help") => return print_help(io),
            lexopt::Arg::Long("json") => json = true,
            lexopt::Arg::Long("router") => router = Some(RouterUrl::from_flag(parser)?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let url = router.ok_or_else(missing_router_flag)?;
    let report: StatusReport = url.get("/status")?;
    if json {
        io.write_json(&report)?;
    } else {
        io.output.write_all(to_text(&report).as_bytes())?;
    }
    Ok(ExitStatus::Success)
}

fn to_text(report: &StatusReport) -> String {
    let config = &report.config;
    let mut text = format!(
        "host {} in data centre {}, incarnation {:016x}\n\
         ready {}, draining {}, in flight {}, queued {}\n\
         host list version {}, view confirmed {}\n\
         configuration: revision {} in force, {} seen\n",
        escape_control_chars(report.host.as_str()),
        escape_control_chars(report.data_centre.as_str()),
        report.incarnation,
        yes_no(report.ready),
        yes_no(report.draining),
        report.in_flight,
        report.queued,
        report.list_version,
        yes_no(report.view_confirmed),
        config.accepted_revision,
        config.seen_revision
    );
    for problem in &config.problems {
        text.push_str(&format!("  rejected: {}\n", escape_control_chars(&problem.to_string())));
    }
    let mut upstreams = TextTable::new(&[
        "UPSTREAM",
        "KIND",
        "DATA CENTRE",
        "STATE",
        "ELIGIBLE",
        "COLD",
        "IN FLIGHT",
        "LOAD",
    ]);
    for upstream in &report.upstreams {
        upstreams.add(vec![
            escape_control_chars(upstream.name.as_str()),
            match upstream.kind {
                UpstreamKind::Engine => "engine",
                UpstreamKind::Service => "service",
            }
            .to_owned(),
            escape_control_chars(upstream.data_centre.as_str()),
            match upstream.state {
                UpstreamState::InService => "in service",
                UpstreamState::Leaving => "leaving",
            }
            .to_owned(),
            yes_no(upstream.eligible).to_owned(),
            yes_no(upstream.cold).to_owned(),
            upstream.in_flight.to_string(),
            format!("{:.0}", upstream.load),
        ]);
    }
    let mut teams = TextTable::new(&["TEAM", "ADMITTED", "REFUSED", "OVER RATE"]);
    for team in &report.teams {
        teams.add(vec![
            escape_control_chars(team.name.as_str()),
            team.admitted.to_string(),
            team.refused.to_string(),
            team.refused_over_rate.to_string(),
        ]);
    }
    for table in [upstreams, teams] {
        if !table.is_empty() {
            text.push('\n');
            text.push_str(&table.to_text());
        }
    }
    text
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
