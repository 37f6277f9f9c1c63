use crate::backoff::Backoff;
use crate::connection::{Connection, LivenessTimeouts};
use crate::control_client::ClientInner;
use crate::limits::{CLIENT_SILENCE_TIMEOUT, CUT_OFF_AGE, MAX_WATCH_HOLD};
use crate::{RpcError, WatchContent, WatchReply, WatchRequest};
use mangospindle_state::Config;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Initial and maximum delay before the next replica is tried after a failure. The maximum adds to
/// the time for which an entry has no configuration after a restart of all processes.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));

/// Inverse of the assumed maximum relative drift between the clocks of two processes: 100 stands
/// for 1%.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Interval at which a client that is not connected to the nearest replica tries the nearest again.
/// The delay is drawn between 50% and 100% of it. It is short, so that clients return to a
/// restarted replica soon, and long enough that attempts to reach a dead replica cost little.
const NEAREST_RETRY_INTERVAL: Duration = Duration::from_secs(6);

/// Why a connection is given up.
enum ExitReason {
    /// The connection or the replica is unusable.
    Failed(RpcError),
    /// It is time to try the nearest replica again.
    RetryNearest,
}

/// Watches the state through one replica at a time. Tries the next replica after a failure.
pub(crate) async fn watch_loop(inner: Rc<ClientInner>) {
    let liveness = LivenessTimeouts {
        silence_timeout: CLIENT_SILENCE_TIMEOUT,
        keepalive_interval: MAX_WATCH_HOLD,
    };
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    let mut next_index = 0;
    loop {
        let (nearest, address) = {
            let replicas = inner.replicas.borrow();
            let index = next_index % replicas.len();
            (index == 0, replicas[index])
        };
        let clock = Arc::clone(&inner.clock);
        let counters = inner.counters.clone();
        let exit_reason = match Connection::open(address, clock, counters, liveness).await {
            Ok(connection) => {
                let connection = Rc::new(connection);
                let exit_reason = watch_connection(&inner, connection, &mut backoff, nearest).await;
                inner.connection.send_replace(None);
                inner.view.send_modify(|view| view.replica = None);
                exit_reason
            }
            Err(e) => ExitReason::Failed(e),
        };
        match exit_reason {
            ExitReason::Failed(e) => {
                log::info!("moving on from control replica {address}: {e}");
                next_index += 1;
                tokio::time::sleep(backoff.next_delay()).await;
            }
            ExitReason::RetryNearest => next_index = 0,
        }
    }
}

/// Watches the state over one connection until the connection fails, the replica is cut off or it
/// is time to try the nearest replica again.
async fn watch_connection(
    inner: &Rc<ClientInner>,
    connection: Rc<Connection>,
    backoff: &mut Backoff,
    nearest: bool,
) -> ExitReason {
    let opened_at = inner.clock.now();
    let retry_nearest_after = NEAREST_RETRY_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
    // The first watch request on a connection is answered immediately, because the state may have
    // been unconfirmed for as long as the silence timeout.
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
            Err(e) => return ExitReason::Failed(e),
        };
        let cut_off = reply.cut_off || reply.confirmed_age.is_none_or(|age| age > CUT_OFF_AGE);
        if let Err(e) = apply_reply(inner, &reply, sent_at, &connection, cut_off) {
            return ExitReason::Failed(e);
        }
        if cut_off {
            return ExitReason::Failed(RpcError::CutOff);
        }
        if !nearest && inner.clock.now() >= opened_at + retry_nearest_after {
            return ExitReason::RetryNearest;
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

/// Updates the view from a reply and publishes the connection unless the replica is cut off.
fn apply_reply(
    inner: &Rc<ClientInner>,
    reply: &WatchReply,
    sent_at: Duration,
    connection: &Rc<Connection>,
    cut_off: bool,
) -> Result<(), RpcError> {
    let address = connection.address();
    let known_config = Arc::clone(&inner.view.borrow().config);
    let config = match &reply.content {
        WatchContent::Unchanged => known_config,
        WatchContent::Changes(changes) => {
            let mut config = Config::clone(&known_config);
            changes.iter().for_each(|change| config.apply(change));
            if config.version != reply.version {
                return Err(RpcError::Invalid(
                    "changes do not lead to the version of the reply".to_string(),
                ));
            }
            Arc::new(config)
        }
        WatchContent::Config(config) => Arc::new(Config::clone(config)),
    };
    if config.version < inner.view.borrow().config.version {
        return Err(RpcError::Invalid(
            "the configuration version decreased".to_string(),
        ));
    }
    // The replica computed the reply no earlier than the send time plus the hold time. This bound
    // does not depend on the network delay of the reply.
    let computed_at = sent_at + reply.held - reply.held / CLOCK_DRIFT_DIVISOR;
    let confirmed_at = (reply.confirmed_age)
        .map(|age| age + age / CLOCK_DRIFT_DIVISOR)
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
