//! Breaks each guard in `mutations.toml` and shows that some history or test notices.
//!
//! A guard whose removal goes unnoticed has no test.

use {
    bpaf::Bpaf,
    serde::Deserialize,
    std::{
        fs, io,
        path::{Path, PathBuf},
        process::{Command, ExitCode},
    },
};

/// Break each guard in turn and run the histories
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Histories run for each broken guard
    #[bpaf(argument("COUNT"), fallback(4000))]
    histories: u32,
    /// Run only mutations whose name contains this
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    only: String,
}

#[derive(Deserialize)]
struct List {
    mutation: Vec<Mutation>,
}

#[derive(Deserialize)]
struct Mutation {
    file: PathBuf,
    find: String,
    name: String,
    replace: String,
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
    let list = fs::read_to_string(root.join("mutations.toml"))?;
    let list = toml::from_str::<List>(&list).map_err(io::Error::other)?;
    let work = root.join("target/mutants/work");
    copy(&root, &work)?;
    let mut missed = 0;
    for mutation in list
        .mutation
        .iter()
        .filter(|mutation| mutation.name.contains(&options.only))
    {
        let noticed = try_out(&root, &work, mutation, options.histories)?;
        missed += usize::from(!noticed);
        println!(
            "{:<8} {}",
            if noticed { "noticed" } else { "MISSED" },
            mutation.name
        );
    }
    println!("{missed} guards without a test");
    Ok(missed == 0)
}

/// Copies what the tests of the decisions need.
fn copy(root: &Path, work: &Path) -> io::Result<()> {
    if work.exists() {
        fs::remove_dir_all(work)?;
    }
    for name in ["Cargo.toml", "Cargo.lock"] {
        fs::create_dir_all(work)?;
        fs::copy(root.join(name), work.join(name))?;
    }
    for name in ["crates", "platform"] {
        copy_folder(&root.join(name), &work.join(name))?;
    }
    Ok(())
}

/// The tests that are to notice a broken guard, by the package that it stands in.
fn tests(file: &Path) -> Vec<&str> {
    if file.starts_with("crates/forward") {
        return vec!["-p", "forward"];
    }
    vec!["-p", "decision", "--test", "histories"]
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Whether the histories fail with the guard broken.
fn try_out(root: &Path, work: &Path, mutation: &Mutation, histories: u32) -> io::Result<bool> {
    let text = fs::read_to_string(root.join(&mutation.file))?;
    let places = text.matches(&mutation.find).count();
    if places != 1 {
        let name = mutation.file.display();
        let fault = format!("{}: 'find' stands {places} times in {name}", mutation.name);
        return Err(io::Error::other(fault));
    }
    let broken = work.join(&mutation.file);
    fs::write(&broken, text.replace(&mutation.find, &mutation.replace))?;
    let target = root.join("target/mutants/target");
    let cargo = |arguments: &[&str]| {
        Command::new(env!("CARGO"))
            .args(arguments)
            .args(["--quiet", "--locked"])
            .args(tests(&mutation.file))
            .current_dir(work)
            .env("CARGO_TARGET_DIR", &target)
            .env("HISTORIES", histories.to_string())
            .env("RUST_BACKTRACE", "0")
            .output()
    };
    let built = cargo(&["test", "--no-run"])?;
    if !built.status.success() {
        let fault = String::from_utf8_lossy(&built.stderr).into_owned();
        return Err(io::Error::other(format!(
            "{} does not build: {fault}",
            mutation.name
        )));
    }
    let noticed = !cargo(&["test"])?.status.success();
    fs::write(&broken, text)?;
    Ok(noticed)
}
