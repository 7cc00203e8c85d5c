//! Connections between instances that have pinned each other's certificates.

use {
    bytes::Bytes,
    peer::{
        datagram::DatagramSocket,
        pinned::{Identity, Pins, configs},
    },
    std::time::Duration,
    tokio::{sync::mpsc, time::timeout},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Instance {
    datagrams: DatagramSocket,
    received: mpsc::Receiver<Bytes>,
}

/// Two instances that have pinned each other.
fn pair() -> [Instance; 2] {
    let identities = [(); 2].map(|()| Identity::new().expect("a certificate"));
    let pins = Pins::default();
    pins.set(identities.iter().map(|own| own.fingerprint).collect());
    identities.map(|own| {
        let (sender, received) = mpsc::channel(8);
        let configs = configs(&own, &pins).expect("a configuration");
        let listen = "127.0.0.1:0".parse().expect("an address");
        let datagrams = DatagramSocket::listen(listen, configs, sender).expect("a free port");
        Instance {
            datagrams,
            received,
        }
    })
}

/// Sends until the text is received: the connection opens a moment before the other side has
/// registered it.
async fn is_received(from: &Instance, to: &mut Instance, text: &'static str) -> bool {
    let address = to.datagrams.address().expect("an address");
    let arrived = async {
        loop {
            let sent = from
                .datagrams
                .send(address, Bytes::from_static(text.as_bytes()));
            let wait = Duration::from_millis(20);
            if let Ok(Some(data)) = timeout(wait, to.received.recv()).await {
                assert!(sent.is_ok(), "{data:?} without a send");
                return data == text.as_bytes();
            }
        }
    };
    timeout(TEST_TIMEOUT, arrived).await.unwrap_or(false)
}

/// The instance that did not open the connection must be able to send on it; otherwise its
/// peer takes it for dead.
#[tokio::test]
async fn one_connection_carries_both_directions() {
    let [mut one, mut two] = pair();
    let address = two.datagrams.address().expect("an address");
    one.datagrams.connect(address).await.expect("a connection");
    assert!(is_received(&one, &mut two, "there").await);
    assert!(is_received(&two, &mut one, "back").await);
}

/// Guards against reading from the old connection after an instance has been replaced at its
/// address.
#[tokio::test]
async fn replaced_peer_is_received_on_the_new_connection() {
    let [mut one, two] = pair();
    let address = two.datagrams.address().expect("an address");
    one.datagrams.connect(address).await.expect("a connection");
    one.datagrams.retain(|_, _| false);
    assert!(one.datagrams.send(address, Bytes::new()).is_err());
    one.datagrams.connect(address).await.expect("a connection");
    assert!(is_received(&two, &mut one, "back").await);
}
