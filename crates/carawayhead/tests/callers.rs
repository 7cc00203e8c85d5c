//! Callers who come over TLS, write by halves, leave, or read slowly.

mod common;

use {
    common::{Builder, CallerRequest},
    rustls::{
        ClientConfig, RootCertStore,
        pki_types::{CertificateDer, ServerName, pem::PemObject as _},
    },
    serde_json::json,
    std::sync::Arc,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
    tokio_rustls::TlsConnector,
};

#[tokio::test]
async fn callers_are_served_over_tls() {
    let cluster = Builder {
        tls: true,
        ..Builder::default()
    }
    .start()
    .await;
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(cluster.folder.join("authority.pem"));
    roots
        .add(authority.expect("an authority was made"))
        .expect("it can be trusted");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the versions are supported")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(&cluster.instances[0].address)
        .await
        .expect("a listener");
    let name = ServerName::try_from("carawayhead").expect("a valid name");
    let connector = TlsConnector::from(Arc::new(config));
    let mut stream = connector.connect(name, stream).await.expect("a handshake");
    let request = b"GET /readyz HTTP/1.1\r\nhost: carawayhead\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("a connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Callers write half a request and vanish, or ask and leave before the answer.
/// What they leave behind must not stay: the counter behind them waits for the
/// memory and the turn that they hold.
#[tokio::test]
async fn disconnected_callers_release_their_resources() {
    let cluster = Builder {
        engine_flags: vec!["--step-base=20000"],
        limits: "grace = \"100ms\"",
        ..Builder::default()
    }
    .start()
    .await;
    let address = &cluster.instances[0].address;
    for half in [
        "POST /v1/comp",
        "POST /v1/completions HTTP/1.1\r\ncontent-length: 90\r\n\r\n{",
    ] {
        let mut stream = TcpStream::connect(address).await.expect("a listener");
        stream
            .write_all(half.as_bytes())
            .await
            .expect("a connection");
    }
    for _ in 0..5 {
        drop(
            cluster
                .send(0, CallerRequest::generation(100_000, true))
                .await
                .expect("an answer"),
        );
    }
    let (status, _) = cluster.call(0, CallerRequest::generation(3, false)).await;
    assert_eq!(status, 200);
    cluster
        .wait_until("nothing is in progress", async || {
            let status = cluster.get(&cluster.instances[0].operator, "/status").await;
            status["requests"] == json!(0)
        })
        .await;
}
