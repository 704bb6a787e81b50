//! The `ringbend-standins` binary: runs one stand-in for a service of the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use ringbend_models::{EngineSpec, TablePage, TableRates};
use ringbend_standins::{engine, instances, objects, service, table};
use ringbend_types::{TokenCount, TokensPerSecond};

/// Runs a stand-in for one service of the platform, for tests and local trials.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, IP:port; port 0 selects a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    #[argh(subcommand)]
    kind: StandinCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Engine(EngineArgs),
    Service(ServiceArgs),
    Table(TableArgs),
    Objects(ObjectsArgs),
    Instances(InstancesArgs),
}

/// run a simulated model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// prompt tokens prefilled per second
    #[argh(option, default = "20_000")]
    prefill_rate: u64,
    /// duration of a decoding step without prefill, in milliseconds
    #[argh(option, default = "20")]
    step_ms: u64,
    /// KV memory, in tokens
    #[argh(option, default = "400_000")]
    kv_tokens: u64,
    /// delay of load reports, in milliseconds
    #[argh(option, default = "200")]
    report_lag_ms: u64,
    /// name of the model in responses
    #[argh(option, default = "String::from(\"standin\")")]
    model: String,
    /// carry out orders without checking their fencing numbers
    #[argh(switch)]
    ignore_fencing: bool,
}

/// run an HTTP service that counts the runs of each call key
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {}

/// run a transactional table service
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
struct TableArgs {
    /// commits per second
    #[argh(option, default = "400")]
    writes_per_s: u32,
    /// reads per second
    #[argh(option, default = "2000")]
    reads_per_s: u32,
    /// maximum number of rows in the reply to a scan
    #[argh(option, default = "TablePage::default().max_rows")]
    page_rows: usize,
    /// maximum size of the reply to a scan, in bytes
    #[argh(option, default = "TablePage::default().max_bytes")]
    page_bytes: usize,
}

/// run an object store
#[derive(FromArgs)]
#[argh(subcommand, name = "objects")]
struct ObjectsArgs {}

/// run an instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct InstancesArgs {
    /// time until a change becomes visible, in milliseconds
    #[argh(option, default = "2000")]
    lag_ms: u64,
    /// JSON file with the initial entries
    #[argh(option)]
    entries: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let system = actix_rt::System::new();
    match system.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ringbend-standins: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> std::io::Result<()> {
    let listen = args.listen;
    match args.kind {
        StandinCommand::Engine(args) => {
            let engine = engine::start(listen, engine_config(args)).await?;
            run_until_signal(engine.address()).await
        }
        StandinCommand::Service(ServiceArgs {}) => {
            run_until_signal(service::start(listen).await?.address()).await
        }
        StandinCommand::Table(TableArgs { writes_per_s, reads_per_s, page_rows, page_bytes }) => {
            let rates = TableRates { writes_per_s, reads_per_s };
            let page = TablePage { max_rows: page_rows, max_bytes: page_bytes };
            let server = table::start(listen, rates, page).await?;
            run_until_signal(server.address()).await
        }
        StandinCommand::Objects(ObjectsArgs {}) => {
            let server = objects::start(listen).await?;
            run_until_signal(server.address()).await
        }
        StandinCommand::Instances(InstancesArgs { lag_ms, entries }) => {
            let entries = match entries {
                Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
                None => Vec::new(),
            };
            let lag = Duration::from_millis(lag_ms);
            let server = instances::start(listen, lag, entries).await?;
            run_until_signal(server.address()).await
        }
    }
}

fn engine_config(args: EngineArgs) -> engine::EngineConfig {
    let spec = EngineSpec {
        prefill_rate: TokensPerSecond(args.prefill_rate),
        decode_step: Duration::from_millis(args.step_ms),
        kv_capacity: TokenCount(args.kv_tokens),
        checks_fencing: !args.ignore_fencing,
        ..EngineSpec::default()
    };
    let report_lag = Duration::from_millis(args.report_lag_ms);
    engine::EngineConfig { spec, report_lag, model: args.model }
}

/// Prints the address, which the starting program waits for, and runs until SIGTERM or SIGINT.
async fn run_until_signal(address: SocketAddr) -> std::io::Result<()> {
    println!("listening on {address}");
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => {}
        r = tokio::signal::ctrl_c() => r?,
    }
    Ok(())
}
