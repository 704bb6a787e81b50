//! Starts instances and stand-ins for the platform's services on loopback.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ringbend_cli::{CertificatesError, write_test_certificates};
use ringbend_models::{EngineSpec, TablePage, TableRates};
use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState};
use ringbend_runtime::Server;
use ringbend_standins::engine::{Engine, EngineConfig};
use ringbend_standins::{engine, instances, objects, service, table};
use ringbend_telemetry::LogConfig;
use ringbend_types::{
    DataCentre, EndpointId, InstanceId, ServiceName, TokenCount, TokensPerSecond,
};
use ringbendd::{
    AdminConfig, CallerKey, DaemonConfig, Instance, PlatformConfig, ShutdownConfig, StopReport,
    TlsConfig, TracesConfig,
};
use tokio::sync::oneshot;

/// The operators' key of all instances.
pub const ADMIN_KEY: &str = "playground-admin";

/// The caller key of the client account `peach`.
pub const CALLER_KEY: &str = "playground-peach";

/// The loopback address with port 0, which selects a free port.
const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of endpoints of the service `dispatch`.
    pub services: usize,
    /// Speed and memory of each engine.
    pub engine_spec: EngineSpec,
    /// Delay of the engines' load reports.
    pub report_lag: Duration,
    /// Time until a change of the instance list becomes visible.
    pub instance_list_lag: Duration,
    /// Commits and reads per second of the table service.
    pub table_rates: TableRates,
    /// Maximum size of the table service's replies to scans.
    pub table_page: TablePage,
    /// Time that an instance reports itself as not ready before it drains, in seconds.
    pub unready_s: u64,
    /// URL of the OTLP collector for traces.
    pub otlp_url: Option<Arc<str>>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: 6,
            services: 2,
            engine_spec: EngineSpec {
                prefill_rate: TokensPerSecond(400_000),
                decode_step: Duration::from_millis(5),
                step_tokens: 8_192,
                kv_capacity: TokenCount(400_000),
                ..EngineSpec::default()
            },
            report_lag: Duration::from_millis(100),
            instance_list_lag: Duration::from_secs(2),
            table_rates: TableRates::default(),
            table_page: TablePage::default(),
            unready_s: 0,
            otlp_url: None,
        }
    }
}

/// The fleet could not be started.
#[derive(Debug)]
pub enum FleetError {
    /// A stand-in cannot listen on its address.
    Listen(std::io::Error),
    /// The certificates could not be written.
    Certificates(CertificatesError),
    /// An instance could not be started.
    StartInstance(String),
    /// An instance was not ready in time.
    NotReady,
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(e) => write!(f, "a stand-in cannot listen on its address: {e}"),
            Self::Certificates(e) => write!(f, "{e}"),
            Self::StartInstance(e) => write!(f, "an instance could not be started: {e}"),
            Self::NotReady => write!(f, "an instance did not become ready in time"),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<std::io::Error> for FleetError {
    fn from(e: std::io::Error) -> Self {
        Self::Listen(e)
    }
}

impl From<CertificatesError> for FleetError {
    fn from(e: CertificatesError) -> Self {
        Self::Certificates(e)
    }
}

/// A command to an instance's thread.
enum InstanceCommand {
    Drain(oneshot::Sender<StopReport>),
}

/// An instance that runs on its own thread. Dropping the handle stops the thread without a graceful
/// shutdown.
pub struct InstanceHandle {
    /// Name of the instance.
    pub name: InstanceId,
    /// Address of the callers' API.
    pub callers_address: SocketAddr,
    /// Address of the operators' API.
    pub admin_address: SocketAddr,
    /// Address for connections from other instances.
    pub peers_address: SocketAddr,
    commands: tokio::sync::mpsc::UnboundedSender<InstanceCommand>,
    arbiter: actix_rt::Arbiter,
}

impl InstanceHandle {
    /// Shuts the instance down gracefully and returns the number of requests that were cut off.
    pub async fn drain(&self) -> StopReport {
        let (tx, rx) = oneshot::channel();
        let _ = self.commands.send(InstanceCommand::Drain(tx));
        rx.await.unwrap_or_default()
    }
}

impl Drop for InstanceHandle {
    fn drop(&mut self) {
        self.arbiter.stop();
    }
}

/// Running instances and stand-ins.
pub struct Fleet {
    /// The instances.
    pub instances: Vec<InstanceHandle>,
    /// The engines, all of which serve the model `standin`.
    pub engines: Vec<Engine>,
    /// The endpoints of the service `dispatch`.
    pub services: Vec<Server>,
    /// The table service.
    pub table: Server,
    /// The object store.
    pub objects: Server,
    /// The instance list.
    pub instance_list: Server,
    cfg: FleetConfig,
    certificates_dir: PathBuf,
}

impl Fleet {
    /// Starts the stand-ins and the instances and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in cannot listen, the certificates cannot be written, or an instance cannot be
    /// started or does not become ready in time.
    pub async fn start(cfg: FleetConfig) -> Result<Self, FleetError> {
        let mut engines = Vec::new();
        for _ in 0..cfg.engines {
            let model = String::from("standin");
            let engine_cfg =
                EngineConfig { spec: cfg.engine_spec.clone(), report_lag: cfg.report_lag, model };
            engines.push(engine::start(LOOPBACK_ANY_PORT, engine_cfg).await?);
        }
        let mut services = Vec::new();
        for _ in 0..cfg.services {
            services.push(service::start(LOOPBACK_ANY_PORT).await?);
        }
        let entries = instance_list_entries(&cfg, &engines, &services);
        let table = table::start(LOOPBACK_ANY_PORT, cfg.table_rates, cfg.table_page).await?;
        let objects = objects::start(LOOPBACK_ANY_PORT).await?;
        let instance_list =
            instances::start(LOOPBACK_ANY_PORT, cfg.instance_list_lag, entries).await?;
        let certificates_dir = std::env::temp_dir().join(format!(
            "ringbend-playground-{}-{}",
            std::process::id(),
            table.address().port()
        ));
        write_test_certificates(&certificates_dir)?;
        let instances = Vec::new();
        let mut fleet = Self {
            instances,
            engines,
            services,
            table,
            objects,
            instance_list,
            cfg,
            certificates_dir,
        };
        for n in 0..fleet.cfg.instances {
            fleet.add_instance(&format!("instance-{n}")).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the directory with the keys and certificates for TLS between instances.
    pub fn certificates_dir(&self) -> &Path {
        &self.certificates_dir
    }

    /// Starts another instance, with the running instances as its seeds.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be started.
    pub async fn add_instance(&mut self, name: &str) -> Result<(), FleetError> {
        let seeds = self.instances.iter().map(|i| i.peers_address).collect();
        let cfg = self.daemon_config(name, seeds);
        self.instances.push(start_instance(cfg).await?);
        Ok(())
    }

    /// Starts another instance that knows no other instance and is known to none, as in a network
    /// partition.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be started.
    pub async fn add_isolated_instance(&mut self, name: &str) -> Result<(), FleetError> {
        let cfg = self.daemon_config(name, Vec::new());
        self.instances.push(start_instance(cfg).await?);
        Ok(())
    }

    fn daemon_config(&self, name: &str, seeds: Vec<SocketAddr>) -> DaemonConfig {
        let url = |server: &Server| {
            let url = format!("http://{}", server.address());
            url.parse().unwrap_or_else(|_| unreachable!("a valid URL"))
        };
        let account = "peach".parse().unwrap_or_else(|_| unreachable!("a valid account"));
        DaemonConfig {
            instance: name.parse().unwrap_or_else(|_| unreachable!("a valid instance")),
            data_centre: data_centre(),
            callers_address: LOOPBACK_ANY_PORT,
            admin_address: LOOPBACK_ANY_PORT,
            peers_address: LOOPBACK_ANY_PORT,
            seeds,
            seed: None,
            platform: PlatformConfig {
                table_url: url(&self.table),
                objects_url: url(&self.objects),
                instances_url: url(&self.instance_list),
                poll_ms: 500,
                call_timeout_ms: 1_000,
                endpoint_subset: 0,
            },
            tls: TlsConfig {
                certificate: self.certificates_dir.join("peer.pem"),
                key: self.certificates_dir.join("peer.key"),
                authority: self.certificates_dir.join("authority.pem"),
            },
            callers: vec![CallerKey { account, key: CALLER_KEY.into() }],
            admin: AdminConfig { keys: vec![ADMIN_KEY.into()] },
            log: LogConfig::default(),
            traces: TracesConfig { otlp_url: self.cfg.otlp_url.clone() },
            shutdown: ShutdownConfig { unready_s: self.cfg.unready_s, grace_s: 120 },
        }
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Fails if an instance is not ready within ten seconds.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        const MAX_POLLS: u32 = 500;
        let client = awc::Client::default();
        for instance in &self.instances {
            let url = format!("http://{}/readyz", instance.callers_address);
            let mut polls = 0;
            while !client.get(&url).send().await.is_ok_and(|res| res.status().is_success()) {
                polls += 1;
                if polls == MAX_POLLS {
                    return Err(FleetError::NotReady);
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.certificates_dir);
    }
}

fn data_centre() -> DataCentre {
    "dc-1".parse().unwrap_or_else(|_| unreachable!("a valid data centre"))
}

/// Returns the instance list's entries for the engines and services.
fn instance_list_entries(
    cfg: &FleetConfig,
    engines: &[Engine],
    services: &[Server],
) -> Vec<EndpointEntry> {
    let entry = |kind, n: usize, address| {
        let (id_prefix, service) = match kind {
            EndpointKind::Engine => ("engine", "standin"),
            EndpointKind::Service => ("service", "dispatch"),
        };
        let id: Result<EndpointId, _> = format!("{id_prefix}-{n}").parse();
        let service: Result<ServiceName, _> = service.parse();
        let is_engine = kind == EndpointKind::Engine;
        EndpointEntry {
            id: id.unwrap_or_else(|_| unreachable!("a valid endpoint")),
            address,
            data_centre: data_centre(),
            kind,
            service: service.unwrap_or_else(|_| unreachable!("a valid service")),
            checks_fencing: cfg.engine_spec.checks_fencing,
            kv_capacity: if is_engine { cfg.engine_spec.kv_capacity } else { TokenCount(0) },
            state: EndpointState::Live,
        }
    };
    let engines =
        engines.iter().enumerate().map(|(n, e)| entry(EndpointKind::Engine, n, e.address()));
    let services =
        services.iter().enumerate().map(|(n, s)| entry(EndpointKind::Service, n, s.address()));
    engines.chain(services).collect()
}

/// Starts an instance on a new thread and waits until it listens.
async fn start_instance(cfg: DaemonConfig) -> Result<InstanceHandle, FleetError> {
    let arbiter = actix_rt::Arbiter::new();
    let name = cfg.instance.clone();
    let (started, addresses) = oneshot::channel();
    let (commands, mut received) = tokio::sync::mpsc::unbounded_channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let instance = match Instance::start(cfg).await {
                Ok(instance) => instance,
                Err(e) => {
                    let _ = started.send(Err(FleetError::StartInstance(format!("{e:?}"))));
                    return;
                }
            };
            let callers_address = instance.callers_address();
            let admin_address = instance.admin_address();
            let _ = started.send(Ok((callers_address, admin_address, instance.peers_address())));
            while let Some(InstanceCommand::Drain(done)) = received.recv().await {
                let _ = done.send(instance.drain().await);
            }
        });
    });
    let thread_ended = || FleetError::StartInstance(String::from("the instance's thread ended"));
    let (callers_address, admin_address, peers_address) =
        addresses.await.map_err(|_| thread_ended())??;
    Ok(InstanceHandle { name, callers_address, admin_address, peers_address, commands, arbiter })
}
