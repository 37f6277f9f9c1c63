/// Identifies an endpoint within a [`Dispatcher`](crate::Dispatcher). Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u32);
