//! Plays one case of the review: `review-standin CASE PROGRAM FOLDER TEMPORARY TROUBLE`.
//!
//! FOLDER gets `record.txt`; TEMPORARY gets the settings and the output of the entries, and their process ids.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod cloud;
mod http;
mod log;
mod record;
mod site;
mod world;

use record::Record;
use site::Site;
use std::{
    env,
    panic::{self, AssertUnwindSafe},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let [case, program, folder, temporary, trouble] = words.as_slice() else {
        eprintln!("usage: review-standin CASE PROGRAM FOLDER TEMPORARY TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let site = Site::start(
        program,
        &PathBuf::from(temporary),
        record.clone(),
        *case != "large-job",
    );
    let guard = Arc::clone(&site);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        guard.record.say("the case took too long");
        guard.end();
        std::process::exit(2);
    });
    let play = || match case.as_str() {
        "small-tasks" => cases::small_tasks(&site, trouble),
        "large-job" => cases::large_job(&site, trouble),
        "wave" => cases::wave(&site, trouble),
        "blocked" => cases::blocked(&site, trouble),
        _ => Err(format!("no such case: {case}")),
    };
    let outcome = panic::catch_unwind(AssertUnwindSafe(play));
    let outcome = outcome.unwrap_or_else(|_| Err("the stand-in failed".to_owned()));
    let ended = site.has_ended();
    if !ended.is_empty() {
        record.say(format!("entries whose process ended by itself: {ended:?}"));
    }
    site.end();
    match outcome {
        Ok(breaks) if breaks.is_empty() => {
            record.say("HELD");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            for line in breaks.iter().take(20) {
                record.say(line);
            }
            record.say(format!("BROKEN: {} findings", breaks.len()));
            ExitCode::from(1)
        }
        Err(why) => {
            record.say(format!("COULD NOT RUN: {why}"));
            ExitCode::from(2)
        }
    }
}
