use mangospindle_model::{EndpointId, EntryId};

/// The other side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Target {
    /// An endpoint that this entry owns.
    Endpoint(EndpointId),
    /// Another entry.
    Entry(EntryId),
}
