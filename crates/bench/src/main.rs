//! Measurements of the shipped binary against stand-ins on loopback.

use {bpaf::Bpaf, std::process::ExitCode};

/// Measurements on loopback; build the workspace with --release first
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Whether six instances overload a cold engine
    #[bpaf(command)]
    Cold,
    /// CPU time and memory of decisions, at small and large system sizes
    #[bpaf(command)]
    Decide,
    /// Time until a disabled failure domain receives no new requests
    #[bpaf(command)]
    Domain,
    /// CPU time and memory of a daemon that serves no requests
    #[bpaf(command)]
    Idle,
    /// Latency that the claim adds to an order
    #[bpaf(command)]
    Orders,
    /// Time until a stream resumes after its connection stops delivering data
    #[bpaf(command)]
    Silence,
    /// Latency, CPU time and memory of relaying a stream
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
        (Ok(runtime), Command::Cold) => runtime.block_on(bench::faults::measure_cold_start()),
        (Ok(runtime), Command::Silence) => runtime.block_on(bench::faults::measure_silence()),
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
