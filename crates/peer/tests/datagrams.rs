//! Connections between instances that have pinned each other's certificates.

use {
    bytes::Bytes,
    peer::{
        datagram::DatagramSocket,
        pinned::{Identity, Pins, configs},
        tunnel,
    },
    std::{
        io::ErrorKind,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream, UdpSocket},
        sync::mpsc,
        time::timeout,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Instance {
    datagrams: DatagramSocket,
    received: mpsc::Receiver<Bytes>,
    requested: mpsc::Receiver<tunnel::Incoming>,
}

/// Two instances that have pinned each other.
fn pair() -> [Instance; 2] {
    let identities = [(); 2].map(|()| Identity::new().expect("a certificate"));
    let pins = Pins::default();
    pins.set(identities.iter().map(|own| own.fingerprint).collect());
    identities.map(|own| {
        let (sender, received) = mpsc::channel(8);
        let (tunnels, requested) = mpsc::channel(8);
        let configs = configs(&own, &pins).expect("a configuration");
        let listen = "127.0.0.1:0".parse().expect("an address");
        let datagrams =
            DatagramSocket::listen(listen, configs, sender, tunnels).expect("a free port");
        Instance {
            datagrams,
            received,
            requested,
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

/// Opens a tunnel from `one` through `two`, and returns both of its ends.
async fn open_tunnel(one: &Instance, two: &mut Instance) -> (tunnel::Stream, tunnel::Accepted) {
    let address = two.datagrams.address().expect("an address");
    let endpoint = "127.0.0.1:9".parse().expect("an address");
    let accept = async {
        let incoming = two.requested.recv().await.expect("a request");
        assert_eq!(incoming.endpoint, endpoint);
        incoming.accept().await.expect("the peer waits")
    };
    let (opened, accepted) = tokio::join!(one.datagrams.open_tunnel(address, endpoint), accept);
    (opened.expect("a tunnel"), accepted)
}

/// A tunnel carries bytes both ways, and is not closed with connections that gossip does not need.
#[tokio::test]
async fn tunnel_keeps_its_connection_open() {
    let [one, mut two] = pair();
    let (mut stream, mut accepted) = open_tunnel(&one, &mut two).await;
    one.datagrams.retain(|_, _| false);
    two.datagrams.retain(|_, _| false);
    stream.write_all(b"request").await.expect("an open tunnel");
    let mut request = [0; 7];
    accepted
        .receive
        .read_exact(&mut request)
        .await
        .expect("an open tunnel");
    assert_eq!(&request, b"request");
    accepted
        .send
        .write_all(b"answer")
        .await
        .expect("an open tunnel");
    drop(accepted);
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("a clean end");
    assert_eq!(answer, b"answer");
}

/// An answer without a length ends with its connection. One that the endpoint has broken off must not
/// look complete at the other end of a tunnel.
#[tokio::test]
async fn broken_answer_does_not_end_in_order() {
    let [one, mut two] = pair();
    let (mut stream, mut accepted) = open_tunnel(&one, &mut two).await;
    accepted
        .send
        .write_all(b"half")
        .await
        .expect("an open tunnel");
    accepted.reset();
    let mut answer = Vec::new();
    let error = stream.read_to_end(&mut answer).await;
    let error = error.expect_err("the answer is not complete");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// Number of times that a race of the two directions of a tunnel is repeated.
const RACES: usize = 40;

/// Guards against an answer without a length that its endpoint breaks off while the request is still being written: the
/// failed write must not look like the end of the answer at the other end of a tunnel.
#[tokio::test]
async fn answer_broken_off_during_its_request_does_not_end_in_order() {
    let [one, mut two] = pair();
    for _ in 0..RACES {
        let (stream, accepted) = open_tunnel(&one, &mut two).await;
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        let connected = TcpStream::connect(address).await.expect("accepted");
        let relaying = tokio::spawn(accepted.relay(connected));
        let (mut endpoint, _) = listener.accept().await.expect("connected");
        let (mut answer_part, mut request_part) = tokio::io::split(stream);
        let writing = tokio::spawn(async move {
            let body = vec![b'x'; 64 << 10];
            while request_part.write_all(&body).await.is_ok() {}
        });
        let mut begun = [0; 4];
        endpoint.read_exact(&mut begun).await.expect("a request");
        endpoint.write_all(b"half").await.expect("an open tunnel");
        let mut answer = [0; 4];
        answer_part
            .read_exact(&mut answer)
            .await
            .expect("its start");
        // With unread bytes, as a crashed process leaves them.
        drop(endpoint);
        let mut rest = Vec::new();
        let read = timeout(TEST_TIMEOUT, answer_part.read_to_end(&mut rest)).await;
        let error = read.expect("it ends").expect_err("it is not complete");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        writing.abort();
        drop((answer_part, writing.await));
        relaying.await.expect("no panic");
    }
}

/// A peer that is lost has to look unlike an endpoint that breaks a connection, since requests are
/// refused under which several endpoints were lost.
#[tokio::test]
async fn lost_peer_is_told_from_a_broken_endpoint() {
    let [one, mut two] = pair();
    let (mut stream, _accepted) = open_tunnel(&one, &mut two).await;
    two.datagrams
        .close(one.datagrams.address().expect("an address"));
    let mut answer = Vec::new();
    let error = stream.read_to_end(&mut answer).await;
    let error = error.expect_err("the answer is not complete");
    assert_eq!(error.kind(), ErrorKind::NotConnected);
}

/// A peer that refuses must be told from one that cannot reach the endpoint, which says something of
/// the endpoint.
#[tokio::test]
async fn refusal_is_told_from_an_unreached_endpoint() {
    let [one, mut two] = pair();
    let address = two.datagrams.address().expect("an address");
    let endpoint = "127.0.0.1:9".parse().expect("an address");
    let answer = async {
        let first = two.requested.recv().await.expect("a request");
        first.refuse().await;
        let second = two.requested.recv().await.expect("a request");
        second.report_unreached().await;
    };
    let ask = async {
        let first = one.datagrams.open_tunnel(address, endpoint).await;
        assert!(matches!(first, Err(tunnel::Failure::Refused)), "{first:?}");
        let second = one.datagrams.open_tunnel(address, endpoint).await;
        assert!(
            matches!(second, Err(tunnel::Failure::Unreached)),
            "{second:?}"
        );
    };
    tokio::join!(answer, ask);
}

/// Requests that need a tunnel at the same time, with no connection open yet, must not replace each
/// other's connection.
#[tokio::test]
async fn tunnels_that_are_opened_together_share_a_connection() {
    let [one, mut two] = pair();
    let address = two.datagrams.address().expect("an address");
    let endpoint = "127.0.0.1:9".parse().expect("an address");
    let accept = async {
        for _ in 0..8 {
            let incoming = two.requested.recv().await.expect("a request");
            let accepted = incoming.accept().await.expect("the peer waits");
            drop(accepted);
        }
    };
    let open = async {
        let mut tunnels = tokio::task::JoinSet::new();
        for _ in 0..8 {
            let datagrams = one.datagrams.clone();
            tunnels.spawn(async move { datagrams.open_tunnel(address, endpoint).await });
        }
        while let Some(opened) = tunnels.join_next().await {
            opened.expect("no panic").expect("a tunnel");
        }
    };
    let both = async { tokio::join!(accept, open) };
    timeout(TEST_TIMEOUT, both).await.expect("all are opened");
}

/// Forwards UDP between a client and a target until `is_cut` is set; returns its address.
async fn start_relay(target: SocketAddr, is_cut: Arc<AtomicBool>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut client = None;
        let mut buffer = vec![0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            if from != target {
                client = Some(from);
            }
            let to = if from == target { client } else { Some(target) };
            if let Some(to) = to.filter(|_| !is_cut.load(Ordering::Relaxed)) {
                // Fails if the other end is gone.
                let _sent = socket.send_to(&buffer[..length], to).await;
            }
        }
    });
    address
}

/// A peer that is cut off from an instance takes its streams over elsewhere, and cannot close the tunnels
/// through it. Their endpoints must not go on for long, or two of them work on one stream.
#[tokio::test]
async fn peer_that_is_not_heard_counts_as_lost() {
    let [one, mut two] = pair();
    let is_cut = Arc::new(AtomicBool::new(false));
    let target = two.datagrams.address().expect("an address");
    let relay = start_relay(target, Arc::clone(&is_cut)).await;
    let endpoint = "127.0.0.1:9".parse().expect("an address");
    let accept = async {
        let incoming = two.requested.recv().await.expect("a request");
        incoming.accept().await.expect("the peer waits")
    };
    let (opened, accepted) = tokio::join!(one.datagrams.open_tunnel(relay, endpoint), accept);
    let _stream = opened.expect("a tunnel");
    let heard = timeout(Duration::from_secs(1), accepted.peer_lost()).await;
    assert!(heard.is_err(), "the peer of an idle tunnel is heard");
    is_cut.store(true, Ordering::Relaxed);
    timeout(TEST_TIMEOUT, accepted.peer_lost())
        .await
        .expect("the peer is lost");
}
