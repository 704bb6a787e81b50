//! Instances and stand-ins on loopback.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ringbend_cli::{CertificatesError, write_test_certificates};
use ringbend_models::{EngineSpec, TableRates};
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

/// The operators' key of every instance.
pub const ADMIN_KEY: &str = "playground-admin";

/// The key of the client account `peach`.
pub const CALLER_KEY: &str = "playground-peach";

/// Any free port on loopback.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What the fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// How many instances.
    pub instances: usize,
    /// How many engines.
    pub engines: usize,
    /// How many plain services.
    pub services: usize,
    /// Each engine's speed and memory.
    pub spec: EngineSpec,
    /// How late load reports are.
    pub report_lag: Duration,
    /// How late the instance list is.
    pub list_lag: Duration,
    /// The table's rates.
    pub rates: TableRates,
    /// How long an instance is unready before it drains, in seconds.
    pub unready_s: u64,
    /// Collector of traces.
    pub otlp_url: Option<Arc<str>>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: 6,
            services: 2,
            spec: EngineSpec {
                prefill_rate: TokensPerSecond(400_000),
                decode_step: Duration::from_millis(5),
                step_tokens: 8_192,
                kv_capacity: TokenCount(400_000),
                ..EngineSpec::default()
            },
            report_lag: Duration::from_millis(100),
            list_lag: Duration::from_secs(2),
            rates: TableRates::default(),
            unready_s: 0,
            otlp_url: None,
        }
    }
}

/// Why the fleet did not start.
#[derive(Debug)]
pub enum FleetError {
    /// A stand-in cannot listen.
    Listen(std::io::Error),
    /// Certificates could not be made.
    Certs(CertificatesError),
    /// An instance did not start.
    Instance(String),
    /// An instance was not ready in time.
    NotReady,
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(e) => write!(f, "a stand-in cannot listen: {e}"),
            Self::Certs(e) => write!(f, "{e}"),
            Self::Instance(e) => write!(f, "an instance did not start: {e}"),
            Self::NotReady => write!(f, "an instance was not ready in time"),
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
        Self::Certs(e)
    }
}

enum Order {
    Drain(oneshot::Sender<StopReport>),
}

/// An instance on a thread of its own. Dropping it kills the instance.
pub struct InstanceHandle {
    /// Its name.
    pub name: InstanceId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    orders: tokio::sync::mpsc::UnboundedSender<Order>,
    arbiter: actix_rt::Arbiter,
}

impl InstanceHandle {
    /// Has the instance leave gracefully; returns what it cut off.
    pub async fn drain(&self) -> StopReport {
        let (tx, rx) = oneshot::channel();
        let _ = self.orders.send(Order::Drain(tx));
        rx.await.unwrap_or_default()
    }
}

impl Drop for InstanceHandle {
    fn drop(&mut self) {
        self.arbiter.stop();
    }
}

/// Instances and stand-ins.
pub struct Fleet {
    /// The instances.
    pub instances: Vec<InstanceHandle>,
    /// The engines, all of the model `standin`.
    pub engines: Vec<Engine>,
    /// The plain services, all named `dispatch`.
    pub services: Vec<Server>,
    /// The table service.
    pub table: Server,
    /// The object store.
    pub objects: Server,
    /// The instance list.
    pub list: Server,
    cfg: FleetConfig,
    certs: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Something cannot listen, or an instance does not become ready.
    pub async fn start(cfg: FleetConfig) -> Result<Self, FleetError> {
        let mut engines = Vec::new();
        for _ in 0..cfg.engines {
            let model = String::from("standin");
            let engine_cfg =
                EngineConfig { spec: cfg.spec.clone(), report_lag: cfg.report_lag, model };
            engines.push(engine::start(ANY, engine_cfg).await?);
        }
        let mut services = Vec::new();
        for _ in 0..cfg.services {
            services.push(service::start(ANY).await?);
        }
        let entries = entries(&cfg, &engines, &services);
        let table = table::start(ANY, cfg.rates).await?;
        let objects = objects::start(ANY).await?;
        let list = instances::start(ANY, cfg.list_lag, entries).await?;
        let certs = std::env::temp_dir().join(format!(
            "ringbend-playground-{}-{}",
            std::process::id(),
            table.address().port()
        ));
        write_test_certificates(&certs)?;
        let instances = Vec::new();
        let mut fleet = Self { instances, engines, services, table, objects, list, cfg, certs };
        for n in 0..fleet.cfg.instances {
            fleet.add_instance(&format!("instance-{n}")).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// The folder with the keys and certificates between the instances.
    pub fn certificates(&self) -> &Path {
        &self.certs
    }

    /// Starts one more instance under `name`.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn add_instance(&mut self, name: &str) -> Result<(), FleetError> {
        let seeds = self.instances.iter().map(|i| i.peers).collect();
        let cfg = self.daemon_config(name, seeds);
        self.instances.push(start_instance(cfg).await?);
        Ok(())
    }

    /// Starts one more instance that knows no peers and is known to none, as if cut off.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn add_isolated(&mut self, name: &str) -> Result<(), FleetError> {
        let cfg = self.daemon_config(name, Vec::new());
        self.instances.push(start_instance(cfg).await?);
        Ok(())
    }

    fn daemon_config(&self, name: &str, seeds: Vec<SocketAddr>) -> DaemonConfig {
        let url = |server: &Server| Arc::from(format!("http://{}", server.address()));
        let account = "peach".parse().unwrap_or_else(|_| unreachable!("a valid account"));
        DaemonConfig {
            instance: name.parse().unwrap_or_else(|_| unreachable!("a valid instance")),
            data_centre: data_centre(),
            callers_address: ANY,
            admin_address: ANY,
            peers_address: ANY,
            seeds,
            seed: None,
            platform: PlatformConfig {
                table_url: url(&self.table),
                objects_url: url(&self.objects),
                instances_url: url(&self.list),
                poll_ms: 500,
                call_timeout_ms: 1_000,
                endpoint_subset: 0,
            },
            tls: TlsConfig {
                certificate: self.certs.join("peer.pem"),
                key: self.certs.join("peer.key"),
                authority: self.certs.join("authority.pem"),
            },
            callers: vec![CallerKey { account, key: CALLER_KEY.into() }],
            admin: AdminConfig { keys: vec![ADMIN_KEY.into()] },
            log: LogConfig::default(),
            traces: TracesConfig { otlp_url: self.cfg.otlp_url.clone() },
            shutdown: ShutdownConfig { unready_s: self.cfg.unready_s, grace_s: 120 },
        }
    }

    /// Waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// One is not ready within ten seconds.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        const LOOKS: u32 = 500;
        let client = awc::Client::default();
        for instance in &self.instances {
            let url = format!("http://{}/readyz", instance.callers);
            let mut looks = 0;
            while !client.get(&url).send().await.is_ok_and(|res| res.status().is_success()) {
                looks += 1;
                if looks == LOOKS {
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
        let _ = std::fs::remove_dir_all(&self.certs);
    }
}

fn data_centre() -> DataCentre {
    "dc-1".parse().unwrap_or_else(|_| unreachable!("a valid data centre"))
}

fn entries(cfg: &FleetConfig, engines: &[Engine], services: &[Server]) -> Vec<EndpointEntry> {
    let entry = |kind, n: usize, address| {
        let (word, service) = match kind {
            EndpointKind::Engine => ("engine", "standin"),
            EndpointKind::Service => ("service", "dispatch"),
        };
        let id: Result<EndpointId, _> = format!("{word}-{n}").parse();
        let service: Result<ServiceName, _> = service.parse();
        let is_engine = kind == EndpointKind::Engine;
        EndpointEntry {
            id: id.unwrap_or_else(|_| unreachable!("a valid endpoint")),
            address,
            data_centre: data_centre(),
            kind,
            service: service.unwrap_or_else(|_| unreachable!("a valid service")),
            checks_fencing: cfg.spec.checks_fencing,
            kv_capacity: if is_engine { cfg.spec.kv_capacity } else { TokenCount(0) },
            state: EndpointState::Live,
        }
    };
    let engines =
        engines.iter().enumerate().map(|(n, e)| entry(EndpointKind::Engine, n, e.address()));
    let services =
        services.iter().enumerate().map(|(n, s)| entry(EndpointKind::Service, n, s.address()));
    engines.chain(services).collect()
}

async fn start_instance(cfg: DaemonConfig) -> Result<InstanceHandle, FleetError> {
    let arbiter = actix_rt::Arbiter::new();
    let name = cfg.instance.clone();
    let (started, addresses) = oneshot::channel();
    let (orders, mut taken) = tokio::sync::mpsc::unbounded_channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let instance = match Instance::start(cfg).await {
                Ok(instance) => instance,
                Err(e) => {
                    let _ = started.send(Err(FleetError::Instance(format!("{e:?}"))));
                    return;
                }
            };
            let callers = instance.callers_address();
            let admin = instance.admin_address();
            let _ = started.send(Ok((callers, admin, instance.peers_address())));
            while let Some(Order::Drain(done)) = taken.recv().await {
                let _ = done.send(instance.drain().await);
            }
        });
    });
    let gone = || FleetError::Instance(String::from("its thread ended"));
    let (callers, admin, peers) = addresses.await.map_err(|_| gone())??;
    Ok(InstanceHandle { name, callers, admin, peers, orders, arbiter })
}
