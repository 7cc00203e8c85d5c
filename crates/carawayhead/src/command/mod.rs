//! The command line.

pub mod check;
pub mod serve;

use {crate::prelude::*, bpaf::Bpaf};

/// Serves generations of unknown length on crowded engines
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Check settings and record files in full
    ///
    /// Example: carawayhead check settings.toml records/*.toml
    #[bpaf(command)]
    Check {
        /// Settings and record files, told apart by the key 'schema' that records begin with
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<String>,
    },
    /// Run one entry instance
    ///
    /// Example: carawayhead serve --settings settings.toml
    #[bpaf(command)]
    Serve {
        /// Settings of the instance
        #[bpaf(argument("FILE"))]
        settings: String,
    },
    /// Run a stand-in for the platform or a back end, for trials and tests
    ///
    /// Example: carawayhead stand-in engine --model survey-1
    #[cfg(feature = "stand-ins")]
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(standin::command::parser))] standin::command::Command),
}

/// Runs the command line and returns the exit code.
#[must_use]
pub fn run() -> ExitCode {
    let result = match command().run() {
        Command::Check { files } => check::run(&files),
        Command::Serve { settings } => serve::run(&settings),
        #[cfg(feature = "stand-ins")]
        Command::StandIn(command) => stand_in(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.code()
        }
    }
}

#[cfg(feature = "stand-ins")]
fn stand_in(command: standin::command::Command) -> Result<(), Error> {
    let fault = |error| Error::Io("stand-in".to_string(), error);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(fault)?
        .block_on(standin::command::run(command))
        .map_err(fault)
}
