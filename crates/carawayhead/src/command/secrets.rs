//! Keys of callers and certificates of instances.

use {
    crate::prelude::*,
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    std::path::Path,
};

/// Name in every certificate of an instance; instances know each other by it.
pub const PEER_NAME: &str = fellow::PEER_NAME;

/// File of the authority's certificate.
const AUTHORITY: &str = "authority.pem";

/// File of the authority's key.
const AUTHORITY_KEY: &str = "authority.key";

/// Prints a new caller key and the hash that goes into the customer's record.
pub fn caller_key() {
    let key = format!("ch-{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple());
    println!("key      {key}");
    println!("key_hash {}", blake3::hash(key.as_bytes()).to_hex());
}

/// Makes a certificate for an instance, and the authority before the first one.
///
/// # Errors
///
/// A file cannot be read or written, or holds no certificate.
pub fn certificate(folder: &str, name: &str) -> Result<(), Error> {
    let folder = Path::new(folder);
    std::fs::create_dir_all(folder).map_err(|error| fault(folder, error))?;
    let issuer = authority(folder)?;
    let key = KeyPair::generate().map_err(|error| certificate_fault(name, &error))?;
    let params = CertificateParams::new(vec![PEER_NAME.to_string()])
        .map_err(|error| certificate_fault(name, &error))?;
    let certificate = params
        .signed_by(&key, &issuer)
        .map_err(|error| certificate_fault(name, &error))?;
    write(&folder.join(format!("{name}.pem")), &certificate.pem())?;
    write(&folder.join(format!("{name}.key")), &key.serialize_pem())
}

fn authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, Error> {
    let (certificate, key) = (folder.join(AUTHORITY), folder.join(AUTHORITY_KEY));
    if !certificate.exists() {
        let pair = KeyPair::generate().map_err(|error| certificate_fault(AUTHORITY, &error))?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "carawayhead authority");
        let made = params
            .self_signed(&pair)
            .map_err(|error| certificate_fault(AUTHORITY, &error))?;
        write(&certificate, &made.pem())?;
        write(&key, &pair.serialize_pem())?;
    }
    let pair = KeyPair::from_pem(&read(&key)?);
    let pair = pair.map_err(|error| certificate_fault(AUTHORITY_KEY, &error))?;
    Issuer::from_ca_cert_pem(&read(&certificate)?, pair)
        .map_err(|error| certificate_fault(AUTHORITY, &error))
}

fn certificate_fault(name: &str, error: &rcgen::Error) -> Error {
    Error::Peer(fellow::Error::Certificate(
        name.to_string(),
        error.to_string(),
    ))
}

fn fault(path: &Path, error: std::io::Error) -> Error {
    Error::Io(path.display().to_string(), error)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| fault(path, error))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| fault(path, error))
}
