/// Why the body of a request could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender closed the connection or sent an invalid chunk.
    Incomplete,
    /// The body has another length than declared.
    LengthMismatch,
}
