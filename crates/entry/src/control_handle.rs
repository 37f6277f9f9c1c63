use crate::control_plane::ControlPlane;
use futures::FutureExt;
use futures::future::BoxFuture;
use mangospindle_rpc::{ControlClient, ProposeResult, QueryResult};
use mangospindle_state::{Actor, ClaimKey, Command, CommandKind, RequestId};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A call to the control replicas, on its way to the thread that holds the client.
pub(crate) enum ControlCall {
    Propose {
        // Boxed, because the other variant is small.
        command: Box<Command>,
        time: Duration,
        reply: oneshot::Sender<ProposeResult>,
    },
    QueryClaim {
        key: ClaimKey,
        time: Duration,
        reply: oneshot::Sender<QueryResult>,
    },
}

/// Reaches the [`ControlClient`], which is bound to one thread, from all threads.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    process: String,
    calls: mpsc::UnboundedSender<ControlCall>,
}

impl ControlHandle {
    /// A handle for a process, and the calls that [`serve_calls`] answers.
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
        time: Duration,
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
            time,
            reply,
        };
        if self.calls.send(call).is_err() {
            return futures::future::ready(ProposeResult::NotAccepted).boxed();
        }
        async { receiver.await.unwrap_or(ProposeResult::Unknown) }.boxed()
    }

    fn query_claim(&self, key: ClaimKey, time: Duration) -> BoxFuture<'static, QueryResult> {
        let (reply, receiver) = oneshot::channel();
        let call = ControlCall::QueryClaim { key, time, reply };
        // A closed channel drops `reply`, which ends the wait.
        let _closed = self.calls.send(call);
        async { receiver.await.unwrap_or(QueryResult::Unconfirmed) }.boxed()
    }
}

/// Passes calls on to the client until all handles are gone.
pub(crate) async fn serve_calls(
    client: ControlClient,
    mut calls: mpsc::UnboundedReceiver<ControlCall>,
) {
    while let Some(call) = calls.recv().await {
        let client = client.clone();
        actix_rt::spawn(async move {
            // A caller that has gone needs no reply.
            match call {
                ControlCall::Propose {
                    command,
                    time,
                    reply,
                } => {
                    let _gone = reply.send(client.propose(&command, time).await);
                }
                ControlCall::QueryClaim { key, time, reply } => {
                    let _gone = reply.send(client.query_claim(&key, time).await);
                }
            }
        });
    }
}
