//! Generates caller keys and instance certificates.

use {
    crate::prelude::*,
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    std::path::Path,
};

/// DNS name in the certificate of every instance, which peers verify.
pub const PEER_NAME: &str = peer::PEER_NAME;

/// File name of the CA certificate.
const AUTHORITY_CERTIFICATE: &str = "authority.pem";

/// File name of the CA key.
const AUTHORITY_KEY: &str = "authority.key";

/// Creates a caller key and prints it with its hash for the record of the customer.
pub fn create_caller_key() {
    let key = format!("ch-{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple());
    println!("key      {key}");
    println!("key_hash {}", blake3::hash(key.as_bytes()).to_hex());
}

/// Creates a certificate for an instance, and the certificate authority if there is none.
///
/// # Errors
///
/// Returns an error if a file cannot be read or written, or holds no valid certificate.
pub fn create_certificate(folder: &str, name: &str) -> Result<(), Error> {
    let folder = Path::new(folder);
    std::fs::create_dir_all(folder).map_err(|error| io_error(folder, error))?;
    let issuer = authority(folder)?;
    let key = KeyPair::generate().map_err(|error| certificate_error(name, &error))?;
    let params = CertificateParams::new(vec![PEER_NAME.to_string()])
        .map_err(|error| certificate_error(name, &error))?;
    let certificate = params
        .signed_by(&key, &issuer)
        .map_err(|error| certificate_error(name, &error))?;
    write(&folder.join(format!("{name}.pem")), &certificate.pem())?;
    write(&folder.join(format!("{name}.key")), &key.serialize_pem())
}

fn authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let (certificate, key) = (
        folder.join(AUTHORITY_CERTIFICATE),
        folder.join(AUTHORITY_KEY),
    );
    if !certificate.exists() {
        let pair = KeyPair::generate()
            .map_err(|error| certificate_error(AUTHORITY_CERTIFICATE, &error))?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "carawayhead authority");
        let signed = params
            .self_signed(&pair)
            .map_err(|error| certificate_error(AUTHORITY_CERTIFICATE, &error))?;
        write(&certificate, &signed.pem())?;
        write(&key, &pair.serialize_pem())?;
    }
    let pair = KeyPair::from_pem(&read(&key)?);
    let pair = pair.map_err(|error| certificate_error(AUTHORITY_KEY, &error))?;
    Issuer::from_ca_cert_pem(&read(&certificate)?, pair)
        .map_err(|error| certificate_error(AUTHORITY_CERTIFICATE, &error))
}

fn certificate_error(name: &str, error: &rcgen::Error) -> Error {
    Error::Peer(peer::Error::Certificate(
        name.to_string(),
        error.to_string(),
    ))
}

fn io_error(path: &Path, error: std::io::Error) -> Error {
    Error::Io(path.display().to_string(), error)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| io_error(path, error))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| io_error(path, error))
}
