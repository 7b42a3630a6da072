//! Runs one of the cases 11 to 15 against gateways that run as processes.
//!
//! Usage: `cases NUMBER RECORD`. Exits with 0 if the rule held, with 1 if it was broken, and with 2
//! if the case could not run. With the variable `TROUBLE=0` there is no disruption.

mod drill;
mod engine;
mod fleet;
mod foreign;
mod freeze;
mod http;
mod record;
mod store;
mod tenants;

use std::{env, panic, process::ExitCode, thread, time::Duration};

use record::Record;

/// Longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [number, path] = &arguments[..] else {
        eprintln!("usage: cases NUMBER RECORD");
        return ExitCode::from(2);
    };
    // No process stays behind if a thread fails or the case takes too long.
    panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        fleet::abort_case();
    }));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case takes too long");
        fleet::abort_case();
    });
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {number}, trouble {}", if has_trouble { "on" } else { "off" }));
    let result = match number.as_str() {
        "11" => drill::run(&record, has_trouble),
        "13" => tenants::run(&record, has_trouble),
        "12" => foreign::run(&record, has_trouble),
        "15" => freeze::run(&record, has_trouble),
        _ => Err(format!("there is no case {number}").into()),
    };
    match result {
        Ok(Verdict::Held) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("result: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
