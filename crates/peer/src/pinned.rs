//! Mutual TLS with certificates pinned by fingerprint.
//!
//! Where no keys can be distributed, each instance generates a certificate at startup and
//! publishes its fingerprint with its address in a store that only instances can write to.
//! A connection is accepted only if both ends present a published certificate.

use {
    crate::{prelude::*, tls::Configs},
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::{
        CertificateError, DigitallySignedStruct, DistinguishedName, SignatureScheme,
        client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature},
        pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
        server::danger::{ClientCertVerified, ClientCertVerifier},
    },
};

/// BLAKE3 hash of a certificate.
pub type Fingerprint = [u8; 32];

/// A self-signed certificate for the lifetime of the process.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    /// Fingerprint under which peers accept it.
    pub fingerprint: Fingerprint,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Generates a key and a certificate.
    ///
    /// # Errors
    ///
    /// The certificate cannot be generated.
    pub fn new() -> Result<Self, Error> {
        let certificate_error = |error: rcgen::Error| {
            Error::Certificate("own certificate".to_string(), error.to_string())
        };
        let names = vec![tls::PEER_NAME.to_string()];
        let made = rcgen::generate_simple_self_signed(names).map_err(certificate_error)?;
        let certificate = made.cert.der().clone();
        Ok(Self {
            fingerprint: *blake3::hash(&certificate).as_bytes(),
            key: PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()),
            certificate,
        })
    }
}

/// Fingerprints of the accepted certificates, sorted; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pins(Arc<Mutex<Vec<Fingerprint>>>);

impl Pins {
    /// Replaces all fingerprints.
    ///
    /// # Panics
    ///
    /// The lock is poisoned.
    pub fn set(&self, mut pins: Vec<Fingerprint>) {
        pins.sort_unstable();
        *self.0.lock().expect("the pins are never poisoned") = pins;
    }

    fn contains(&self, certificate: &CertificateDer) -> bool {
        let fingerprint = *blake3::hash(certificate).as_bytes();
        let pins = self.0.lock().expect("the pins are never poisoned");
        pins.binary_search(&fingerprint).is_ok()
    }
}

/// QUIC configurations for outgoing and incoming connections.
///
/// # Errors
///
/// The certificate cannot be used.
pub fn configs(identity: &Identity, pins: &Pins) -> Result<Configs, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = Arc::new(Verifier {
        pins: pins.clone(),
        provider: Arc::clone(&provider),
    });
    let certificate_error =
        |error: &dyn Display| Error::Certificate("own certificate".to_string(), error.to_string());
    let chain = vec![identity.certificate.clone()];
    let key = || PrivateKeyDer::from(identity.key.clone_key());
    let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| certificate_error(&error))?
        .with_client_cert_verifier(Arc::clone(&verifier) as Arc<dyn ClientCertVerifier>)
        .with_single_cert(chain.clone(), key())
        .map_err(|error| certificate_error(&error))?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| certificate_error(&error))?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain, key())
        .map_err(|error| certificate_error(&error))?;
    let server = QuicServerConfig::try_from(server).map_err(|error| certificate_error(&error))?;
    let client = QuicClientConfig::try_from(client).map_err(|error| certificate_error(&error))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    server.transport_config(tls::transport());
    client.transport_config(tls::transport());
    Ok(Configs { client, server })
}

/// Accepts certificates by fingerprint; signatures prove that the peer holds the key.
#[derive(Debug)]
struct Verifier {
    pins: Pins,
    provider: Arc<CryptoProvider>,
}

impl Verifier {
    fn check(&self, certificate: &CertificateDer) -> Result<(), rustls::Error> {
        if self.pins.contains(certificate) {
            return Ok(());
        }
        let unknown = CertificateError::ApplicationVerificationFailure;
        Err(rustls::Error::InvalidCertificate(unknown))
    }
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer,
        _intermediates: &[CertificateDer],
        _server_name: &ServerName,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer,
        _intermediates: &[CertificateDer],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls12_signature(self, message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls13_signature(self, message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        ServerCertVerifier::supported_verify_schemes(self)
    }
}
