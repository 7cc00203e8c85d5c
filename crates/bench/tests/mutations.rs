//! The list of mutations.

use {bench::mutation, std::path::Path};

/// Code that a mutation replaces is moved or renamed. The run of the mutations would end there, after the
/// many minutes of those before it.
#[test]
fn each_mutation_finds_its_text_once() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mutations = mutation::read_all(&root).expect("a valid list");
    let failed = mutations
        .iter()
        .filter_map(|mutation| mutation.apply(&root).err())
        .map(|error| error.to_string())
        .collect::<Vec<_>>();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// A test file that is moved or renamed would end the run of the mutations as well.
#[test]
fn likely_test_files_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for mutation in mutation::read_all(&root).expect("a valid list") {
        let Some(test) = &mutation.test else { continue };
        let tests = root
            .join("crates")
            .join(mutation.test_arguments()[1])
            .join("tests");
        let exists =
            tests.join(format!("{test}.rs")).exists() || tests.join(test).join("main.rs").exists();
        assert!(exists, "{}: {test}", mutation.name);
    }
}

/// A mutation counts as missed, whatever tests there are, if those of its package do not run.
#[test]
fn tests_of_the_mutated_package_run() {
    let mutation = |file: &str| mutation::Mutation {
        file: file.into(),
        find: String::new(),
        name: String::new(),
        replace: String::new(),
        test: None,
    };
    let peer = mutation("crates/peer/src/tunnel.rs");
    assert_eq!(peer.test_arguments(), ["-p", "peer"]);
    let adapter = mutation("platform/src/head.rs");
    assert_eq!(adapter.test_arguments(), ["-p", "platform"]);
    let shared = mutation("crates/decision/src/suspects.rs");
    assert_eq!(shared.test_arguments(), ["-p", "forward"]);
    let core = mutation("crates/decision/src/call.rs");
    assert_eq!(core.test_arguments()[..2], ["-p", "decision"]);
}

/// A test that fails without a mutation too would have every mutation count as detected.
#[test]
fn known_red_tests_are_found() {
    let text = "test: first_test\ncommand: cargo test first_test\n\ntest: second_test \n";
    assert_eq!(mutation::known_red(text), ["first_test", "second_test"]);
}
