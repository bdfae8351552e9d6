//! The deployment's own certificate authority, which issues the certificates of the processes.
//!
//! All certificates carry the same name: a peer proves that it belongs to the deployment, not which
//! instance it is. Processes are replaced at any time and get their addresses from settings, so
//! certificates per address would need an issuing service that runs permanently.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use thiserror::Error;

use crate::identity;
use crate::identity::Identity;

/// Subject name of every process certificate, which callers verify.
pub const PEER_NAME: &str = "peer.cowslipchute.internal";
/// Common name of every authority. It names the role; authorities are told apart by their keys.
const AUTHORITY_NAME: &str = "cowslipchute deployment authority";

/// Failure to generate or read a certificate or key.
#[derive(Debug)]
#[derive(Error)]
#[error(transparent)]
pub struct Error(#[from] rcgen::Error);

/// A certificate authority with its key.
#[derive(Debug)]
pub struct Authority {
    pem: String,
    key_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

/// One issued certificate with its key, and the authority's certificate.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// The certificate.
    pub pem: String,
    /// Its key.
    pub key_pem: String,
    /// The certificate of the authority that issued it.
    pub authority_pem: String,
}

impl Authority {
    /// Generates a new authority with its own key.
    ///
    /// # Errors
    ///
    /// When the certificate can't be generated.
    pub fn generate() -> Result<Authority, Error> {
        let key = KeyPair::generate()?;
        let pem = authority_params()?.self_signed(&key)?.pem();
        Ok(Authority {
            pem,
            key_pem: key.serialize_pem(),
            issuer: Issuer::new(authority_params()?, key),
        })
    }

    /// Loads an authority made by [`Authority::generate`], to issue more certificates.
    ///
    /// # Errors
    ///
    /// When the key can't be read.
    pub fn from_pem(pem: &str, key_pem: &str) -> Result<Authority, Error> {
        let key = KeyPair::from_pem(key_pem)?;
        Ok(Authority {
            pem: pem.to_owned(),
            key_pem: key_pem.to_owned(),
            issuer: Issuer::new(authority_params()?, key),
        })
    }

    /// Returns the authority's certificate, which every process needs.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Returns the authority's key, which is needed only to issue certificates.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }

    /// Issues a certificate for a process.
    ///
    /// # Errors
    ///
    /// When the certificate can't be generated.
    pub fn issue(&self) -> Result<Leaf, Error> {
        let key = KeyPair::generate()?;
        let certificate = leaf_params()?.signed_by(&key, &self.issuer)?;
        Ok(Leaf {
            pem: certificate.pem(),
            key_pem: key.serialize_pem(),
            authority_pem: self.pem.clone(),
        })
    }
}

impl Leaf {
    /// Returns an identity that accepts only the issuing authority.
    ///
    /// # Errors
    ///
    /// When the texts are not valid PEM.
    pub fn identity(&self) -> Result<Identity, identity::Error> {
        Identity::from_pem(&self.pem, &self.key_pem, &self.authority_pem)
    }

    /// Returns an identity that accepts the issuing authority and the given ones.
    ///
    /// # Errors
    ///
    /// When a text is not a PEM certificate.
    pub fn identity_accepting(&self, others: &[&str]) -> Result<Identity, identity::Error> {
        let mut authorities = self.authority_pem.clone();
        for other in others {
            authorities.push_str(other);
        }
        Identity::from_pem(&self.pem, &self.key_pem, &authorities)
    }
}

fn authority_params() -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn leaf_params() -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, PEER_NAME);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}
