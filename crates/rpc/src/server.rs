use crate::connection::rpc_system;
use crate::connection_stats::ConnectionStats;
use crate::control_capnp::control;
use crate::limits::{MAX_CONNECTIONS, SERVER_IDLE_TIMEOUT};
use crate::snapshot_assembler::SnapshotAssembler;
use crate::wire_message::WireMessage;
use crate::{
    ControlService, MAX_COMMAND_BYTES, Proposal, ProposeResult, RpcError, TrafficCounters,
};
use capnp_rpc::rpc_twoparty_capnp::Side;
use mangospindle_model::{Clock, ServiceId};
use mangospindle_state::ClaimKey;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves them in local tasks until the future is dropped.
///
/// Must be polled on a `LocalSet`. Connections above the limit are closed after they are accepted.
pub async fn serve(
    listener: TcpListener,
    service: Rc<dyn ControlService>,
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            log::warn!("closing a new connection: limit of {MAX_CONNECTIONS} connections reached");
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let open_connections = Rc::clone(&open_connections);
        let stats = ConnectionStats::new(Arc::clone(&clock), counters.clone());
        let service = Rc::clone(&service);
        tokio::task::spawn_local(async move {
            serve_connection(stream, service, stats).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: Rc<dyn ControlService>,
    stats: Rc<ConnectionStats>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let server = ControlServer {
        service,
        assembler: RefCell::new(SnapshotAssembler::default()),
    };
    let client: control::Client = capnp_rpc::new_client(server);
    let system = rpc_system(stream, Rc::clone(&stats), Side::Server, Some(client.client));
    let idle_timeout = async {
        while stats.idle_time() < SERVER_IDLE_TIMEOUT {
            tokio::time::sleep(SERVER_IDLE_TIMEOUT / 5).await;
        }
    };
    tokio::select! {
        result = system => log::debug!("connection closed: {result:?}"),
        () = idle_timeout => log::debug!("closing an idle connection"),
    }
}

/// Server side of one connection.
struct ControlServer {
    service: Rc<dyn ControlService>,
    assembler: RefCell<SnapshotAssembler>,
}

impl ControlServer {
    /// Handles the messages synchronously, so that calls are handled in the order of their arrival.
    fn deliver_messages(&self, params: &control::DeliverParams) -> Result<(), RpcError> {
        let mut messages = Vec::new();
        for reader in params.get()?.get_messages()?.iter() {
            match WireMessage::try_from(reader)? {
                WireMessage::Whole(message) => messages.push(message),
                WireMessage::Chunk(chunk) => {
                    messages.extend(self.assembler.borrow_mut().add_chunk(chunk)?);
                }
            }
        }
        self.service.deliver(messages);
        Ok(())
    }
}

impl control::Server for ControlServer {
    async fn watch(
        self: Rc<Self>,
        params: control::WatchParams,
        mut results: control::WatchResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?.try_into()?;
        let reply = self.service.watch(request).await;
        Ok(reply.write(results.get().init_reply())?)
    }

    async fn propose(
        self: Rc<Self>,
        params: control::ProposeParams,
        mut results: control::ProposeResults,
    ) -> Result<(), capnp::Error> {
        let reader = params.get()?;
        let proposal = Proposal {
            command: reader.get_command()?.to_vec(),
            forwarded: reader.get_forwarded(),
            based_on: Some(reader.get_based_on()).filter(|index| *index > 0),
        };
        let result = match proposal.command.len() <= MAX_COMMAND_BYTES {
            true => self.service.propose(proposal).await,
            false => ProposeResult::NotAccepted,
        };
        Ok(result.write(results.get().init_reply())?)
    }

    async fn query_claim(
        self: Rc<Self>,
        params: control::QueryClaimParams,
        mut results: control::QueryClaimResults,
    ) -> Result<(), capnp::Error> {
        let reader = params.get()?;
        let key = ClaimKey {
            service: ServiceId(reader.get_service()),
            key: reader.get_key()?.to_string()?,
        };
        let result = self.service.query_claim(key).await;
        Ok(result.write(results.get().init_reply())?)
    }

    fn deliver(
        self: Rc<Self>,
        params: control::DeliverParams,
        _results: control::DeliverResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        std::future::ready(self.deliver_messages(&params).map_err(capnp::Error::from))
    }

    async fn exchange(
        self: Rc<Self>,
        params: control::ExchangeParams,
        mut results: control::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?.to_vec();
        let reply = self.service.exchange(request).await;
        results.get().set_reply(&reply);
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: control::PingParams,
        _results: control::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}
