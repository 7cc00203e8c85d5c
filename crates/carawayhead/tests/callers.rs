//! Callers that connect over TLS, send partial requests or disconnect.

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
        .add(authority.expect("the authority certificate is valid"))
        .expect("the root store accepts the authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the versions are supported")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(&cluster.instances[0].address)
        .await
        .expect("the instance accepts connections");
    let name = ServerName::try_from("carawayhead").expect("the server name is valid");
    let connector = TlsConnector::from(Arc::new(config));
    let mut stream = connector
        .connect(name, stream)
        .await
        .expect("the handshake succeeds");
    let request = b"GET /readyz HTTP/1.1\r\nhost: carawayhead\r\nconnection: close\r\n\r\n";
    stream
        .write_all(request)
        .await
        .expect("the request can be written");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the instance responds");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Callers disconnect in the middle of a request or before its response. Their requests
/// must not hold memory or concurrency slots that other callers need.
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
    for partial_request in [
        "POST /v1/comp",
        "POST /v1/completions HTTP/1.1\r\ncontent-length: 90\r\n\r\n{",
    ] {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the instance accepts connections");
        stream
            .write_all(partial_request.as_bytes())
            .await
            .expect("the request can be written");
    }
    for _ in 0..5 {
        drop(
            cluster
                .send(0, CallerRequest::generation(100_000, true))
                .await
                .expect("the instance responds"),
        );
    }
    let (status, _) = cluster.call(0, CallerRequest::generation(3, false)).await;
    assert_eq!(status, 200);
    cluster
        .wait_until("no request is in progress", async || {
            let status = cluster.get(&cluster.instances[0].operator, "/status").await;
            status["requests"] == json!(0)
        })
        .await;
}
