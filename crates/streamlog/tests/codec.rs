//! Decoding of claim records.

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

    /// Guards against a panic on a claim record of another writer or version, which would
    /// stop an instance at every start.
    #[test]
    fn arbitrary_bytes_do_not_panic(data in vec(any::<u8>(), 0..600)) {
        if let Ok(batch) = codec::decode_batch(&data) {
            let again = codec::decode_batch(&codec::encode_batch(&batch).expect("it was decoded"));
            prop_assert_eq!(again.expect("it was encoded"), batch);
        }
    }
}

#[test]
fn empty_batch_round_trips() {
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
