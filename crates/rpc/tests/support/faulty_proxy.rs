use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// TCP proxy that can stall or close its open connections. New connections work normally.
pub struct FaultyProxy {
    pub address: SocketAddr,
    /// Incremented to stall all connections opened so far.
    generation: Rc<Cell<u64>>,
    copy_tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

impl FaultyProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultyProxy {
            address: listener.local_addr().unwrap(),
            generation: Rc::default(),
            copy_tasks: Rc::default(),
        };
        let (generation, copy_tasks) = (proxy.generation.clone(), proxy.copy_tasks.clone());
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                let server = TcpStream::connect(target).await.unwrap();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                for (mut from, mut to) in [(client_read, server_write), (server_read, client_write)]
                {
                    let (generation, opened_generation) = (generation.clone(), generation.get());
                    let copy_task = spawn_local(async move {
                        let mut buf = vec![0; 64 << 10];
                        while let Ok(read @ 1..) = from.read(&mut buf).await {
                            let forwarding = generation.get() == opened_generation;
                            if forwarding && to.write_all(&buf[..read]).await.is_err() {
                                return;
                            }
                        }
                    });
                    copy_tasks.borrow_mut().push(copy_task.abort_handle());
                }
            }
        });
        proxy
    }

    /// Discards all further bytes of the open connections without closing them.
    pub fn stall_connections(&self) {
        self.generation.set(self.generation.get() + 1);
    }

    /// Closes the open connections.
    pub fn close_connections(&self) {
        self.copy_tasks
            .borrow_mut()
            .drain(..)
            .for_each(|copy_task| copy_task.abort());
    }
}
