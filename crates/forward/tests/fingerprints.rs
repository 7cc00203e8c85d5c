//! Fingerprints of requests.

use forward::fingerprint::Fingerprint;

/// Requests that differ in anything that an endpoint sees, or in their customer, must not be taken
/// for the same one, also if the same bytes are split differently between the parts.
#[test]
fn fingerprint_distinguishes_customer_host_target_and_body() {
    let requests: [(Option<&str>, &str, &str, &[u8]); 8] = [
        (Some("ada"), "a.example", "/look/7", b"body"),
        (None, "a.example", "/look/7", b"body"),
        (Some("eve"), "a.example", "/look/7", b"body"),
        (Some("ada"), "b.example", "/look/7", b"body"),
        (Some("ada"), "a.example", "/look/7?plate=3", b"body"),
        (Some("ada"), "a.example", "/look/7", b""),
        (Some("ada"), "a.example/look", "/7", b"body"),
        (Some("ada"), "a.example", "/look/7body", b""),
    ];
    let fingerprints = requests
        .map(|(customer, host, target, body)| Fingerprint::new(customer, host, target, body));
    for (index, one) in fingerprints.iter().enumerate() {
        for other in &fingerprints[index + 1..] {
            assert_ne!(one, other);
        }
    }
    let (customer, host, target, body) = requests[0];
    assert_eq!(
        fingerprints[0],
        Fingerprint::new(customer, host, target, body)
    );
}
