//! The scripted cases of this review: `cases NAME FOLDER` plays one and writes `FOLDER/record.txt`.
//!
//! Ends with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

#[path = "lib.rs"]
mod lib;
mod twice_foreign_answer;
mod lost_reading;
mod lost_late;
mod lost_memory;

/// What came of a case.
pub enum Outcome {
    Broken,
    Held,
    NotRun,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, folder) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    lib::open_record(&format!("{folder}/record.txt"));
    lib::start_watchdog();
    note!("case {name}, {} the disruption", if lib::trouble() { "with" } else { "without" });
    let outcome = match name.as_str() {
        "twice_foreign_answer" => twice_foreign_answer::play(),
        "lost_reading" => lost_reading::play(),
        "lost_memory" => lost_memory::play(),
        "lost_late" => lost_late::play(),
        _ => Outcome::NotRun,
    };
    let (text, code) = match outcome {
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::Held => ("the rule held", 0),
        Outcome::NotRun => ("the case could not run", 2),
    };
    note!("{text}");
    println!("{text}");
    std::process::exit(code);
}
