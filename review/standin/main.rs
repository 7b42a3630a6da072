//! Cases of the review that are no days of the bench: each starts gateways as separate processes
//! among stand-ins, and checks one rule by what clients, servers and the platform see.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod crashing_request;
mod endless_body;
mod net;
mod world;

use std::{env, io, path::PathBuf, process, thread, time::Duration};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-case CASE FOLDER");
        process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        world::kill_all();
        process::exit(2);
    });
    let result = match case.as_str() {
        "newlines" => endless_body::newlines(&folder, has_trouble),
        "interim-heads" => endless_body::interim_heads(&folder, has_trouble),
        "forgotten-strikes" => crashing_request::forgotten_strikes(&folder, has_trouble),
        "silent-crashes" => crashing_request::silent_crashes(&folder, has_trouble),
        "chunks" => endless_body::chunks(&folder, has_trouble),
        _ => Err(io::Error::other(format!("no case {case}"))),
    };
    match result {
        Ok(held) => process::exit(if held { 0 } else { 1 }),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            process::exit(2);
        }
    }
}
