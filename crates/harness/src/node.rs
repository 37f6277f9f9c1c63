/// A process of a cluster, as an end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// An entry, by its position in the topology.
    Entry(u16),
    /// A control replica, by its number.
    Control(u16),
    /// The endpoints of a failure domain, by its position in the topology.
    Endpoints(u16),
}
