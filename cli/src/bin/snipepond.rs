//! The `snipepond` command line, with which operators inspect routers and check catalogues.

use std::{env, io, process::ExitCode};

use snipepond_cli::{CommandIo, run};

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut errors = io::stderr().lock();
    let mut io = CommandIo { input: &mut input, output: &mut output, errors: &mut errors };
    ExitCode::from(run(env::args_os().skip(1), &mut io).code())
}
