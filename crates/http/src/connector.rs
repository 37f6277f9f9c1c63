use crate::checked_stream::CheckedStream;
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::Connector;
use awc::http::Uri;

/// Creates a connector for the clients of this project: they get no response whose head is malformed or whose body
/// is truncated.
///
/// `awc` accepts blanks between the name of a field and the colon, and takes the end of the connection for the end
/// of any body.
pub fn checked_connector() -> Connector<
    impl Service<
        ConnectInfo<Uri>,
        Response = Connection<Uri, CheckedStream<TcpStream>>,
        Error = ConnectError,
    > + Clone,
> {
    let connect = TcpConnector::default().service();
    Connector::new().connector(connect.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, CheckedStream::new(stream))
    }))
}
