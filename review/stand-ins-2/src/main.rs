//! Plays one case of the review: `review-stand-ins-2 CASE FOLDER`.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod callers;
mod crowd;
mod estimate;
mod gateway;
mod http;
mod json;
mod places;
mod poison;
mod quarantine;
mod record;
mod replica;
mod site;
mod store;

use std::{env, io, path::Path, process::ExitCode};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let played = match case.as_str() {
        "quarantine" => quarantine::play(Path::new(folder), has_trouble),
        "crowd" => crowd::play(Path::new(folder), has_trouble),
        "poison" => poison::play(Path::new(folder), has_trouble),
        "places" => places::play(Path::new(folder), has_trouble),
        "estimate" => estimate::play(Path::new(folder), has_trouble),
        _ => Err(io::Error::other(format!("no case `{case}`"))),
    };
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
