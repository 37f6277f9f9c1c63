use crate::admin::{Role, Tokens};
use crate::audit_export::AuditExport;
use crate::backend::ReplicaBackend;
use crate::disk::Disk;
use crate::http::start_http;
use crate::limits::KEEP_ENTRIES;
use crate::metrics::Metrics;
use crate::published::Published;
use crate::replica::messages::{DiskDone, Stop};
use crate::replica::{Parts, Replica};
use crate::service::ReplicaService;
use crate::vm_list::poll_vm_list;
use crate::wall_clock::SystemWallClock;
use actix::{AsyncContext, Context};
use mangospindle_consensus::{Member, Node, NodeSettings, ReplicaId, Timing};
use mangospindle_model::{Clock, MonotonicClock};
use mangospindle_rpc::{LinkCounters, PeerLink, serve};
use mangospindle_settings::{ControlSettings, TokenRole};
use mangospindle_state::State;
use mangospindle_storage::{Wal, WalOptions};
use mangospindle_telemetry::event;
use miette::{IntoDiagnostic, Result, WrapErr};
use prometheus::Registry;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

/// Longest time from SIGTERM to the exit.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Runs a control replica until SIGTERM or SIGINT. Must be called on an actix system.
pub async fn run(settings: ControlSettings) -> Result<()> {
    let settings = Arc::new(settings);
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;

    let tokens = tokens(&settings)?;
    std::fs::create_dir_all(&settings.data_dir)
        .into_diagnostic()
        .wrap_err("cannot create the data directory")?;
    let (wal, recovered) = Wal::open(&settings.data_dir, WalOptions::default())
        .into_diagnostic()
        .wrap_err("cannot open the log")?;
    let (audit, audit_file) = AuditExport::open(&settings.data_dir)
        .into_diagnostic()
        .wrap_err("cannot open the exported audit trail")?;
    let snapshot = recovered.snapshot.as_ref().map(|s| (s.index, s.data.len()));
    let state = match &recovered.snapshot {
        Some(snapshot) => State::decode(&snapshot.data).into_diagnostic()?,
        None => State::new(),
    };
    event!(
        Info,
        "recovered",
        "storage" => wal.storage_id().0,
        "snapshot_index" => snapshot.map_or(0, |s| s.0),
        "entries" => recovered.entries.len(),
        "term" => recovered.hard_state.term,
    );
    let node_settings = NodeSettings {
        member: Member {
            replica: ReplicaId(settings.replica),
            storage: wal.storage_id(),
        },
        replicas: (settings.replicas.iter())
            .map(|r| ReplicaId(r.replica))
            .collect(),
        timing: Timing {
            keep_entries: KEEP_ENTRIES,
            ..Timing::default()
        },
    };
    let node = Node::new(node_settings, recovered, rand::random(), clock.now())
        .into_diagnostic()
        .wrap_err("cannot start from what is on disk")?;

    let listener = TcpListener::bind(settings.rpc_listen)
        .await
        .into_diagnostic()
        .wrap_err("cannot open the RPC listener")?;
    let registry = Registry::new();
    let peer_counters = LinkCounters::default();
    let server_counters = LinkCounters::default();
    let published = Published::new(state);
    let peers: BTreeMap<ReplicaId, PeerLink> = (settings.replicas.iter())
        .filter(|r| r.replica != settings.replica)
        .map(|r| {
            let link = PeerLink::start(r.address, Arc::clone(&clock), peer_counters.clone());
            (ReplicaId(r.replica), link)
        })
        .collect();

    let cx = Context::<Replica>::new();
    let replica = cx.address();
    let disk_done = replica.clone();
    let disk = Disk::start(wal, audit_file, Arc::clone(&clock), move |result| {
        disk_done.do_send(DiskDone(result));
    })
    .into_diagnostic()?;
    let parts = Parts {
        settings: Arc::clone(&settings),
        clock: Arc::clone(&clock),
        wall_clock: Arc::new(SystemWallClock),
        node,
        published: Rc::clone(&published),
        disk,
        audit,
        peers,
        metrics: Metrics::new(&registry, peer_counters, server_counters.clone())
            .into_diagnostic()?,
        snapshot,
    };
    cx.run(Replica::new(parts));

    let backend = Arc::new(ReplicaBackend {
        replica: replica.clone(),
        registry,
    });
    start_http(settings.admin_listen, backend, tokens)
        .into_diagnostic()
        .wrap_err("cannot open the administration listener")?;
    let service = Rc::new(ReplicaService {
        replica: replica.clone(),
        published: Rc::clone(&published),
        clock: Arc::clone(&clock),
    });
    let server = serve(listener, service, Arc::clone(&clock), server_counters);
    tokio::task::spawn_local(server);
    if let Some(address) = settings.vm_list.clone() {
        let poll = poll_vm_list(address, replica.clone(), published, clock);
        tokio::task::spawn_local(poll);
    }
    event!(Info, "started", "replica" => settings.replica, "rpc" => settings.rpc_listen);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let (exit, may_exit) = oneshot::channel();
    replica.do_send(Stop(exit));
    if tokio::time::timeout(STOP_LIMIT, may_exit).await.is_err() {
        log::warn!("the stop took longer than {STOP_LIMIT:?}");
    }
    // Answers that were handed to connections get time to leave.
    tokio::time::sleep(Duration::from_millis(100)).await;
    Ok(())
}

/// Tokens of the administration API.
fn tokens(settings: &ControlSettings) -> Result<Tokens> {
    let mut tokens = Tokens::default();
    for token in &settings.tokens {
        let role = match token.role {
            TokenRole::Viewer => Role::Viewer,
            TokenRole::Operator => Role::Operator,
            TokenRole::Owner => Role::Owner,
        };
        let added = tokens.add(&token.name, role, &token.sha256);
        added.into_diagnostic()?;
    }
    (tokens.check_listener(settings.admin_listen)).into_diagnostic()?;
    Ok(tokens)
}
