//! Messages between instances: decoding, and who is let in.

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

    /// An instance of another version sends what this one cannot read; the exchange
    /// fails, the instance goes on.
    #[test]
    fn rubbish_is_refused(data in vec(any::<u8>(), 0..600)) {
        let hello = postcard::from_bytes::<Hello>(&data);
        let answer = postcard::from_bytes::<Answer>(&data);
        prop_assert!(hello.is_ok() || hello.is_err());
        prop_assert!(answer.is_ok() || answer.is_err());
    }

    #[test]
    fn an_answer_comes_back(data in vec(any::<u8>(), 0..600), offset in any::<u64>()) {
        let answer = Answer {
            hello: Hello::default(),
            records: vec![Record { data, offset }],
            snapshot: None,
        };
        let encoded = postcard::to_stdvec(&answer).expect("it can be encoded");
        prop_assert_eq!(postcard::from_bytes::<Answer>(&encoded).expect("it can be decoded"), answer);
    }
}
