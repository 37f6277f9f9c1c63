/// Names an endpoint in a [`Dispatcher`](crate::Dispatcher). Never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u32);
