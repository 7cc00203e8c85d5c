//! Mutual TLS between instances.

use {
    crate::{prelude::*, tunnel},
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::{
        RootCertStore,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
        server::WebPkiClientVerifier,
    },
};

/// Name in the certificate of every instance.
///
/// Addresses of instances change, so a certificate only proves that its holder is an
/// instance of this system; the authority signs nothing else.
pub const PEER_NAME: &str = "carawayhead";

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of keep-alive packets on idle connections, which may carry a tunnel to an endpoint that is
/// silent for longer than [`IDLE_TIMEOUT`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of tunnels that a peer may open on a connection.
const MAX_TUNNELS: u32 = 256;

/// Unread bytes of one stream; more would let slow readers fill the memory of a small instance.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Paths of an instance's PEM files.
#[derive(Clone, Debug)]
pub struct Files {
    /// The authority that signs every instance's certificate.
    pub authority: String,
    /// Certificate chain.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

/// QUIC configurations for both directions.
#[derive(Debug)]
pub struct Configs {
    /// For outgoing connections.
    pub client: quinn::ClientConfig,
    /// For incoming connections.
    pub server: quinn::ServerConfig,
}

/// Creates QUIC configurations from an instance's files.
///
/// # Errors
///
/// A file cannot be read, or contains no usable certificate or key.
pub fn configs(files: &Files) -> Result<Configs, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(roots(&files.authority)?);
    let chain = chain(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|error| certificate_error(&files.key, &error))?;
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .map_err(|error| certificate_error(&files.authority, &error))?;
    let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| certificate_error(&files.certificate, &error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|error| certificate_error(&files.certificate, &error))?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| certificate_error(&files.certificate, &error))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| certificate_error(&files.certificate, &error))?;
    let server = QuicServerConfig::try_from(server)
        .map_err(|error| certificate_error(&files.key, &error))?;
    let client = QuicClientConfig::try_from(client)
        .map_err(|error| certificate_error(&files.key, &error))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    server.transport_config(transport());
    client.transport_config(transport());
    Ok(Configs { client, server })
}

pub(crate) fn transport() -> Arc<quinn::TransportConfig> {
    transport_with(KEEP_ALIVE_INTERVAL)
}

/// For connections that carry tunnels, on which the peer has to hear this instance all the time.
pub(crate) fn tunnel_transport() -> Arc<quinn::TransportConfig> {
    transport_with(tunnel::HEARTBEAT_INTERVAL)
}

fn transport_with(keep_alive_interval: Duration) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport.keep_alive_interval(Some(keep_alive_interval));
    transport.max_concurrent_bidi_streams(MAX_TUNNELS.into());
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
    Arc::new(transport)
}

fn roots(file: &str) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in chain(file)? {
        roots
            .add(certificate)
            .map_err(|error| certificate_error(file, &error))?;
    }
    Ok(roots)
}

fn chain(file: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| certificate_error(file, &error))?;
    let chain = certificates.collect::<Result<Vec<_>, _>>();
    let chain = chain.map_err(|error| certificate_error(file, &error))?;
    if chain.is_empty() {
        return Err(certificate_error(file, &"contains no certificate"));
    }
    Ok(chain)
}

fn certificate_error(file: &str, error: &dyn Display) -> Error {
    Error::Certificate(file.to_string(), error.to_string())
}
