//! Mutual TLS between daemons.

use crate::config::PeerTls;
use crate::error::{Error, Result, WriteSnafu};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use snafu::ResultExt;
use std::path::Path;
use std::sync::Arc;

/// The name in every daemon's certificate; the authority, not the name, is what counts.
pub const NAME: &str = "tidestair";
const PROTOCOL: &[u8] = b"tidestair/1";

/// A daemon's certificate and the authority that it trusts.
pub struct Identity {
    ca: CertificateDer<'static>,
    cert: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

/// An authority that signs daemons, for tests, replay and quickstart.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    cert: CertificateDer<'static>,
}

impl Authority {
    /// A new authority.
    pub fn generate() -> Result<Authority> {
        let mut params = CertificateParams::new(Vec::new()).map_err(broken)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(broken)?;
        let cert = params.self_signed(&key).map_err(broken)?;
        Ok(Authority { cert: cert.der().clone(), issuer: Issuer::new(params, key) })
    }

    /// A certificate for one daemon.
    pub fn sign(&self) -> Result<Identity> {
        let mut params = CertificateParams::new(vec![NAME.to_string()]).map_err(broken)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().map_err(broken)?;
        let cert = params.signed_by(&key, &self.issuer).map_err(broken)?;
        let der = PrivatePkcs8KeyDer::from(key.serialize_der());
        Ok(Identity {
            ca: self.cert.clone(),
            cert: cert.der().clone(),
            key: PrivateKeyDer::Pkcs8(der),
        })
    }
}

impl Identity {
    /// Reads the PEM files named in the settings.
    pub fn load(files: &PeerTls) -> Result<Identity> {
        let ca = CertificateDer::from_pem_file(&files.ca).map_err(broken)?;
        let cert = CertificateDer::from_pem_file(&files.cert).map_err(broken)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(broken)?;
        Ok(Identity { ca, cert, key })
    }

    /// Writes `ca.pem`, `cert.pem` and `key.pem` into a folder.
    pub fn write(&self, dir: &Path) -> Result<()> {
        let files = [
            ("ca.pem", "CERTIFICATE", self.ca.as_ref()),
            ("cert.pem", "CERTIFICATE", self.cert.as_ref()),
            ("key.pem", "PRIVATE KEY", self.key.secret_der()),
        ];
        for (name, label, der) in files {
            let path = dir.join(name);
            std::fs::write(&path, pem(label, der)).context(WriteSnafu { path })?;
        }
        Ok(())
    }

    /// What the listening side needs.
    pub fn server(&self) -> Result<Arc<QuicServerConfig>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.roots()?), provider.clone())
                .build()
                .map_err(broken)?;
        let builder = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(broken)?;
        let builder = builder.with_client_cert_verifier(verifier);
        let mut tls = builder
            .with_single_cert(vec![self.cert.clone()], self.key.clone_key())
            .map_err(broken)?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Arc::new(QuicServerConfig::try_from(tls).map_err(broken)?))
    }

    /// What the connecting side needs.
    pub fn client(&self) -> Result<Arc<QuicClientConfig>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(broken)?;
        let builder = builder.with_root_certificates(self.roots()?);
        let mut tls = builder
            .with_client_auth_cert(vec![self.cert.clone()], self.key.clone_key())
            .map_err(broken)?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Arc::new(QuicClientConfig::try_from(tls).map_err(broken)?))
    }

    fn roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        roots.add(self.ca.clone()).map_err(broken)?;
        Ok(roots)
    }
}

/// DER bytes as PEM text.
fn pem(label: &str, der: &[u8]) -> String {
    const LINE: usize = 64;
    let text = STANDARD.encode(der);
    let lines: Vec<&str> =
        (0..text.len()).step_by(LINE).map(|i| &text[i..text.len().min(i + LINE)]).collect();
    format!("-----BEGIN {label}-----\n{}\n-----END {label}-----\n", lines.join("\n"))
}

fn broken(e: impl std::fmt::Display) -> Error {
    Error::Tls { reason: e.to_string() }
}
