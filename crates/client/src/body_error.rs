/// Error while reading the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender closed the connection or sent an invalid chunk.
    Incomplete,
    /// The length of the body differs from the declared length.
    LengthMismatch,
}
