//! Cases 6 to 10 of the review: `cases NUMBER FOLDER`, run in the root of the repository. Exits with 1 if the
//! rule of the case was broken, with 0 if it held, and with 2 if the case could not run.

mod deployment;
mod host;
mod http;
mod many_parts;
mod memory;
mod prompt_memory;
mod slow_answers;
mod store;
mod versions;
mod worker;

use std::path::Path;
use std::process::ExitCode;

/// What a case has found.
pub struct Outcome {
    pub is_broken: bool,
    /// What was sent, answered and run.
    pub record: String,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let (Some(number), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match number.as_str() {
        "6" => versions::run(has_trouble),
        "7" => slow_answers::run(has_trouble),
        "8" => memory::run(has_trouble),
        "9" => many_parts::run(has_trouble),
        "10" => prompt_memory::run(has_trouble),
        _ => Err(format!("no case {number}")),
    };
    let (record, code) = match result {
        Ok(outcome) => (outcome.record, u8::from(outcome.is_broken)),
        Err(reason) => (format!("could not run: {reason}\n"), 2),
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    let record = format!("trouble: {has_trouble}\n{record}{verdict}\n");
    print!("{record}");
    if let Err(err) = std::fs::write(Path::new(folder).join("record.txt"), &record) {
        eprintln!("cannot write the record: {err}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
