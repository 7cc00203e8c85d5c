//! Records of the system's own stream, whatever stands in it.

use {
    decision::batch::Batch,
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    streamlog::codec,
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

    /// Somebody else writes to the stream of claims, or an older version did. The
    /// record is skipped with a line in the log; an instance that stopped at it
    /// would stop at every start.
    #[test]
    fn rubbish_is_refused(data in vec(any::<u8>(), 0..600)) {
        if let Ok(batch) = codec::decode_batch(&data) {
            let again = codec::decode_batch(&codec::encode_batch(&batch).expect("it was decoded"));
            prop_assert_eq!(again.expect("it was encoded"), batch);
        }
    }
}

#[test]
fn an_empty_batch_comes_back() {
    let batch = Batch {
        entries: Vec::new(),
        instance: 9,
    };
    let encoded = codec::encode_batch(&batch).expect("it can be encoded");
    assert_eq!(
        codec::decode_batch(&encoded).expect("it can be decoded"),
        batch
    );
}
