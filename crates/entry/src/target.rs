use mangospindle_model::{EndpointId, EntryId};

/// The peer of a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Target {
    /// An endpoint that this entry owns.
    Endpoint(EndpointId),
    /// Another entry.
    Entry(EntryId),
}
