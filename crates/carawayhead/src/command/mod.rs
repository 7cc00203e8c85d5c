//! The command line.

pub mod check;
#[cfg(feature = "stand-ins")]
pub mod demo;
pub mod explain;
pub mod forward;
pub mod publish;
pub mod secrets;
pub mod serve;
pub mod show;

use {crate::prelude::*, bpaf::Bpaf};

/// Serves generations of unknown length on crowded engines
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Create a certificate for an instance, and the certificate authority if there is none
    ///
    /// Example: carawayhead certificate --folder keys entry-1
    #[bpaf(command)]
    Certificate {
        /// Folder of the certificate authority and the certificates
        #[bpaf(argument("FOLDER"))]
        folder: String,
        /// Name of the instance
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Check settings and record files and report every fault
    ///
    /// Example: carawayhead check settings.toml records/customers.toml
    #[bpaf(command)]
    Check {
        /// Settings and record files; records begin with the key 'schema'
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<String>,
    },
    /// Run the whole system on this machine as a demonstration, in under 15 seconds
    ///
    /// Example: carawayhead demo
    #[cfg(feature = "stand-ins")]
    #[bpaf(command)]
    Demo,
    /// Drain a failure domain: its endpoints get no new requests
    ///
    /// Example: carawayhead drain --log 10.0.0.5:9000 sor
    #[bpaf(command)]
    Drain {
        /// IP address and port of the log
        #[bpaf(argument("ADDRESS"))]
        log: String,
        /// The failure domain
        #[bpaf(positional("DOMAIN"))]
        domain: String,
    },
    /// Explain why requests ended as they did, from the log lines of forwarding instances
    ///
    /// Example: carawayhead explain instances/*.log
    #[bpaf(command)]
    Explain {
        /// Print JSON
        json: bool,
        /// Log files
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<String>,
    },
    /// Run one entry instance that forwards requests by host and path
    ///
    /// Example: carawayhead forward --settings /etc/carawayhead/instance.toml
    #[bpaf(command)]
    Forward {
        /// Settings of the instance
        #[bpaf(argument("FILE"), env("CARAWAYHEAD_SETTINGS"))]
        settings: String,
    },
    /// List every published record and its result
    ///
    /// Example: carawayhead history --log 10.0.0.5:9000
    #[bpaf(command)]
    History {
        /// IP address and port of the log
        #[bpaf(argument("ADDRESS"))]
        log: String,
        /// Print JSON
        json: bool,
    },
    /// Generate a caller key and its hash
    ///
    /// Example: carawayhead key
    #[bpaf(command)]
    Key,
    /// Publish a configuration record
    ///
    /// Example: carawayhead publish --log 10.0.0.5:9000 records/routes.toml
    #[bpaf(command)]
    Publish {
        /// IP address and port of the log
        #[bpaf(argument("ADDRESS"))]
        log: String,
        /// Only report what would happen
        dry_run: bool,
        /// Record file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Restore a drained failure domain
    ///
    /// Example: carawayhead restore --log 10.0.0.5:9000 sor
    #[bpaf(command)]
    Restore {
        /// IP address and port of the log
        #[bpaf(argument("ADDRESS"))]
        log: String,
        /// The failure domain
        #[bpaf(positional("DOMAIN"))]
        domain: String,
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
    /// Show the configuration in force, or one item as a record to edit
    ///
    /// Example: carawayhead show --log 10.0.0.5:9000 route.survey
    #[bpaf(command)]
    Show {
        /// IP address and port of the log
        #[bpaf(argument("ADDRESS"))]
        log: String,
        /// Print JSON
        json: bool,
        /// Name of the item, as kind.name
        #[bpaf(positional("ITEM"))]
        item: Option<String>,
    },
    /// Run a stand-in for the platform or an endpoint, for trials and tests
    ///
    /// Example: carawayhead stand-in engine --model survey-1
    #[cfg(feature = "stand-ins")]
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(standin::command::parser))] standin::command::Command),
    /// Show the status of instances and the configuration they have in force
    ///
    /// Example: carawayhead status 10.0.0.7:9100 10.0.0.8:9100
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
        /// Operator addresses of instances
        #[bpaf(positional("ADDRESS"), some("name at least one address"))]
        addresses: Vec<String>,
    },
}

/// Runs the command line and returns the exit code.
#[must_use]
pub fn run() -> ExitCode {
    match execute(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.code()
        }
    }
}

fn execute(command: Command) -> Result<(), Error> {
    match command {
        Command::Certificate { folder, name } => secrets::create_certificate(&folder, &name),
        Command::Check { files } => check::run(&files),
        #[cfg(feature = "stand-ins")]
        Command::Demo => block(demo::run()),
        Command::Drain { domain, log } => block(set_domain(&log, &domain, true)),
        Command::Explain { files, json } => explain::run(&files, json),
        Command::Forward { settings } => forward::run(&settings),
        Command::History { json, log } => block(show::history(&publish::config_stream(&log), json)),
        Command::Key => {
            secrets::create_caller_key();
            Ok(())
        }
        Command::Publish { dry_run, file, log } => block(publish_file(&log, &file, dry_run)),
        Command::Restore { domain, log } => block(set_domain(&log, &domain, false)),
        Command::Serve { settings } => serve::run(&settings),
        Command::Show { item, json, log } => block(show::items(
            &publish::config_stream(&log),
            item.as_deref(),
            json,
        )),
        #[cfg(feature = "stand-ins")]
        Command::StandIn(command) => block(async {
            let result = standin::command::run(command).await;
            result.map_err(|error| Error::Io("stand-in".to_string(), error))
        }),
        Command::Status { addresses, json } => block(show::status(&addresses, json)),
    }
}

/// Runs `future` to completion on a single-threaded runtime.
fn block(future: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| Error::Io("runtime".to_string(), error))?;
    runtime.block_on(future)
}

async fn publish_file(log: &str, file: &str, dry: bool) -> Result<(), Error> {
    let offset = publish::file(&publish::config_stream(log), file, dry).await?;
    let verb = if dry { "would be" } else { "is" };
    println!("{file} {verb} in force from offset {offset}");
    Ok(())
}

async fn set_domain(log: &str, domain: &str, out: bool) -> Result<(), Error> {
    let offset = publish::set_domain(&publish::config_stream(log), domain, out).await?;
    let state = if out { "out" } else { "in" };
    println!("{domain} is {state} from offset {offset}");
    Ok(())
}
