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

/// A test that fails without a mutation too would have every mutation count as detected.
#[test]
fn known_red_tests_are_found() {
    let text = "test: first_test\ncommand: cargo test first_test\n\ntest: second_test \n";
    assert_eq!(mutation::known_red(text), ["first_test", "second_test"]);
}
