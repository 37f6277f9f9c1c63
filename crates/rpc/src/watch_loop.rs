use crate::backoff::Backoff;
use crate::connection::{Connection, Liveness};
use crate::control_client::Inner;
use crate::limits::{CLIENT_SILENCE, CUT_OFF_AGE, MAX_WATCH_HOLD};
use crate::{RpcError, WatchContent, WatchReply, WatchRequest};
use mangospindle_state::Config;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Shortest and longest pause after a replica failed and before the next one is tried. The longest
/// adds to the time that an entry is without a configuration after a restart of all processes.
const RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));

/// Assumed bound on the drift between the clocks of two processes: one part in this many.
const DRIFT_PARTS: u32 = 100;

/// Time after which a client that uses another replica than the nearest tries the nearest again,
/// between half and all of it. Short enough that a restart of a replica does not leave its callers
/// with the longer way for long, long enough that a dead nearest replica costs little.
const RETURN_TO_NEAREST: Duration = Duration::from_secs(6);

/// Why a connection is left.
enum Left {
    /// The replica is of no use.
    Failed(RpcError),
    /// It is time to try the nearest replica again.
    Return,
}

/// Keeps one watch open and moves from replica to replica.
pub(crate) async fn watch_loop(inner: Rc<Inner>) {
    let liveness = Liveness {
        silence: CLIENT_SILENCE,
        idle_ping: MAX_WATCH_HOLD,
    };
    let mut backoff = Backoff::new(RETRY.0, RETRY.1);
    let mut next = 0;
    loop {
        let (nearest, address) = {
            let replicas = inner.replicas.borrow();
            let index = next % replicas.len();
            (index == 0, replicas[index])
        };
        let clock = Arc::clone(&inner.clock);
        let counters = inner.counters.clone();
        let left = match Connection::open(address, clock, counters, liveness).await {
            Ok(connection) => {
                let connection = Rc::new(connection);
                let left = watch_connection(&inner, connection, &mut backoff, nearest).await;
                inner.connection.send_replace(None);
                inner.view.send_modify(|view| view.replica = None);
                left
            }
            Err(e) => Left::Failed(e),
        };
        match left {
            Left::Failed(e) => {
                log::info!("moving on from control replica {address}: {e}");
                next += 1;
                tokio::time::sleep(backoff.next()).await;
            }
            Left::Return => next = 0,
        }
    }
}

/// Watches over one connection until it fails or the replica is cut off.
async fn watch_connection(
    inner: &Rc<Inner>,
    connection: Rc<Connection>,
    backoff: &mut Backoff,
    nearest: bool,
) -> Left {
    let opened_at = inner.clock.now();
    let return_after = RETURN_TO_NEAREST.mul_f64(rand::rng().random_range(0.5..1.0));
    // The first watch of a connection is answered at once: the state may have been unconfirmed for
    // as long as the silence bound.
    let mut hold = Duration::ZERO;
    loop {
        let known_version = inner.view.borrow().config.version;
        let request = WatchRequest {
            known_version,
            hold,
            entry: *inner.report.borrow(),
        };
        let sent_at = inner.clock.now();
        let reply = match watch_once(&connection, &request).await {
            Ok(reply) => reply,
            Err(e) => return Left::Failed(e),
        };
        let cut_off = reply.cut_off || reply.confirmed_age.is_none_or(|age| age > CUT_OFF_AGE);
        if let Err(e) = present(inner, &reply, sent_at, &connection, cut_off) {
            return Left::Failed(e);
        }
        if cut_off {
            return Left::Failed(RpcError::CutOff);
        }
        if !nearest && inner.clock.now() >= opened_at + return_after {
            return Left::Return;
        }
        backoff.reset();
        hold = MAX_WATCH_HOLD;
    }
}

async fn watch_once(
    connection: &Connection,
    request: &WatchRequest,
) -> Result<WatchReply, RpcError> {
    let mut call = connection.client().watch_request();
    request.write(call.get().init_request());
    let response = connection.call(call.send().promise).await?;
    WatchReply::try_from(response.get()?.get_reply()?)
}

/// Applies a reply to the view.
fn present(
    inner: &Rc<Inner>,
    reply: &WatchReply,
    sent_at: Duration,
    connection: &Rc<Connection>,
    cut_off: bool,
) -> Result<(), RpcError> {
    let address = connection.address();
    let known = Arc::clone(&inner.view.borrow().config);
    let config = match &reply.content {
        WatchContent::Unchanged => known,
        WatchContent::Changes(changes) => {
            let mut config = Config::clone(&known);
            changes.iter().for_each(|change| config.apply(change));
            if config.version != reply.version {
                return Err(RpcError::Invalid("changes do not match".to_string()));
            }
            Arc::new(config)
        }
        WatchContent::Config(config) => Arc::new(Config::clone(config)),
    };
    if config.version < inner.view.borrow().config.version {
        return Err(RpcError::Invalid("the version went back".to_string()));
    }
    // The reply was computed at the replica no earlier than the request was sent and held, so this
    // bound holds however long the reply was delayed on its way.
    let computed_at = sent_at + reply.held - reply.held / DRIFT_PARTS;
    let confirmed_at = (reply.confirmed_age)
        .map(|age| age + age / DRIFT_PARTS)
        .and_then(|age| computed_at.checked_sub(age));
    inner.view.send_modify(|view| {
        view.config = config;
        view.confirmed_at = view.confirmed_at.max(confirmed_at);
        view.replica = (!cut_off).then_some(address);
    });
    if !cut_off && inner.connection.borrow().is_none() {
        inner.connection.send_replace(Some(Rc::clone(connection)));
    }
    Ok(())
}
