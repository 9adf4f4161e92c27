//! TLS configuration and certificates for connections between daemons.

use crate::config::PeerTls;
use crate::error::{Error, Result, WriteSnafu};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};
use snafu::ResultExt;
use std::path::Path;
use std::sync::Arc;

/// Server name in every daemon's certificate. It is the same for all daemons: a peer is trusted because of
/// the certificate authority that signed its certificate, not because of the name.
pub const NAME: &str = "tidestair";
/// ALPN protocol name of connections between daemons.
const ALPN_PROTOCOL: &[u8] = b"tidestair/1";

/// A daemon's certificate and private key, and the certificate authority that it trusts.
pub struct Identity {
    /// `None` if peers are not authenticated.
    ca: Option<CertificateDer<'static>>,
    cert: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

/// A certificate authority that signs daemons' certificates, for tests, replay and quickstart.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    cert: CertificateDer<'static>,
}

impl Authority {
    /// Generates a certificate authority.
    pub fn generate() -> Result<Authority> {
        let mut params = CertificateParams::new(Vec::new()).map_err(tls_error)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(tls_error)?;
        let cert = params.self_signed(&key).map_err(tls_error)?;
        Ok(Authority { cert: cert.der().clone(), issuer: Issuer::new(params, key) })
    }

    /// Generates a key for a daemon and signs a certificate for it.
    pub fn sign(&self) -> Result<Identity> {
        let mut params = CertificateParams::new(vec![NAME.to_string()]).map_err(tls_error)?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().map_err(tls_error)?;
        let cert = params.signed_by(&key, &self.issuer).map_err(tls_error)?;
        let der = PrivatePkcs8KeyDer::from(key.serialize_der());
        Ok(Identity {
            ca: Some(self.cert.clone()),
            cert: cert.der().clone(),
            key: PrivateKeyDer::Pkcs8(der),
        })
    }
}

impl Identity {
    /// Reads the PEM files named in the settings.
    pub fn load(files: &PeerTls) -> Result<Identity> {
        let ca = CertificateDer::from_pem_file(&files.ca).map_err(tls_error)?;
        let cert = CertificateDer::from_pem_file(&files.cert).map_err(tls_error)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(tls_error)?;
        Ok(Identity { ca: Some(ca), cert, key })
    }

    /// Generates a certificate for this process only. Connections are encrypted, but peers are not
    /// authenticated. This is for networks where anyone who can reach a daemon can also write to the store
    /// that configures it.
    pub fn unauthenticated() -> Result<Identity> {
        let identity = Authority::generate()?.sign()?;
        Ok(Identity { ca: None, ..identity })
    }

    /// Writes `ca.pem`, `cert.pem` and `key.pem` to a directory.
    pub fn write(&self, dir: &Path) -> Result<()> {
        let ca: &[u8] = self.ca.as_ref().map_or(&[], |ca| ca.as_ref());
        let files = [
            ("ca.pem", "CERTIFICATE", ca),
            ("cert.pem", "CERTIFICATE", self.cert.as_ref()),
            ("key.pem", "PRIVATE KEY", self.key.secret_der()),
        ];
        for (name, label, der) in files {
            let path = dir.join(name);
            std::fs::write(&path, pem(label, der)).context(WriteSnafu { path })?;
        }
        Ok(())
    }

    /// Returns the TLS configuration for accepting connections.
    pub fn server(&self) -> Result<Arc<QuicServerConfig>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?;
        let builder = match &self.ca {
            Some(ca) => {
                let roots = Arc::new(root_store(ca)?);
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
                builder.with_client_cert_verifier(verifier.build().map_err(tls_error)?)
            }
            None => builder.with_no_client_auth(),
        };
        let mut tls = builder
            .with_single_cert(vec![self.cert.clone()], self.key.clone_key())
            .map_err(tls_error)?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(Arc::new(QuicServerConfig::try_from(tls).map_err(tls_error)?))
    }

    /// Returns the TLS configuration for opening connections.
    pub fn client(&self) -> Result<Arc<QuicClientConfig>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?;
        let mut tls = match &self.ca {
            Some(ca) => builder
                .with_root_certificates(root_store(ca)?)
                .with_client_auth_cert(vec![self.cert.clone()], self.key.clone_key())
                .map_err(tls_error)?,
            None => builder
                .dangerous()
                .with_custom_certificate_verifier(Arc::new(AcceptAnyPeer(provider)))
                .with_no_client_auth(),
        };
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(Arc::new(QuicClientConfig::try_from(tls).map_err(tls_error)?))
    }
}

fn root_store(ca: &CertificateDer<'static>) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    roots.add(ca.clone()).map_err(tls_error)?;
    Ok(roots)
}

/// Certificate verifier that accepts any certificate; see [`Identity::unauthenticated`].
#[derive(Debug)]
struct AcceptAnyPeer(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyPeer {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> std::result::Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls12_signature(message, cert, signed, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, cert, signed, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Encodes DER data as PEM.
fn pem(label: &str, der: &[u8]) -> String {
    const LINE_LENGTH: usize = 64;
    let text = STANDARD.encode(der);
    let lines: Vec<&str> = (0..text.len())
        .step_by(LINE_LENGTH)
        .map(|i| &text[i..text.len().min(i + LINE_LENGTH)])
        .collect();
    format!("-----BEGIN {label}-----\n{}\n-----END {label}-----\n", lines.join("\n"))
}

fn tls_error(e: impl std::fmt::Display) -> Error {
    Error::Tls { reason: e.to_string() }
}
