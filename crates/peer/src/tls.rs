//! TLS and transport configuration of a node, the same for both ends of a connection.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;

use crate::identity::Error;
use crate::identity::Identity;

/// ALPN protocol name and version; the handshake fails with a peer that uses another.
const ALPN: &[u8] = b"cowslipchute/1";
/// Maximum number of concurrent calls from one peer.
const MAX_STREAMS: u32 = 256;
/// Round-trip time assumed before the first measurement. It determines how soon a lost first packet
/// is retransmitted; failure domains are milliseconds apart.
const INITIAL_RTT: Duration = Duration::from_millis(25);

/// Server and client configuration of a node.
pub(crate) struct Configs {
    pub server: quinn::ServerConfig,
    pub client: quinn::ClientConfig,
}

/// Builds the configuration for an identity. Connections are closed after `idle_timeout` without
/// traffic.
pub(crate) fn configs(identity: &Identity, idle_timeout: Duration) -> Result<Configs, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(roots(identity)?);
    let transport = Arc::new(transport(idle_timeout)?);
    let mut server =
        quinn::ServerConfig::with_crypto(Arc::new(server(identity, &provider, &roots)?));
    server.transport_config(transport.clone());
    // The pool identifies a peer by its address, so connections may not migrate.
    server.migration(false);
    let mut client = quinn::ClientConfig::new(Arc::new(client(identity, provider, roots)?));
    client.transport_config(transport);
    Ok(Configs { server, client })
}

fn roots(identity: &Identity) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for authority in identity.authorities() {
        roots.add(authority.clone()).map_err(tls_error)?;
    }
    Ok(roots)
}

fn server(
    identity: &Identity,
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
) -> Result<QuicServerConfig, Error> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
    let verifier = verifier.build().map_err(tls_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain(), identity.key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    QuicServerConfig::try_from(config).map_err(tls_error)
}

fn client(
    identity: &Identity,
    provider: Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
) -> Result<QuicClientConfig, Error> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(roots)
        .with_client_auth_cert(identity.chain(), identity.key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    // Early data (0-RTT) could be replayed, which would execute a call twice.
    config.enable_early_data = false;
    QuicClientConfig::try_from(config).map_err(tls_error)
}

fn transport(idle_timeout: Duration) -> Result<quinn::TransportConfig, Error> {
    let mut transport = quinn::TransportConfig::default();
    let idle_timeout = quinn::IdleTimeout::try_from(idle_timeout).map_err(tls_error)?;
    transport.max_idle_timeout(Some(idle_timeout));
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport.initial_rtt(INITIAL_RTT);
    Ok(transport)
}

fn tls_error(error: impl std::fmt::Display) -> Error {
    Error::Tls(error.to_string())
}
