//! Measurements of the shipped binary against stand-ins on loopback.

use {bpaf::Bpaf, std::process::ExitCode};

/// Measurements on loopback; build the workspace with --release first
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Whether a cold engine is overrun by six instances
    #[bpaf(command)]
    Cold,
    /// What decisions cost at today's sizes and at full size
    #[bpaf(command)]
    Decide,
    /// How soon a failure domain taken out gets no more new work
    #[bpaf(command)]
    Domain,
    /// What a daemon costs without a request
    #[bpaf(command)]
    Idle,
    /// What the claim adds to an order
    #[bpaf(command)]
    Orders,
    /// How long a stream waits after its connection fell silent
    #[bpaf(command)]
    Silence,
    /// What relaying a stream costs
    #[bpaf(command)]
    Relay {
        /// Tokens of each stream
        #[bpaf(argument("COUNT"), fallback(200))]
        tokens: u32,
        /// Time between two tokens of a stream, in microseconds
        #[bpaf(argument("MICROS"), fallback(20_000))]
        step: u32,
    },
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match (runtime, command().run()) {
        (Err(error), _) => Err(bench::error::Error::Io(error)),
        (Ok(_), Command::Decide) => {
            bench::decide::run();
            Ok(())
        }
        (Ok(runtime), Command::Cold) => runtime.block_on(bench::faults::cold()),
        (Ok(runtime), Command::Silence) => runtime.block_on(bench::faults::silence()),
        (Ok(runtime), Command::Domain) => runtime.block_on(bench::domain::run()),
        (Ok(runtime), Command::Idle) => runtime.block_on(bench::idle::run()),
        (Ok(runtime), Command::Orders) => runtime.block_on(bench::orders::run()),
        (Ok(runtime), Command::Relay { step, tokens }) => {
            runtime.block_on(bench::relay::run(tokens, step))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
