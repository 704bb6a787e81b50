//! Start and shutdown of an instance.

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
use crate::error::DaemonError;
use crate::peers::{Peers, QuicTransport, load_identity};
use crate::platform::{HttpClient, HttpEndpoints, HttpInstanceList, HttpObjects, HttpTable};
use crate::policy_driver::PolicyDriver;
use crate::settings_sync::SettingsSync;
use crate::sweep;

/// Poll interval while waiting for open requests and connections to end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for connections to close after the last response has ended.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

/// A running instance. Dropping it stops it immediately.
pub struct Instance {
    app: Rc<App>,
    callers: Server,
    admin: Server,
    peers_address: SocketAddr,
    drain_requested: mpsc::UnboundedReceiver<()>,
    poll_tasks: Vec<JoinHandle<()>>,
}

/// The result of a shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests that were cut off.
    pub cut_off: usize,
}

impl Instance {
    /// Starts an instance on the current thread, which must run an `actix-rt` system.
    ///
    /// # Errors
    ///
    /// A key or certificate cannot be loaded, or an address cannot be listened on.
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
        let transport = QuicTransport::bind(cfg.peers_address, identity, hello)
            .change_context(DaemonError::Listen)?;
        let peers_address = transport.address().change_context(DaemonError::Listen)?;
        let app = Rc::new(new_app(cfg, incarnation, metrics, tracing, peers_address));
        if let Some(exports) = exports {
            tokio::task::spawn_local(post_trace_exports(app.http_client.clone(), exports));
        }
        let (drain, drain_requested) = mpsc::unbounded_channel();
        let callers = Rc::new(CallerApi::new(app.clone()));
        let callers = serve(app.cfg.callers_address, server_config(), callers)
            .await
            .change_context(DaemonError::Listen)?;
        let admin = Rc::new(AdminApi::new(app.clone(), drain));
        let admin = serve(app.cfg.admin_address, server_config(), admin)
            .await
            .change_context(DaemonError::Listen)?;
        PolicyDriver::start(&app);
        Claims::start(&app);
        transport.accept(Rc::downgrade(&app));
        Peers::start(&app, Rc::new(transport));
        sweep::start(&app);
        let poll_tasks = start_poll_tasks(&app);
        Ok(Self { app, callers, admin, peers_address, drain_requested, poll_tasks })
    }

    /// Returns the address of the callers' API.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the address for other instances.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Resolves when an operator requests a drain.
    pub async fn drain_requested(&mut self) {
        if self.drain_requested.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Shuts down gracefully: first reports not ready, then stops accepting requests, then waits
    /// for open requests within the grace time. Requests that are still open after that are cut off
    /// and counted.
    pub async fn drain(&self) -> StopReport {
        let app = &self.app;
        let times = app.cfg.shutdown.clone();
        app.phase.set(Phase::Unready);
        app.peers.announce_leaving(app);
        log::info!("reporting not ready before the drain");
        actix_rt::time::sleep(Duration::from_secs(times.unready_s)).await;
        app.phase.set(Phase::Draining);
        log::info!(open = app.policy.open_requests(); "draining");
        let until = app.now() + Duration::from_secs(times.grace_s);
        while app.policy.open_requests() + app.claims.unsettled() > 0 && app.now() < until {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.cut_off_requests();
        self.wait_for_connections().await;
        self.stop_traces().await;
        StopReport { cut_off: app.cut_off.get() }
    }

    /// Waits until the last bytes of the responses have been sent, which closes their connections.
    /// Idle connections that callers keep open are waited for at most
    /// [`CONNECTION_CLOSE_TIMEOUT`].
    async fn wait_for_connections(&self) {
        let until = self.app.now() + CONNECTION_CLOSE_TIMEOUT;
        while self.callers.connections() > 0 && self.app.now() < until {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Cuts off all open requests and counts them.
    pub fn cut_off_requests(&self) {
        let cut = self.app.policy.cut_off_all();
        self.app.cut_off.set(self.app.cut_off.get() + cut);
        if cut > 0 {
            log::warn!(cut; "requests were cut off");
        }
    }

    async fn stop_traces(&self) {
        if let Some(provider) = self.app.tracing.provider() {
            // The last export is posted from this thread, so shutting down must not block it.
            let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.poll_tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns an incarnation that is unique across instances and starts, and increases with time.
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

fn server_config() -> ServerConfig {
    ServerConfig { http2: true, ..ServerConfig::default() }
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
    let http_client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let http = HttpClient::new(http_client.clone(), call_timeout);
    let platform = &cfg.platform;
    App {
        incarnation,
        clock,
        timers: TimerService::start(clock),
        table: Rc::new(HttpTable::new(http.clone(), &platform.table_url, metrics.clone())),
        objects: Rc::new(HttpObjects::new(http.clone(), platform.objects_url.clone())),
        instance_list: Rc::new(HttpInstanceList::new(http.clone(), &platform.instances_url)),
        endpoint_control: Rc::new(HttpEndpoints::new(http)),
        policy: PolicyDriver::new(&cfg, incarnation),
        claims: Claims::new(),
        settings: SettingsSync::default(),
        peers: Peers::new(&cfg, peers_address, incarnation),
        phase: std::cell::Cell::new(Phase::Starting),
        cut_off: std::cell::Cell::new(0),
        http_client,
        metrics,
        tracing,
        cfg,
    }
}

/// Starts tasks that poll the settings, the instance list and the load reports independently, with
/// jittered intervals.
fn start_poll_tasks(app: &Rc<App>) -> Vec<JoinHandle<()>> {
    let settings = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                app.settings.poll(&app).await;
                sleep_poll_interval(&app).await;
                sleep_poll_interval(&app).await;
            }
        })
    };
    let list = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                match app.instance_list.read().await {
                    Ok(Some(list)) => app.policy.update_endpoint_list(&app, list),
                    Ok(None) => {}
                    Err(e) => log::debug!("cannot read the instance list: {e}"),
                }
                sleep_poll_interval(&app).await;
            }
        })
    };
    let load_reports = {
        let app = app.clone();
        tokio::task::spawn_local(async move {
            loop {
                poll_load_reports(&app).await;
                sleep_poll_interval(&app).await;
            }
        })
    };
    vec![settings, list, load_reports]
}

async fn sleep_poll_interval(app: &App) {
    let period = app.cfg.platform.poll_ms as f64;
    let jittered = period * rand::rng().random_range(0.75..1.25);
    actix_rt::time::sleep(Duration::from_secs_f64(jittered / 1_000.0)).await;
}

/// Polls the engines that have not sent a load report with a response within the poll interval.
async fn poll_load_reports(app: &Rc<App>) {
    let period = Duration::from_millis(app.cfg.platform.poll_ms);
    let overdue = app.policy.engines_without_report(app.now() - period);
    let polls = overdue.into_iter().map(|engine| async move {
        if let Ok(report) = app.endpoint_control.load(engine.address).await {
            app.policy.record_load(app, &engine.id, report);
        }
    });
    futures_util::future::join_all(polls).await;
}

async fn post_trace_exports(client: awc::Client, mut exports: mpsc::Receiver<Export>) {
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
