//! Command line of a stand-in that runs as a process of its own.

use {
    crate::{
        decode::EngineProfile,
        engine::{Engine, Settings},
        list::List,
        log::Log,
        prelude::*,
        service::PlainService,
    },
    bpaf::Bpaf,
    std::io,
};

/// Which stand-in to run, and how it behaves
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(parser))]
pub enum Command {
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// IP address and port
        #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_string()))]
        listen: String,
        /// Refuse orders with an old fencing number
        checks_fencing: bool,
        /// A model that it serves
        #[bpaf(argument("NAME"), many)]
        model: Vec<String>,
        /// KV memory in tokens
        #[bpaf(argument("TOKENS"), fallback(32_768))]
        capacity: u64,
        /// Most generations in the batch
        #[bpaf(argument("COUNT"), fallback(64))]
        batch: usize,
        /// Time of a step with an empty batch, in microseconds
        #[bpaf(argument("MICROS"), fallback(8_000))]
        step_base: u64,
        /// Time added by each generation in the batch, in microseconds
        #[bpaf(argument("MICROS"), fallback(150))]
        step_each: u64,
        /// How long it is cold after its start, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        cold_ms: u64,
        /// Generations borne at once while cold
        #[bpaf(argument("COUNT"), fallback(8))]
        cold_limit: usize,
        /// How late the load report is, in milliseconds
        #[bpaf(argument("MS"), fallback(200))]
        lag_ms: u64,
    },
    /// The lagging instance list
    #[bpaf(command)]
    List {
        /// IP address and port
        #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_string()))]
        listen: String,
        /// How late a change is seen, in milliseconds
        #[bpaf(argument("MS"), fallback(200))]
        lag_ms: u64,
    },
    /// The append-only log
    #[bpaf(command)]
    Log {
        /// IP address and port
        #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_string()))]
        listen: String,
        /// Seed of its lost answers
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        /// IP address and port
        #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_string()))]
        listen: String,
    },
}

/// Runs a stand-in until the process is ended.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn run(command: Command) -> io::Result<()> {
    let running = start(command).await?;
    println!("listening {}", running.address);
    running.task.await.map_err(io::Error::other)
}

async fn start(command: Command) -> io::Result<Running> {
    match command {
        Command::Engine {
            batch,
            capacity,
            checks_fencing,
            cold_limit,
            cold_ms,
            lag_ms,
            listen,
            model,
            step_base,
            step_each,
        } => {
            let profile = EngineProfile {
                batch,
                capacity,
                cold_for: Duration::from_millis(cold_ms),
                cold_limit,
                step_base,
                step_each,
                ..EngineProfile::default()
            };
            let settings = Settings {
                checks_fencing,
                lag: Duration::from_millis(lag_ms),
                models: model,
                profile,
            };
            Engine::new(settings).listen(&listen).await
        }
        Command::List { lag_ms, listen } => {
            List::new(Duration::from_millis(lag_ms))
                .listen(&listen)
                .await
        }
        Command::Log { listen, seed } => Log::new(seed).listen(&listen).await,
        Command::Service { listen } => PlainService::default().listen(&listen).await,
    }
}
