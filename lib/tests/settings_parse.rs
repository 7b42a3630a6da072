//! Settings: an invalid value must be rejected with a message that says how to correct it.

use std::{collections::HashMap, ffi::OsString, fs, path::Path, time::Duration};

use snipepond::settings::{
    GatewayCommand, GatewayOptions, ROUTER_SETTINGS, RouterCommand, RouterSettings, SettingsError,
    ValueOrigin, env_var_name,
};

const REQUIRED_ARGS: [&str; 6] =
    ["--host", "h1", "--data-centre", "a", "--platform", "http://127.0.0.1:9000/"];

fn parse(args: &[&str], env: &[(&str, &str)]) -> Result<RouterCommand, SettingsError> {
    let env: HashMap<String, OsString> =
        env.iter().map(|(name, value)| ((*name).to_owned(), (*value).into())).collect();
    RouterSettings::parse(args, |name| env.get(name).cloned())
}

fn run(args: &[&str], env: &[(&str, &str)]) -> RouterSettings {
    match parse(args, env) {
        Ok(RouterCommand::Run(settings)) => *settings,
        other => panic!("expected settings, got {other:?}"),
    }
}

/// A default that differs from the documented one would change the behaviour of a running fleet
/// when it is updated.
#[test]
fn defaults_are_the_documented_ones() {
    let settings = run(&REQUIRED_ARGS, &[]);
    assert_eq!(settings.platform, "http://127.0.0.1:9000");
    assert_eq!(settings.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.admin_listen.to_string(), "127.0.0.1:8081");
    assert_eq!(settings.takeover_wait(), Duration::from_secs(17));
    assert_eq!(
        (settings.max_connections, settings.max_active, settings.max_queued),
        (2048, 1024, 2048)
    );
    assert_eq!(settings.max_body_bytes, 1_048_576);
    assert_eq!(settings.header_timeout, Duration::from_secs(10));
    assert_eq!(settings.body_timeout, Duration::from_secs(30));
    assert_eq!(settings.drain_timeout, Some(Duration::from_secs(600)));
    assert_eq!(settings.log, "info");
}

/// An environment variable must not override a flag of the command line.
#[test]
fn a_flag_wins_over_the_variable() {
    let env = [("SNIPEPOND_HOST", "env-host"), ("SNIPEPOND_MAX_QUEUED", "7")];
    let settings = run(&REQUIRED_ARGS, &env);
    assert_eq!(settings.host.as_str(), "h1");
    assert_eq!(settings.max_queued, 7);
    let args = [&REQUIRED_ARGS[..], &["--drain-timeout-ms=0"]].concat();
    assert_eq!(run(&args, &[]).drain_timeout, None);
}

/// An error must name the setting, the rejected value and the allowed values.
#[test]
fn errors_name_the_setting_and_the_value() {
    let cases = [
        ("host", "a b"),
        ("host", ""),
        ("data-centre", "a/b"),
        ("listen", "localhost:80"),
        ("admin-listen", "127.0.0.1:8080"),
        ("platform", "https://127.0.0.1:1"),
        ("platform", "http://platform:1"),
        ("platform", "http://127.0.0.1:1/?x"),
        ("validity-ms", "0"),
        ("list-lag-ms", "86400001"),
        ("margin-ms", "-1"),
        ("max-connections", "0"),
        ("max-active", "99999"),
        ("max-queued", "+1"),
        ("max-body-bytes", "1 MiB"),
        ("header-timeout-ms", "1.5"),
        ("body-timeout-ms", "18446744073709551616"),
        ("drain-timeout-ms", ""),
        ("log", "a=b=c"),
    ];
    for (name, value) in cases {
        let flag = format!("--{name}={value}");
        let args = [&REQUIRED_ARGS[..], &[flag.as_str()]].concat();
        let error = parse(&args, &[]).expect_err(&flag);
        let text = error.to_string();
        assert!(text.contains(&format!("--{name}")), "{text}");
        assert!(text.contains(&format!("{value:?}")), "{text}");
        assert!(text.contains("allowed: "), "{text}");
    }
    let error = parse(&REQUIRED_ARGS, &[("SNIPEPOND_MAX_ACTIVE", "x")]).unwrap_err();
    assert!(matches!(error, SettingsError::Invalid { origin: ValueOrigin::Environment, .. }));
    assert!(error.to_string().contains("SNIPEPOND_MAX_ACTIVE"));
}

/// A required setting that is missing must be an error and must not get a default.
#[test]
fn required_settings_have_no_default() {
    for name in ["host", "data-centre", "platform"] {
        let flag = format!("--{name}");
        let position = REQUIRED_ARGS.iter().position(|it| *it == flag).unwrap();
        let mut args = REQUIRED_ARGS.to_vec();
        args.drain(position..position + 2);
        let text = parse(&args, &[]).unwrap_err().to_string();
        assert!(text.contains(&flag), "{text}");
        assert!(text.contains(&env_var_name(name)), "{text}");
    }
}

/// A misspelt flag must be an error and must not be ignored.
#[test]
fn unknown_arguments_are_rejected() {
    for args in [&["--hots", "x"][..], &["extra"], &["-x"], &["--host"]] {
        let error = parse(args, &[]).unwrap_err();
        assert!(matches!(error, SettingsError::Usage { .. }), "{error}");
    }
}

/// The help text must contain every setting with its unit and default.
#[test]
fn help_lists_every_setting() {
    let Ok(RouterCommand::PrintHelp(text)) = parse(&["--help"], &[]) else {
        panic!("--help must print the help text");
    };
    for spec in ROUTER_SETTINGS {
        let line = text
            .lines()
            .find(|it| it.trim_start().starts_with(&format!("--{} ", spec.name)))
            .unwrap_or_else(|| panic!("{} is missing", spec.name));
        assert!(line.contains(&format!("[unit: {}]", spec.unit)), "{line}");
        let default = spec.default.unwrap_or("required");
        assert!(line.contains(&format!("[default: {default}]")), "{line}");
    }
    assert!(matches!(
        parse(&["--version"], &[]),
        Ok(RouterCommand::PrintVersion(text)) if text.starts_with("snipepond-router ")
    ));
}

/// The operations page must contain every setting with its unit and default.
#[test]
fn the_operations_page_lists_every_setting() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).unwrap();
    for spec in ROUTER_SETTINGS {
        let default = spec.default.unwrap_or("required");
        let row = format!("| `{}` | {} | {default} |", spec.name, spec.unit);
        assert!(page.contains(&row), "{row} is missing");
    }
}

fn parse_gateway(name: &str, value: &str) -> Result<GatewayCommand, SettingsError> {
    let mut args = vec!["--host", "h1", "--data-centre", "a"];
    for address in ["--listen", "--ready-listen", "--peer-listen", "--metrics-listen", "--store"] {
        args.extend([address, "127.0.0.1:9000"]);
    }
    args.extend([name, value]);
    GatewayOptions::parse(args, |_| None)
}

/// Guards against a value out of range that is changed silently: a bandwidth below 1 became 0, and a
/// time above a day became a day.
#[test]
fn gateway_rejects_values_out_of_range() {
    let cases = [
        ("--bandwidth-mbps", "1", "0.5"),
        ("--bandwidth-mbps", "1000.0", "NaN"),
        ("--stop-limit-s", "86400", "86400.5"),
        ("--retry-window-s", "0.5", "-1"),
        ("--retry-window-s", "10", "inf"),
        ("--max-response-kb", "1", "0"),
        ("--response-memory-kb", "1048576", "1048577"),
    ];
    for (name, valid, invalid) in cases {
        assert!(matches!(parse_gateway(name, valid), Ok(GatewayCommand::Run(_))), "{name} {valid}");
        let error = parse_gateway(name, invalid).unwrap_err().to_string();
        assert!(error.contains(name) && error.contains(invalid), "{error}");
    }
}
