//! TLS identity of a process: its certificate and key, and the certificate authorities it accepts.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;

use crate::authority;
use crate::authority::Authority;

/// Failure to read, write or use an identity.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A PEM text holds no certificate or key.
    #[error("{origin}: {problem}")]
    Pem {
        /// The file, or the expected content of the text.
        origin: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The certificate, key and authorities don't match.
    #[error("the certificate, key and authorities can't be used together: {0}")]
    Tls(String),
    /// A certificate could not be generated.
    #[error("a certificate can't be made: {0}")]
    Authority(#[from] authority::Error),
}

/// A certificate with its key, and every authority whose certificates are accepted from peers.
///
/// Several authorities may be given, so that the old and the new one overlap during key rotation:
/// first every process accepts the new authority, then each gets a new certificate, then the old
/// authority is removed (`docs/design/peer.md`).
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Vec<CertificateDer<'static>>,
}

impl Clone for Identity {
    fn clone(&self) -> Identity {
        Identity {
            chain: self.chain.clone(),
            key: self.key.clone_key(),
            authorities: self.authorities.clone(),
        }
    }
}

impl Identity {
    /// Reads an identity from PEM files. The authorities' file may hold several certificates.
    ///
    /// # Errors
    ///
    /// When a file can't be read or lacks the expected certificate or key. Whether the three match
    /// is checked when a node is opened with them.
    pub fn load(
        cert_pem_path: impl AsRef<Path>,
        key_pem_path: impl AsRef<Path>,
        ca_pem_path: impl AsRef<Path>,
    ) -> Result<Identity, Error> {
        Ok(Identity {
            chain: certificates(&origin(&cert_pem_path), &read(cert_pem_path.as_ref())?)?,
            key: private_key(&origin(&key_pem_path), &read(key_pem_path.as_ref())?)?,
            authorities: certificates(&origin(&ca_pem_path), &read(ca_pem_path.as_ref())?)?,
        })
    }

    /// Parses an identity from PEM texts.
    ///
    /// # Errors
    ///
    /// When a text lacks the expected certificate or key.
    pub fn from_pem(cert: &str, key: &str, authorities: &str) -> Result<Identity, Error> {
        Ok(Identity {
            chain: certificates("certificate", cert.as_bytes())?,
            key: private_key("key", key.as_bytes())?,
            authorities: certificates("authorities", authorities.as_bytes())?,
        })
    }

    /// Generates a new authority and one certificate, for tests and the demonstration.
    ///
    /// Processes that share a clone of the identity accept only each other.
    ///
    /// # Errors
    ///
    /// When the certificates can't be generated.
    pub fn generate() -> Result<Identity, Error> {
        let authority = Authority::generate()?;
        authority.issue()?.identity()
    }

    /// Returns the certificate chain, leaf first.
    pub(crate) fn chain(&self) -> Vec<CertificateDer<'static>> {
        self.chain.clone()
    }

    /// Returns the key of the leaf certificate.
    pub(crate) fn key(&self) -> PrivateKeyDer<'static> {
        self.key.clone_key()
    }

    /// Returns the accepted authorities.
    pub(crate) fn authorities(&self) -> &[CertificateDer<'static>] {
        &self.authorities
    }
}

/// Paths of the certificate and key files of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// The authority's certificate, which every process needs.
    pub authority: PathBuf,
    /// The authority's key. It issues further certificates; no process needs it.
    pub authority_key: PathBuf,
    /// A certificate for the processes.
    pub certificate: PathBuf,
    /// The certificate's key.
    pub key: PathBuf,
}

impl Files {
    /// Returns the paths of a deployment's files in a directory.
    pub fn in_directory(directory: &Path) -> Files {
        Files {
            authority: directory.join("ca.pem"),
            authority_key: directory.join("ca-key.pem"),
            certificate: directory.join("peer.pem"),
            key: directory.join("peer-key.pem"),
        }
    }
}

/// Generates the authority and one certificate of a new deployment and writes them to a directory.
///
/// The directory is created if it doesn't exist. An existing file is an error and is never
/// overwritten, so that a repeated command can't replace the keys of a running deployment.
///
/// # Errors
///
/// When a file exists or can't be written, or the certificates can't be generated.
pub fn write_files(directory: &Path) -> Result<Files, Error> {
    let files = Files::in_directory(directory);
    let authority = Authority::generate()?;
    let leaf = authority.issue()?;
    fs::create_dir_all(directory)
        .map_err(|source| Error::File { path: directory.to_owned(), source })?;
    write_new(&files.authority_key, authority.key_pem(), SECRET_MODE)?;
    write_new(&files.key, &leaf.key_pem, SECRET_MODE)?;
    write_new(&files.authority, authority.pem(), PUBLIC_MODE)?;
    write_new(&files.certificate, &leaf.pem, PUBLIC_MODE)?;
    Ok(files)
}

/// File mode of a private key, readable only by its owner.
const SECRET_MODE: u32 = 0o600;
/// File mode of a certificate, readable by all users.
const PUBLIC_MODE: u32 = 0o644;

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), Error> {
    use std::io::Write as _;
    use std::os::unix::fs::OpenOptionsExt as _;

    let open = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    open.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|source| Error::File { path: path.to_owned(), source })
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

fn origin(path: &impl AsRef<Path>) -> String {
    path.as_ref().display().to_string()
}

fn certificates(origin: &str, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let pem_error = |problem: String| Error::Pem { origin: origin.to_owned(), problem };
    let found = found.map_err(|error| pem_error(error.to_string()))?;
    if found.is_empty() {
        return Err(pem_error("it holds no certificate".to_owned()));
    }
    Ok(found)
}

fn private_key(origin: &str, pem: &[u8]) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_slice(pem)
        .map_err(|error| Error::Pem { origin: origin.to_owned(), problem: error.to_string() })
}
