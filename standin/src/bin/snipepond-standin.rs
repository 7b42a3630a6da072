//! Runs one stand-in until SIGTERM or SIGINT.

use std::{io::Write, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail};
use lexopt::{Parser, ValueExt, prelude::*};
use signal_hook::{
    consts::signal::{SIGINT, SIGTERM},
    iterator::Signals,
};
use snipepond_standin::{
    EngineServer, EngineSettings, PlatformServer, PlatformSettings, ServiceServer, ServiceSettings,
};

const HELP: &str = "\
Runs a stand-in until SIGTERM and prints listening=IP:PORT when its port is open.

usage: snipepond-standin engine|service|platform --listen IP:PORT [options]

Port 0 picks a port. Times are in milliseconds unless the name says otherwise.

engine:
  --first-token-ms N    time until the first token with a cached prompt (20)
  --prompt-token-us N   additional time per uncached prompt token, in microseconds (0)
  --token-ms N          time between tokens (5)
  --answer-tokens N     tokens of an answer without max_tokens (16)
  --capacity N          requests that run at the same time (8)
  --cache-tokens N      size of the prefix cache (100000)
  --cold                starts cold
  --cold-factor N       factor on all times while cold (4)
  --cold-allowance N    requests in flight that a cold engine bears (2)
  --warmup-ms N         time from the first complete answer until warm (500)
  --load-lag-ms N       age of the load report (100)
  --event-lag-ms N      age at which a cache event becomes visible (200)
  --event-gap N         every Nth cache event is never published, 0 for none (10)
  --no-resume           ignores x-resume-offset

service:
  --name NAME           name that appears in answers (service)
  --duration-ms N       time from the request to the answer (5)
  --capacity N          capacity in the load report (64)
  --cold                starts cold
  --cold-allowance N    calls in flight that a cold service bears (4)
  --warmup-ms N         time from the first complete answer until warm (500)
  --load-lag-ms N       age of the load report (100)

platform:
  --history N           revisions over which changes can be computed (1000)
  --list-lag-ms N       age of the host list that is served (0)

docs/standins.md describes the controls under /control/.
";

enum StandIn {
    Engine(EngineServer),
    Service(ServiceServer),
    Platform(PlatformServer),
}

impl StandIn {
    fn address(&self) -> SocketAddr {
        match self {
            StandIn::Engine(server) => server.address(),
            StandIn::Service(server) => server.address(),
            StandIn::Platform(server) => server.address(),
        }
    }

    fn stop(&self) {
        match self {
            StandIn::Engine(server) => server.stop(),
            StandIn::Service(server) => server.stop(),
            StandIn::Platform(server) => server.stop(),
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("snipepond-standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut parser = Parser::from_env();
    // The handlers are registered first, so that no signal is missed between the start of the
    // stand-in and the wait.
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signal handler")?;
    let kind = match parser.next()? {
        Some(Short('h') | Long("help")) => {
            print!("{HELP}");
            return Ok(());
        }
        Some(Value(kind)) => kind.string()?,
        Some(other) => return Err(other.unexpected().into()),
        None => bail!("no kind given; expected engine, service or platform (see --help)"),
    };
    let stand_in = match kind.as_str() {
        "engine" => start_engine(&mut parser)?,
        "service" => start_service(&mut parser)?,
        "platform" => start_platform(&mut parser)?,
        other => bail!("unknown kind `{other}`; expected engine, service or platform"),
    };
    let Some(stand_in) = stand_in else {
        print!("{HELP}");
        return Ok(());
    };
    let mut output = std::io::stdout();
    writeln!(output, "listening={}", stand_in.address())?;
    output.flush()?;
    signals.forever().next();
    stand_in.stop();
    Ok(())
}

/// Parses the value of the option `name`.
fn parse_value<T>(parser: &mut Parser, name: &str) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser.value().and_then(|it| it.parse()).with_context(|| format!("--{name}"))
}

fn parse_millis(parser: &mut Parser, name: &str) -> Result<Duration> {
    Ok(Duration::from_millis(parse_value(parser, name)?))
}

/// Returns the name of the next option, or `None` at the end of the arguments.
fn next_option(parser: &mut Parser) -> Result<Option<String>> {
    match parser.next()? {
        Some(Short('h')) => Ok(Some("help".to_owned())),
        Some(Long(name)) => Ok(Some(name.to_owned())),
        Some(other) => Err(other.unexpected().into()),
        None => Ok(None),
    }
}

/// Starts an engine, or returns `None` if the arguments ask for help.
fn start_engine(parser: &mut Parser) -> Result<Option<StandIn>> {
    let mut settings = EngineSettings::default();
    let mut listen = None;
    while let Some(name) = next_option(parser)? {
        match name.as_str() {
            "help" => return Ok(None),
            "listen" => listen = Some(parse_value(parser, &name)?),
            "first-token-ms" => settings.first_token_delay = parse_millis(parser, &name)?,
            "prompt-token-us" => {
                settings.prompt_token_delay = Duration::from_micros(parse_value(parser, &name)?);
            }
            "token-ms" => settings.token_interval = parse_millis(parser, &name)?,
            "answer-tokens" => settings.default_max_tokens = parse_value(parser, &name)?,
            "capacity" => settings.capacity = parse_value(parser, &name)?,
            "cache-tokens" => settings.cache_tokens = parse_value(parser, &name)?,
            "cold" => settings.starts_cold = true,
            "cold-factor" => settings.cold_slowdown = parse_value(parser, &name)?,
            "cold-allowance" => settings.cold_allowance = parse_value(parser, &name)?,
            "warmup-ms" => settings.warmup = parse_millis(parser, &name)?,
            "load-lag-ms" => settings.load_lag = parse_millis(parser, &name)?,
            "event-lag-ms" => settings.event_lag = parse_millis(parser, &name)?,
            "event-gap" => settings.event_drop_interval = parse_value(parser, &name)?,
            "no-resume" => settings.supports_resume = false,
            _ => bail!("unknown option --{name} of an engine (see --help)"),
        }
    }
    settings.listen = listen.context("--listen IP:PORT is missing")?;
    let server = EngineServer::start(settings).context("cannot start the engine")?;
    Ok(Some(StandIn::Engine(server)))
}

/// Starts a service, or returns `None` if the arguments ask for help.
fn start_service(parser: &mut Parser) -> Result<Option<StandIn>> {
    let mut settings = ServiceSettings::default();
    let mut listen = None;
    while let Some(name) = next_option(parser)? {
        match name.as_str() {
            "help" => return Ok(None),
            "listen" => listen = Some(parse_value(parser, &name)?),
            "name" => settings.name = parse_value(parser, &name)?,
            "duration-ms" => settings.duration = parse_millis(parser, &name)?,
            "capacity" => settings.capacity = parse_value(parser, &name)?,
            "cold" => settings.starts_cold = true,
            "cold-allowance" => settings.cold_allowance = parse_value(parser, &name)?,
            "warmup-ms" => settings.warmup = parse_millis(parser, &name)?,
            "load-lag-ms" => settings.load_lag = parse_millis(parser, &name)?,
            _ => bail!("unknown option --{name} of a service (see --help)"),
        }
    }
    settings.listen = listen.context("--listen IP:PORT is missing")?;
    let server = ServiceServer::start(settings).context("cannot start the service")?;
    Ok(Some(StandIn::Service(server)))
}

/// Starts a platform, or returns `None` if the arguments ask for help.
fn start_platform(parser: &mut Parser) -> Result<Option<StandIn>> {
    let mut settings = PlatformSettings::default();
    let mut listen = None;
    while let Some(name) = next_option(parser)? {
        match name.as_str() {
            "help" => return Ok(None),
            "listen" => listen = Some(parse_value(parser, &name)?),
            "history" => settings.history_revisions = parse_value(parser, &name)?,
            "list-lag-ms" => settings.list_lag = parse_millis(parser, &name)?,
            _ => bail!("unknown option --{name} of a platform (see --help)"),
        }
    }
    settings.listen = listen.context("--listen IP:PORT is missing")?;
    let server = PlatformServer::start(settings).context("cannot start the platform")?;
    Ok(Some(StandIn::Platform(server)))
}
