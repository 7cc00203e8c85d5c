//! Mutation tests: applies each mutation of `mutations.toml` and checks that a test fails.
//!
//! A mutation that no test detects marks code without a test.

use {
    bench::mutation::{self, Mutation},
    bpaf::Bpaf,
    std::{
        fs, io,
        path::Path,
        process::{Command, ExitCode},
    },
};

/// Histories of rollouts in each test; one of them takes as long as thousands of the others.
const ROLLOUTS: &str = "1";

/// Apply each mutation in turn and run the tests that should detect it
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Randomised histories run for each mutation
    #[bpaf(argument("COUNT"), fallback(4000))]
    histories: u32,
    /// Run only mutations whose name contains this
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    only: String,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> io::Result<bool> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mutations = mutation::read_all(&root)?;
    let skipped = mutation::known_red(&fs::read_to_string(root.join("KNOWN-RED.txt"))?);
    let work_dir = root.join("target/mutants/work");
    copy_workspace(&root, &work_dir)?;
    let mut undetected = 0;
    for mutation in mutations
        .iter()
        .filter(|mutation| mutation.name.contains(&options.only))
    {
        let detected = is_detected(&root, &work_dir, mutation, options.histories, &skipped)?;
        undetected += usize::from(!detected);
        println!(
            "{:<8} {}",
            if detected { "detected" } else { "MISSED" },
            mutation.name
        );
    }
    println!("{undetected} mutations not detected");
    Ok(undetected == 0)
}

/// Copies the parts of the workspace that the tests need, so that mutations don't touch it.
fn copy_workspace(root: &Path, work_dir: &Path) -> io::Result<()> {
    if work_dir.exists() {
        fs::remove_dir_all(work_dir)?;
    }
    for name in ["Cargo.toml", "Cargo.lock"] {
        fs::create_dir_all(work_dir)?;
        fs::copy(root.join(name), work_dir.join(name))?;
    }
    for name in ["crates", "platform"] {
        copy_directory(&root.join(name), &work_dir.join(name))?;
    }
    Ok(())
}

fn copy_directory(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let destination = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_directory(&entry.path(), &destination)?;
        } else {
            fs::copy(entry.path(), destination)?;
        }
    }
    Ok(())
}

/// Whether the tests fail with the mutation applied, but for those that are skipped.
fn is_detected(
    root: &Path,
    work_dir: &Path,
    mutation: &Mutation,
    histories: u32,
    skipped: &[String],
) -> io::Result<bool> {
    let mutated_file = work_dir.join(&mutation.file);
    fs::write(&mutated_file, mutation.apply(root)?)?;
    let target_dir = root.join("target/mutants/target");
    let cargo = |arguments: &[&str], tests: &[&str]| {
        Command::new(env!("CARGO"))
            .args(arguments)
            .args(["--quiet", "--locked"])
            .args(tests)
            .arg("--")
            .args(skipped.iter().flat_map(|name| ["--skip", name]))
            .current_dir(work_dir)
            .env("CARGO_TARGET_DIR", &target_dir)
            .env("HISTORIES", histories.to_string())
            .env("ROLLOUTS", ROLLOUTS)
            .env("RUST_BACKTRACE", "0")
            .output()
    };
    let mut detected = false;
    for tests in mutation.test_runs() {
        let build = cargo(&["test", "--no-run"], &tests)?;
        if !build.status.success() {
            let message = String::from_utf8_lossy(&build.stderr).into_owned();
            return Err(io::Error::other(format!(
                "{} does not build: {message}",
                mutation.name
            )));
        }
        detected = !cargo(&["test"], &tests)?.status.success();
        if detected {
            break;
        }
    }
    fs::copy(root.join(&mutation.file), &mutated_file)?;
    Ok(detected)
}
