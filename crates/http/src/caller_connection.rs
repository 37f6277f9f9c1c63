use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use socket2::{SockRef, Socket};
use std::any::Any;
use std::io;
use std::mem::MaybeUninit;
use std::sync::Arc;

/// The connection on which a request arrived, to find out whether its caller still waits.
#[derive(Clone, Debug)]
pub struct CallerConnection(Arc<Socket>);

impl CallerConnection {
    /// Stores the connection for its requests. For `HttpServer::on_connect`.
    pub fn register(io: &dyn Any, extensions: &mut Extensions) {
        let Some(stream) = io.downcast_ref::<TcpStream>() else {
            return;
        };
        match SockRef::from(stream).try_clone() {
            Ok(socket) => {
                extensions.insert(CallerConnection(Arc::new(socket)));
            }
            Err(e) => log::warn!("cannot watch the connection of a caller: {e}"),
        }
    }

    /// Whether the caller has not closed its sending side, as callers do that no longer wait.
    pub fn is_open(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        match self.0.peek(&mut byte) {
            Ok(n) => n > 0,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
