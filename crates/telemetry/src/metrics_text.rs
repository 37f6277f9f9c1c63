use prometheus::{Encoder, Registry, TextEncoder};

/// Encodes all metrics of a registry in the Prometheus text format.
pub fn metrics_text(registry: &Registry) -> Result<String, prometheus::Error> {
    let mut buf = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut buf)?;
    Ok(String::from_utf8_lossy(&buf).into_owned())
}
