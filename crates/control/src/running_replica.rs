use crate::backend::ReplicaBackend;
use crate::disk::DiskWriter;
use crate::disk_recovery::{OpenedDisk, open_disk};
use crate::endpoint_polling::{EndpointSource, poll_endpoint_list};
use crate::fleet_view::ViewExchange;
use crate::limits::{RETAINED_LOG_BYTES, RETAINED_LOG_ENTRIES};
use crate::metrics::Metrics;
use crate::operator_handle::OperatorHandle;
use crate::options::{ReplicaOptions, ReplicaSet};
use crate::peers::Peers;
use crate::proposer::Proposer;
use crate::published_state::PublishedState;
use crate::replica::messages::{DiskDone, Stop};
use crate::replica::{Parts, Replica};
use crate::report_catch_up::ReportFetcher;
use crate::report_exchange::ReportExchange;
use crate::service::ReplicaService;
use crate::usage_exchange::UsageExchange;
use crate::usage_metrics::UsageMetrics;
use crate::usage_reader::UsageReader;
use crate::vm_list::poll_vm_list;
use crate::wall_clock::SystemWallClock;
use actix::{Addr, AsyncContext, Context};
use mangospindle_consensus::{Member, Node, NodeSettings, RecoveredState, ReplicaId, Timing};
use mangospindle_fleet::{PollSchedule, ReplicaStart, ReportCatchUp};
use mangospindle_model::Clock;
use mangospindle_rpc::{TrafficCounters, serve};
use mangospindle_storage::Wal;
use mangospindle_telemetry::event;
use miette::{IntoDiagnostic, Result, WrapErr};
use prometheus::Registry;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};

/// Maximum duration of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a stop that lets connections send the responses queued on them.
const RESPONSE_FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A control replica and its tasks on the current thread.
pub struct RunningReplica {
    replica: Addr<Replica>,
    published: Rc<PublishedState>,
    registry: Registry,
    usage: UsageReader,
    local: ReplicaId,
}

impl RunningReplica {
    /// Recovers the state on disk and starts all tasks. Must be called within an actix system.
    pub async fn start(options: ReplicaOptions, clock: Arc<dyn Clock>) -> Result<Self> {
        std::fs::create_dir_all(&options.data_dir)
            .into_diagnostic()
            .wrap_err("cannot create the data directory")?;
        let OpenedDisk {
            wal,
            recovered,
            state,
            audit,
            audit_file,
        } = open_disk(&options.data_dir).into_diagnostic()?;
        let snapshot = recovered.snapshot.as_ref().map(|s| (s.index, s.data.len()));
        let catch_up = ReportCatchUp::new(replica_start(&recovered));
        let settings = node_settings(&options, &wal);
        let node = Node::new(settings, recovered, rand::random(), clock.now())
            .into_diagnostic()
            .wrap_err("cannot start the consensus node from the recovered state")?;
        let listener = TcpListener::bind(options.rpc_listen)
            .await
            .into_diagnostic()
            .wrap_err("cannot open the RPC listener")?;
        let registry = Registry::new();
        let peer_counters = TrafficCounters::default();
        let server_counters = TrafficCounters::default();
        let published = PublishedState::new(state, options.replica);
        let usage_reader = UsageReader::new(published.shared_usage(), Arc::clone(&clock));
        let usage_metrics = UsageMetrics::new(usage_reader.clone()).into_diagnostic()?;
        (registry.register(Box::new(usage_metrics))).into_diagnostic()?;
        let replicas = options.replicas.clone();
        let local = options.replica;
        let peers = Peers::new(
            options.replica,
            replicas.clone(),
            Arc::clone(&clock),
            peer_counters.clone(),
        );
        let metrics =
            Metrics::new(&registry, peer_counters, server_counters.clone()).into_diagnostic()?;
        (metrics.audit_file_bytes).set(audit_file.total_bytes() as i64);
        let cx = Context::<Replica>::new();
        let replica = cx.address();
        let disk_done = replica.clone();
        let disk = DiskWriter::start(wal, audit_file, Arc::clone(&clock), move |result| {
            disk_done.do_send(DiskDone(result));
        })
        .into_diagnostic()?;
        event!(Info, "started", "replica" => options.replica.0, "rpc" => options.rpc_listen);
        let parts = Parts {
            options,
            clock: Arc::clone(&clock),
            wall_clock: Arc::new(SystemWallClock),
            node,
            published: Rc::clone(&published),
            disk,
            audit,
            peers: Rc::clone(&peers),
            metrics,
            snapshot,
        };
        cx.run(Replica::new(parts));
        let usage = Rc::new(UsageExchange {
            peers: Rc::clone(&peers),
            published: Rc::clone(&published),
            clock: Arc::clone(&clock),
            limits_changed: Notify::new(),
        });
        let reports = Rc::new(ReportExchange {
            peers: Rc::clone(&peers),
            published: Rc::clone(&published),
            clock: Arc::clone(&clock),
            catch_up: RefCell::new(catch_up),
        });
        let fetcher = ReportFetcher::new(Rc::clone(&reports), local);
        let service = Rc::new(ReplicaService {
            replica: replica.clone(),
            published: Rc::clone(&published),
            replicas: replicas.clone(),
            reports,
            usage: Rc::clone(&usage),
            clock: Arc::clone(&clock),
        });
        tokio::task::spawn_local(Rc::clone(&usage).follow_limits());
        tokio::task::spawn_local(usage.send_usage());
        let server = serve(listener, service, Arc::clone(&clock), server_counters);
        tokio::task::spawn_local(server);
        tokio::task::spawn_local(fetcher.run());
        if let ReplicaSet::Open { .. } = replicas {
            let exchange = Rc::new(ViewExchange {
                peers,
                replicas,
                published: Rc::clone(&published),
                clock,
            });
            tokio::task::spawn_local(Rc::clone(&exchange).exchange_views());
            tokio::task::spawn_local(exchange.follow_list());
        }
        Ok(RunningReplica {
            replica,
            published,
            registry,
            usage: usage_reader,
            local,
        })
    }

    /// Starts to poll the platform's endpoint list.
    pub fn poll_endpoint_list<S>(&self, source: S, schedule: PollSchedule, clock: Arc<dyn Clock>)
    where
        S: EndpointSource,
    {
        let published = Rc::clone(&self.published);
        let polling = poll_endpoint_list(source, schedule, self.local, published, clock);
        tokio::task::spawn_local(polling);
    }

    /// Returns a handle for requests of operators and callers, which can be used on any thread.
    pub fn operator_handle(&self, clock: Arc<dyn Clock>) -> OperatorHandle {
        OperatorHandle::new(self.backend(), self.published.shared_fleet(), clock)
    }

    /// Stops gracefully: finishes pending proposals, transfers leadership and leaves.
    pub async fn stop(self) {
        let (stopped_tx, stopped_rx) = oneshot::channel();
        self.replica.do_send(Stop(stopped_tx));
        if tokio::time::timeout(STOP_TIMEOUT, stopped_rx)
            .await
            .is_err()
        {
            log::warn!("the graceful stop did not finish within {STOP_TIMEOUT:?}");
        }
        tokio::time::sleep(RESPONSE_FLUSH_DELAY).await;
    }

    pub(crate) fn backend(&self) -> Arc<ReplicaBackend> {
        Arc::new(ReplicaBackend {
            replica: self.replica.clone(),
            proposer: Proposer {
                replica: self.replica.clone(),
                applied_index: Arc::clone(&self.published.applied_index),
            },
            registry: self.registry.clone(),
            usage: self.usage.clone(),
        })
    }

    pub(crate) fn poll_vm_list(&self, address: String, clock: Arc<dyn Clock>) {
        let published = Rc::clone(&self.published);
        let poll = poll_vm_list(address, self.replica.clone(), published, clock);
        tokio::task::spawn_local(poll);
    }
}

fn replica_start(recovered: &RecoveredState) -> ReplicaStart {
    match *recovered == RecoveredState::default() {
        true => ReplicaStart::First,
        false => ReplicaStart::Restart,
    }
}

/// Settings of the consensus node of a replica.
pub(crate) fn node_settings(options: &ReplicaOptions, wal: &Wal) -> NodeSettings {
    NodeSettings {
        member: Member {
            replica: options.replica,
            storage: wal.storage_id(),
        },
        replicas: options.replicas.initial_ids(),
        open_membership: matches!(options.replicas, ReplicaSet::Open { .. }),
        tolerated_losses: match options.replicas {
            ReplicaSet::Listed(_) => None,
            ReplicaSet::Open {
                tolerated_losses, ..
            } => tolerated_losses,
        },
        may_form: match options.replicas {
            ReplicaSet::Listed(_) => true,
            ReplicaSet::Open { may_form, .. } => may_form,
        },
        timing: Timing {
            retained_entries: RETAINED_LOG_ENTRIES,
            retained_bytes: RETAINED_LOG_BYTES,
            ..Timing::default()
        },
    }
}
