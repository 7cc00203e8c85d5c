//! Connections between instances that know each other by fingerprint.

use {
    bytes::Bytes,
    peer::{
        datagram::Datagrams,
        pinned::{Identity, Pins, configs},
    },
    std::time::Duration,
    tokio::{sync::mpsc, time::timeout},
};

/// Bound on what a test waits for; far beyond what any of it takes.
const PATIENCE: Duration = Duration::from_secs(30);

struct Instance {
    datagrams: Datagrams,
    heard: mpsc::Receiver<Bytes>,
}

/// Two instances that have pinned each other.
fn pair() -> [Instance; 2] {
    let identities = [(); 2].map(|()| Identity::new().expect("a certificate"));
    let pins = Pins::default();
    pins.set(identities.iter().map(|own| own.fingerprint).collect());
    identities.map(|own| {
        let (sender, heard) = mpsc::channel(8);
        let configs = configs(&own, &pins).expect("a configuration");
        let listen = "127.0.0.1:0".parse().expect("an address");
        let datagrams = Datagrams::listen(listen, configs, sender).expect("a free port");
        Instance { datagrams, heard }
    })
}

/// Sends until it arrives: a connection is there a moment before the other side keeps it.
async fn arrives(from: &Instance, to: &mut Instance, text: &'static str) -> bool {
    let address = to.datagrams.address().expect("an address");
    let arrived = async {
        loop {
            let sent = from
                .datagrams
                .send(address, Bytes::from_static(text.as_bytes()));
            let wait = Duration::from_millis(20);
            if let Ok(Some(data)) = timeout(wait, to.heard.recv()).await {
                assert!(sent.is_ok(), "{data:?} without a send");
                return data == text.as_bytes();
            }
        }
    };
    timeout(PATIENCE, arrived).await.unwrap_or(false)
}

/// One of two instances opens a connection, and the other has none of its own. Its words
/// must come all the same; without them one side takes the other for dead.
#[tokio::test]
async fn one_connection_serves_both_directions() {
    let [mut one, mut two] = pair();
    let address = two.datagrams.address().expect("an address");
    one.datagrams.connect(address).await.expect("a connection");
    assert!(arrives(&one, &mut two, "there").await);
    assert!(arrives(&two, &mut one, "back").await);
}

/// An instance is replaced at its address. The words of the new one must be heard, not
/// waited for on the connection of the one before.
#[tokio::test]
async fn a_replaced_instance_is_heard() {
    let [mut one, two] = pair();
    let address = two.datagrams.address().expect("an address");
    one.datagrams.connect(address).await.expect("a connection");
    one.datagrams.retain(|_, _| false);
    assert!(one.datagrams.send(address, Bytes::new()).is_err());
    one.datagrams.connect(address).await.expect("a connection");
    assert!(arrives(&two, &mut one, "back").await);
}
