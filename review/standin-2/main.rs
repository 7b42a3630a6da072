//! Cases of the review that are scripts: `cases NAME FOLDER` plays one and writes its record.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the same is played without the disruption.

mod flood;
mod foreign_entry;
mod large_watch;
mod late_refusal;
mod world;

use std::{env, process::ExitCode};

use world::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    record.say(&format!("case {name}, disruption: {has_trouble}"));
    let result = match name.as_str() {
        "foreign-entry" => foreign_entry::play(&record, has_trouble),
        "flood" => flood::play(&record, has_trouble),
        "large-watch" => large_watch::play(&record, has_trouble),
        "late-refusal" => late_refusal::play(&record, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match result {
        Ok(true) => {
            record.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.say(&format!("result: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
