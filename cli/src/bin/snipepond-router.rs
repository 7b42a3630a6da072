//! The router daemon.

use std::{env, io::Write, process::ExitCode, sync::Arc};

use anyhow::{Context, Result};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use snipepond::{
    clock::SystemClock,
    daemon::{RouterDaemon, RouterDependencies},
    peer::HttpPeer,
    platform::HttpPlatform,
    settings::{RouterCommand, RouterSettings},
    telemetry::init_log,
    upstream::HttpUpstream,
};

/// Exit status of a usage error.
const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    let settings = match RouterSettings::parse(env::args_os().skip(1), |name| env::var_os(name)) {
        Ok(RouterCommand::Run(settings)) => *settings,
        Ok(RouterCommand::PrintHelp(text) | RouterCommand::PrintVersion(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("snipepond-router: {error}");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipepond-router: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: RouterSettings) -> Result<()> {
    let clock = Arc::new(SystemClock);
    init_log(&settings.log, clock.clone()).context("cannot start the log")?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("cannot watch signals")?;
    let dependencies = RouterDependencies {
        clock,
        platform: Arc::new(HttpPlatform::new(&settings.platform)),
        upstream: Arc::new(HttpUpstream::new()),
        peers: Arc::new(HttpPeer::new()),
    };
    let daemon = RouterDaemon::start(settings, dependencies)?;
    println!("listening={} admin={}", daemon.address(), daemon.admin_address());
    std::io::stdout().flush().context("cannot write to standard output")?;
    signals.forever().next();
    tracing::info!("stop_requested");
    let is_drained = daemon.shutdown();
    tracing::info!(is_drained, "stopped");
    Ok(())
}
