use super::Role;
use sha2::{Digest, Sha256};
use std::fmt;
use std::net::SocketAddr;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Error in the token settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// The hash of the named token does not consist of 64 hexadecimal digits.
    MalformedHash(String),
    /// The name is empty or repeated. The audit trail could not distinguish the callers.
    InvalidName(String),
    /// No tokens are configured and the listener is not on a loopback address. Everyone who can
    /// reach it would have the owner role.
    UnauthenticatedListener(SocketAddr),
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TokenError::MalformedHash(name) => {
                write!(
                    f,
                    "the hash of token `{name}` is not a SHA-256 digest in hex"
                )
            }
            TokenError::InvalidName(name) => {
                write!(f, "the token name `{name}` is empty or repeated")
            }
            TokenError::UnauthenticatedListener(address) => {
                write!(f, "without tokens, {address} must be a loopback address")
            }
        }
    }
}

impl std::error::Error for TokenError {}

#[derive(Clone, Debug)]
struct Token {
    name: String,
    role: Role,
    hash: [u8; 32],
}

/// Bearer tokens that the API accepts, stored as SHA-256 digests.
#[derive(Clone, Debug, Default)]
pub struct Tokens(Vec<Token>);

impl Tokens {
    /// Name of every caller if no tokens are configured.
    const LOCAL_NAME: &str = "local";

    /// Adds a token, given the SHA-256 digest of its secret in hexadecimal.
    ///
    /// Returns an error if the name is empty or repeated, or the digest is malformed.
    pub fn add(&mut self, name: &str, role: Role, sha256_hex: &str) -> Result<(), TokenError> {
        if name.is_empty() || self.0.iter().any(|t| t.name == name) {
            return Err(TokenError::InvalidName(name.to_string()));
        }
        let hash = parse_hash(sha256_hex);
        self.0.push(Token {
            name: name.to_string(),
            role,
            hash: hash.ok_or_else(|| TokenError::MalformedHash(name.to_string()))?,
        });
        Ok(())
    }

    /// Checks that a listener without tokens is only reachable from this VM.
    ///
    /// Returns an error if no tokens are configured and `address` is not a loopback address.
    pub fn check_listener(&self, address: SocketAddr) -> Result<(), TokenError> {
        match self.0.is_empty() && !address.ip().is_loopback() {
            true => Err(TokenError::UnauthenticatedListener(address)),
            false => Ok(()),
        }
    }

    /// Returns the name and role of the caller, or `None` if the token is unknown.
    ///
    /// Compares against all tokens in constant time, so the response time reveals nothing about a
    /// hash.
    pub(super) fn authenticate(&self, secret: Option<&str>) -> Option<(&str, Role)> {
        if self.0.is_empty() {
            return Some((Self::LOCAL_NAME, Role::Owner));
        }
        let hash: [u8; 32] = Sha256::digest(secret?).into();
        let mut found = Choice::from(0);
        let mut position = 0u64;
        for (i, token) in self.0.iter().enumerate() {
            let equal = token.hash.ct_eq(&hash);
            position.conditional_assign(&(i as u64), equal);
            found |= equal;
        }
        let token = &self.0[position as usize];
        bool::from(found).then_some((token.name.as_str(), token.role))
    }
}

fn parse_hash(hex: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}
