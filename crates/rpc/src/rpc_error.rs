use std::io;

/// Error of a connection or call.
#[derive(Debug, thiserror::Error)]
pub enum RpcError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection was closed before the response arrived.
    #[error("the connection was closed")]
    Closed,
    /// The response did not arrive in time.
    #[error("the response timed out")]
    Timeout,
    /// The replica could not confirm its state with a majority.
    #[error("the replica is cut off")]
    CutOff,
    /// The peer sent an invalid message.
    #[error("invalid message: {0}")]
    Invalid(String),
    /// The peer or the RPC system reported an error.
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
}

impl From<postcard::Error> for RpcError {
    fn from(e: postcard::Error) -> Self {
        RpcError::Invalid(e.to_string())
    }
}

impl From<capnp::NotInSchema> for RpcError {
    fn from(e: capnp::NotInSchema) -> Self {
        RpcError::Invalid(e.to_string())
    }
}

impl From<RpcError> for capnp::Error {
    fn from(e: RpcError) -> Self {
        match e {
            RpcError::Call(e) => e,
            other => capnp::Error::failed(other.to_string()),
        }
    }
}
