use crate::control_plane::ControlPlane;
use futures::FutureExt;
use futures::future::BoxFuture;
use mangospindle_rpc::{ControlClient, ProposeResult, QueryResult};
use mangospindle_state::{Actor, ClaimKey, Command, CommandKind, RequestId};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A call to the control replicas, queued for the thread that runs the client.
pub(crate) enum ControlCall {
    Propose {
        // Boxed because the other variant is small.
        command: Box<Command>,
        timeout: Duration,
        reply: oneshot::Sender<ProposeResult>,
    },
    QueryClaim {
        key: ClaimKey,
        timeout: Duration,
        reply: oneshot::Sender<QueryResult>,
    },
}

/// Passes calls from any thread to the [`ControlClient`], which is bound to one thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    process: String,
    calls: mpsc::UnboundedSender<ControlCall>,
}

impl ControlHandle {
    /// Creates a handle for the named process, and the queue of calls for [`serve_calls`].
    pub(crate) fn new(process: String) -> (Self, mpsc::UnboundedReceiver<ControlCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        (ControlHandle { process, calls }, receiver)
    }
}

impl ControlPlane for ControlHandle {
    fn propose(
        &self,
        kind: CommandKind,
        request: RequestId,
        timeout: Duration,
    ) -> BoxFuture<'static, ProposeResult> {
        let (reply, receiver) = oneshot::channel();
        let command = Box::new(Command {
            request,
            actor: Actor::Process(self.process.clone()),
            // The leader sets the time when it accepts the command.
            leader_time_ms: 0,
            kind,
        });
        let call = ControlCall::Propose {
            command,
            timeout,
            reply,
        };
        if self.calls.send(call).is_err() {
            return futures::future::ready(ProposeResult::NotAccepted).boxed();
        }
        async { receiver.await.unwrap_or(ProposeResult::Unknown) }.boxed()
    }

    fn query_claim(&self, key: ClaimKey, timeout: Duration) -> BoxFuture<'static, QueryResult> {
        let (reply, receiver) = oneshot::channel();
        let call = ControlCall::QueryClaim {
            key,
            timeout,
            reply,
        };
        // If the channel is closed, `reply` is dropped and the receiver returns an error.
        let _closed = self.calls.send(call);
        async { receiver.await.unwrap_or(QueryResult::Unconfirmed) }.boxed()
    }
}

/// Forwards queued calls to the client until all handles are dropped.
pub(crate) async fn serve_calls(
    client: ControlClient,
    mut calls: mpsc::UnboundedReceiver<ControlCall>,
) {
    while let Some(call) = calls.recv().await {
        let client = client.clone();
        actix_rt::spawn(async move {
            // Sending fails only if the caller no longer waits for the reply.
            match call {
                ControlCall::Propose {
                    command,
                    timeout,
                    reply,
                } => {
                    let _gone = reply.send(client.propose(&command, timeout).await);
                }
                ControlCall::QueryClaim {
                    key,
                    timeout,
                    reply,
                } => {
                    let _gone = reply.send(client.query_claim(&key, timeout).await);
                }
            }
        });
    }
}
