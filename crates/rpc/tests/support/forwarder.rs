use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// Forwards connections and can make the open ones silent while new ones work.
pub struct Forwarder {
    pub address: SocketAddr,
    generation: Rc<Cell<u64>>,
    open: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Forwarder {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let forwarder = Forwarder {
            address: listener.local_addr().unwrap(),
            generation: Rc::default(),
            open: Rc::default(),
        };
        let (generation, open) = (forwarder.generation.clone(), forwarder.open.clone());
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                let server = TcpStream::connect(target).await.unwrap();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                for (mut from, mut to) in [(client_read, server_write), (server_read, client_write)]
                {
                    let (generation, born) = (generation.clone(), generation.get());
                    let pump = spawn_local(async move {
                        let mut buf = vec![0; 64 << 10];
                        while let Ok(read @ 1..) = from.read(&mut buf).await {
                            let alive = generation.get() == born;
                            if alive && to.write_all(&buf[..read]).await.is_err() {
                                return;
                            }
                        }
                    });
                    open.borrow_mut().push(pump.abort_handle());
                }
            }
        });
        forwarder
    }

    /// Drops all bytes of the open connections from now on, without closing them.
    pub fn silence(&self) {
        self.generation.set(self.generation.get() + 1);
    }

    /// Closes the open connections.
    pub fn close(&self) {
        self.open
            .borrow_mut()
            .drain(..)
            .for_each(|pump| pump.abort());
    }
}
