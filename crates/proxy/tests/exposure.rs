//! Whether endpoints may have run a request.

use proxy::exposure::Exposure;

/// Guards against a refusal that says "not run" of a request that was given up after it was written.
#[test]
fn send_that_is_given_up_stays_counted() {
    let exposure = Exposure::default();
    drop(exposure.begin());
    assert_eq!(exposure.count(), 1);
    exposure.begin().retract();
    assert_eq!(exposure.count(), 1);
}
