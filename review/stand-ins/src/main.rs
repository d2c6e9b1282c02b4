//! Runs the scripted cases of the review: `review-stand-ins CASE RECORD FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the disruption is left out.

mod added;
mod drill;
mod gateway;
mod http;
mod json;
mod record;
mod renewed;
mod server;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Verdict {
    Broken(String),
    Held(String),
}

pub type Outcome = Result<Verdict, String>;

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let [_, case, record, folder] = words.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let outcome = match case.as_str() {
        "added" => added::run(&record, &folder, has_trouble),
        "drill" => drill::run(&record, &folder, has_trouble),
        "renewed" => renewed::run(&record, &folder, has_trouble),
        other => Err(format!("no case `{other}`")),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Broken(text)) => (1, format!("rule broken: {text}")),
        Ok(Verdict::Held(text)) => (0, format!("rule held: {text}")),
        Err(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    record.flush();
    println!("{text}");
    ExitCode::from(code)
}
