use serde::Deserialize;

/// What the holder of a token may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenRole {
    /// Read everything.
    Viewer,
    /// Also change profiles, assignments, limits and drains.
    Operator,
    /// Also change membership and fence VMs.
    Owner,
}

/// An administration token. Only its hash is kept.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Name of the holder, recorded in the audit trail.
    pub name: String,
    /// What the holder may do.
    pub role: TokenRole,
    /// SHA-256 of the token, in hexadecimal.
    pub sha256: String,
}
