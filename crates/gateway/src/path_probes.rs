//! Probes of the network paths to endpoints while requests get no response.

use crate::connect::open;
use crate::gateway::Gateway;
use futures::future::join_all;
use mangospindle_dispatch::{PathChange, ProbeRound};
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the need for probes is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of endpoints that are probed at the same time, in different failure domains.
const PROBES_PER_ROUND: usize = 3;

impl Gateway {
    /// Announces at once that callers should leave or may return.
    pub(crate) fn update_accepts_callers(&self) {
        let accepts = self.paths.borrow().accepts_callers(self.now());
        if self.accepts_callers.replace(accepts) != accepts {
            self.announce_now.notify_one();
        }
    }

    /// Whether this entry has no path to any endpoint.
    pub(crate) fn paths_lost(&self) -> bool {
        self.paths.borrow().are_lost()
    }
}

/// Probes the paths whenever the path monitor asks for it.
pub(crate) async fn run_path_probes(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let waiting_since = gateway.in_progress.oldest_send();
        let is_due = (gateway.paths.borrow()).is_round_due(gateway.now(), waiting_since);
        if is_due {
            // Known before they are needed, if the paths are lost.
            gateway.want_peers();
            let round = probe_paths(&gateway).await;
            record_round(&gateway, round);
        }
        gateway.update_accepts_callers();
    }
}

/// Opens connections to a few endpoints. Those that open are kept for requests.
async fn probe_paths(gateway: &Gateway) -> ProbeRound {
    let targets = gateway.with_dispatcher(|d, _| d.probe_targets(PROBES_PER_ROUND));
    let timeout = gateway.paths.borrow().probe_timeout(gateway.now());
    let probes = targets.iter().map(|&(endpoint, address)| async move {
        match open(gateway, endpoint, address, timeout).await {
            Ok(lease) => {
                lease.release();
                true
            }
            Err(e) => {
                log::debug!("no path to {address}: {e}");
                false
            }
        }
    });
    let opened = join_all(probes).await.into_iter().filter(|o| *o).count();
    ProbeRound {
        probed: targets.len(),
        opened,
    }
}

fn record_round(gateway: &Gateway, round: ProbeRound) {
    let now = gateway.now();
    let change = gateway.paths.borrow_mut().record_round(now, round);
    match change {
        Some(PathChange::Lost) => event!(Warn, "endpoint_paths_lost", "probed" => round.probed,
            "in_progress" => gateway.in_progress.len()),
        Some(PathChange::Restored { lost_at }) => {
            event!(Info, "endpoint_paths_restored", "probed" => round.probed,
                "opened" => round.opened,
                "lost_ms" => now.saturating_sub(lost_at).as_millis());
            // Connections from before the loss can stay silent for good.
            drop(gateway.pool.acquire_unvalidated(lost_at));
            gateway.with_dispatcher(|d, _| d.record_paths_restored(lost_at));
        }
        None => log::debug!("{} of {} path probes succeeded", round.opened, round.probed),
    }
}
