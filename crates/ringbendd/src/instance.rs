//! Starting and stopping one instance.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::Rng;
use ringbend_runtime::{Clock, Server, ServerConfig, TimerService, serve, unix_millis};
use ringbend_telemetry::{Export, Metrics, Tracing};
use ringbend_types::Incarnation;
use ringbend_wire::{Hello, PROTOCOL_VERSION};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::admin::AdminApi;
use crate::app::{App, Phase};
use crate::callers::CallerApi;
use crate::claims::Claims;
use crate::config::DaemonConfig;
use crate::decisions::Decisions;
use crate::error::DaemonError;
use crate::peers::{Peers, QuicPeers, load_identity};
use crate::platform::{HttpClient, HttpEndpoints, HttpInstanceList, HttpObjects, HttpTable};
use crate::settings_sync::SettingsSync;
use crate::sweep;

/// How often a draining instance looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// How long the last bytes may take to leave after the answers have ended.
const LAST_BYTES: Duration = Duration::from_secs(6);

/// One running instance. Dropping it stops it at once.
pub struct Instance {
    app: Rc<App>,
    callers: Server,
    admin: Server,
    peers_address: SocketAddr,
    drain_requested: mpsc::UnboundedReceiver<()>,
    polls: Vec<JoinHandle<()>>,
}

/// What a stopped instance left undone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were cut off.
    pub cut_off: usize,
}

impl Instance {
    /// Starts an instance on the current thread, which must run an `actix-rt` system.
    ///
    /// # Errors
    ///
    /// Keys or certificates do not hold, or an address cannot be listened on.
    pub async fn start(cfg: DaemonConfig) -> Result<Self, Report<DaemonError>> {
        let incarnation = new_incarnation();
        let metrics = Metrics::default();
        let (tracing, exports) = start_tracing(&cfg)?;
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            instance: cfg.instance.to_string(),
            incarnation: incarnation.0,
            data_centre: cfg.data_centre.to_string(),
            peers_address: String::new(),
        };
        let identity = load_identity(&cfg.tls)?;
        let link = QuicPeers::bind(cfg.peers_address, identity, hello)
            .change_context(DaemonError::Listen)?;
        let peers_address = link.address().change_context(DaemonError::Listen)?;
        let app = Rc::new(new_app(cfg, incarnation, metrics, tracing, peers_address));
        if let Some(exports) = exports {
            tokio::task::spawn_local(post_exports(app.pooled.clone(), exports));
        }
        let (drain, drain_requested) = mpsc::unbounded_channel();
        let callers = Rc::new(CallerApi::new(app.clone()));
        let callers = serve(app.cfg.callers_address, ServerConfig::default(), callers)
            .await
            .change_context(DaemonError::Listen)?;
        let admin = Rc::new(AdminApi::new(app.clone(), drain));
        let admin = serve(app.cfg.admin_address, ServerConfig::default(), admin)
            .await
            .change_context(DaemonError::Listen)?;
        Decisions::start(&app);
        Claims::start(&app);
        link.accept(Rc::downgrade(&app));
        Peers::start(&app, Rc::new(link));
        sweep::start(&app);
        let polls = start_polls(&app);
        Ok(Self { app, callers, admin, peers_address, drain_requested, polls })
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Where other instances connect.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Resolves when an operator asks for a drain.
    pub async fn drain_requested(&mut self) {
        if self.drain_requested.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Leaves gracefully: unready first, then no new requests, then the end of what runs, within
    /// the grace time. What has not ended by then is cut and counted.
    pub async fn drain(&self) -> StopReport {
        let app = &self.app;
        let times = app.cfg.shutdown.clone();
        app.phase.set(Phase::Unready);
        app.peers.leave(app);
        log::info!("unready");
        actix_rt::time::sleep(Duration::from_secs(times.unready_s)).await;
        app.phase.set(Phase::Draining);
        log::info!(open = app.decisions.open_requests(); "draining");
        let until = app.now() + Duration::from_secs(times.grace_s);
        while app.decisions.open_requests() + app.claims.unsettled() > 0 && app.now() < until {
            actix_rt::time::sleep(DRAIN_LOOK).await;
        }
        self.cut_off_requests();
        self.let_bytes_leave().await;
        self.stop_traces().await;
        StopReport { cut_off: app.cut_off.get() }
    }

    /// Answers have ended here; their last bytes leave with the connections, which close after
    /// them. Idle connections that callers keep open are not waited for longer.
    async fn let_bytes_leave(&self) {
        let until = self.app.now() + LAST_BYTES;
        while self.callers.connections() > 0 && self.app.now() < until {
            actix_rt::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Cuts every open request off and counts them.
    pub fn cut_off_requests(&self) {
        let cut = self.app.decisions.cut_off_all();
        self.app.cut_off.set(self.app.cut_off.get() + cut);
        if cut > 0 {
            log::warn!(cut; "requests were cut off");
        }
    }

    async fn stop_traces(&self) {
        if let Some(provider) = self.app.tracing.provider() {
            // The last export is posted by this thread, so the wait must not hold it.
            let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.polls.iter().for_each(JoinHandle::abort);
    }
}

/// Unique over all instances and starts, and rising with time.
fn new_incarnation() -> Incarnation {
    Incarnation::from_start(unix_millis(), rand::rng().random())
}

fn start_tracing(
    cfg: &DaemonConfig,
) -> Result<(Tracing, Option<mpsc::Receiver<Export>>), Report<DaemonError>> {
    let Some(url) = &cfg.traces.otlp_url else { return Ok((Tracing::default(), None)) };
    let (tracing, exports) =
        Tracing::with_exporter(url, cfg.instance.as_str()).change_context(DaemonError::Traces)?;
    Ok((tracing, Some(exports)))
}

fn new_app(
    cfg: DaemonConfig,
    incarnation: Incarnation,
    metrics: Metrics,
    tracing: Tracing,
    peers_address: SocketAddr,
) -> App {
    let clock = Clock::start();
    let call_timeout = Duration::from_millis(cfg.platform.call_timeout_ms);
    let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(1));
    let pooled = awc::Client::builder().connector(connector).disable_timeout().finish();
    let http = HttpClient::new(pooled.clone(), call_timeout);
    let platform = &cfg.platform;
    App {
        incarnation,
        clock,
        timers: TimerService::start(clock),
        table: Rc::new(HttpTable::new(http.clone(), &platform.table_url, metrics.clone())),
        objects: Rc::new(HttpObjects::new(http.clone(), platform.objects_url.clone())),
        list: Rc::new(HttpInstanceList::new(http.clone(), &platform.instances_url)),
        control: Rc::new(HttpEndpoints::new(http)),
        decisions: Decisions::new(&cfg, incarnation),
        claims: Claims::new(),
        settings: SettingsSync::default(),
        peers: Peers::new(&cfg, peers_address, incarnation),
        phase: std::cell::Cell::new(Phase::Starting),
        cut_off: std::cell::Cell::new(0),
        pooled,
        metrics,
        tracing,
        cfg,
    }
}

/// Polls settings, list and loads, each on its own, at random moments within the period.
fn start_polls(app: &Rc<App>) -> Vec<JoinHandle<()>> {
    let settings = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                app.settings.poll(&app).await;
                pause(&app).await;
                pause(&app).await;
            }
        })
    };
    let list = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                match app.list.read().await {
                    Ok(Some(list)) => app.decisions.take_list(&app, list),
                    Ok(None) => {}
                    Err(e) => log::debug!("the instance list was not read: {e}"),
                }
                pause(&app).await;
            }
        })
    };
    let loads = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                poll_loads(&app).await;
                pause(&app).await;
            }
        })
    };
    vec![settings, list, loads]
}

async fn pause(app: &App) {
    let period = app.cfg.platform.poll_ms as f64;
    let jittered = period * rand::rng().random_range(0.75..1.25);
    actix_rt::time::sleep(Duration::from_secs_f64(jittered / 1_000.0)).await;
}

/// Asks the engines that have not reported on an answer within the period.
async fn poll_loads(app: &Rc<App>) {
    let period = Duration::from_millis(app.cfg.platform.poll_ms);
    let late = app.decisions.unheard(app.now() - period);
    let polls = late.into_iter().map(|engine| async move {
        if let Ok(report) = app.control.load(engine.address).await {
            app.decisions.load(app, &engine.id, report);
        }
    });
    futures_util::future::join_all(polls).await;
}

async fn post_exports(client: awc::Client, mut exports: mpsc::Receiver<Export>) {
    while let Some(Export { request, done }) = exports.recv().await {
        let url = request.uri().to_string();
        let post = client.post(url).content_type("application/x-protobuf");
        if let Ok(res) = post.timeout(Duration::from_secs(5)).send_body(request.into_body()).await
            && let Ok(status) = http::StatusCode::from_u16(res.status().as_u16())
        {
            let _ = done.send(status);
        }
    }
}
