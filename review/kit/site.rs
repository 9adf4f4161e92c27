//! A small installation for the cases: services, routes and tenants as on the sheet of `nikuthi-kochi`.

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
/// Service of the model replicas.
pub const ENGINE: &str = "vakya";
/// Service of the application.
pub const APPLICATION: &str = "samarpan";

/// Bytes of an engine's memory per token.
pub const TOKEN_BYTES: u64 = 131_072;
/// Speed of a model replica's link in megabits per second.
pub const LINK_MBPS: f64 = 19_000.0;

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// `streaming`, `safe` or `unsafe`.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub slo_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

impl Route<'_> {
    fn json(&self) -> String {
        let Route { name, prefix, kind, service, timeout_ms, slo_ms, attempts, resumable } = self;
        let gap = if *kind == "streaming" { ",\"gap_aim_ms\":180" } else { "" };
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":{slo_ms},\"priority\":0,\"backend\":\"{service}\",\"maxAttempts\":{attempts},\"anonymous\":false,\"sessionAffinity\":true,\"resumable\":{resumable}{gap}}}"
        )
    }
}

/// The configuration with these routes and tenants, each tenant with its keys.
pub fn config(version: u64, routes: &[Route<'_>], tenants: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!("{{\"name\":\"{name}\",\"apiKeys\":[{}]}}", keys.join(","))
        })
        .collect();
    format!(
        "{{\"configVersion\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{ENGINE}\",\"healthPath\":\"/health\",\"maxConnections\":372,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"capacity\":48,\"kvTokens\":34414,\"kvBytes\":{TOKEN_BYTES},\"linkMbps\":{LINK_MBPS:.1},\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"{APPLICATION}\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}
