//! The shipped program.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayhead::run()
}
