//! The `carawayhead` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayhead::run()
}
