//! Property tests of resume handles.

use {
    caller::handle::Handle,
    decision::generation,
    proptest::{prelude::*, test_runner::RngSeed},
};

const SECRET: [u8; 32] = [3; 32];

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a caller that resumes another caller's stream with a copied handle.
    #[test]
    fn handle_is_valid_only_with_the_key_it_was_issued_for(
        endpoint in "[a-z0-9.-]{1,20}",
        generation in any::<u128>(),
        index in any::<u32>(),
        key in any::<[u8; 32]>(),
        other in any::<[u8; 32]>(),
    ) {
        let generation = generation::Id(generation);
        let text = format!("{}{index}", Handle::prefix(&SECRET, &key, &endpoint, generation));
        let handle = Handle { endpoint, generation, index };
        prop_assert_eq!(Handle::parse(&SECRET, &key, &text), Some(handle));
        prop_assert_eq!(Handle::parse(&SECRET, &other, &text), None);
    }

    /// Guards against forged handles: arbitrary text, or a valid handle with one changed byte.
    #[test]
    fn arbitrary_or_altered_handles_are_rejected(
        text in ".{0,200}",
        place in any::<prop::sample::Index>(),
    ) {
        prop_assert_eq!(Handle::parse(&SECRET, &[1; 32], &text), None);
        let mut handle = Handle::prefix(&SECRET, &[1; 32], "e", generation::Id(7)).into_bytes();
        let place = place.index(handle.len());
        handle[place] ^= 1;
        let changed = format!("{}4", String::from_utf8_lossy(&handle));
        prop_assert_eq!(Handle::parse(&SECRET, &[1; 32], &changed), None);
    }
}
