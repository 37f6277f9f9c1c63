/// Who sent a request to this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// Another entry, which has no path to the endpoints. The request is not relayed again.
    Entry,
}
