//! Encoding of messages between instances.

use {
    peer::{Answer, Hello, Record},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A message from an instance of another version must fail to decode, not panic.
    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(data in vec(any::<u8>(), 0..600)) {
        let hello = postcard::from_bytes::<Hello>(&data);
        let answer = postcard::from_bytes::<Answer>(&data);
        prop_assert!(hello.is_ok() || hello.is_err());
        prop_assert!(answer.is_ok() || answer.is_err());
    }

    #[test]
    fn answer_round_trips(data in vec(any::<u8>(), 0..600), offset in any::<u64>()) {
        let answer = Answer {
            hello: Hello::default(),
            records: vec![Record { data, offset }],
            snapshot: None,
        };
        let encoded = postcard::to_stdvec(&answer).expect("it can be encoded");
        prop_assert_eq!(postcard::from_bytes::<Answer>(&encoded).expect("it can be decoded"), answer);
    }
}
