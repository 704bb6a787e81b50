//! The `ringbend-playground` binary: demonstrates Ringbend on one machine.

use std::fmt;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use ringbend_playground::{
    ADMIN_KEY, CALLER_KEY, Fleet, FleetConfig, FleetError, LoadConfig, Report, run_load,
};
use ringbend_telemetry::{LogConfig, init_logging};
use serde_json::Value;

/// Runs instances and simulated platform services in one process on loopback, sends a mixed load,
/// prints a report and keeps running until Ctrl-C.
#[derive(FromArgs)]
struct Args {
    /// exit after the report
    #[argh(switch)]
    once: bool,
    /// seed of the load
    #[argh(option, default = "7")]
    seed: u64,
    /// format of the report: text or json
    #[argh(option, default = "ReportFormat::Text")]
    report: ReportFormat,
    /// number of instances
    #[argh(option, default = "3")]
    instances: usize,
    /// number of engines
    #[argh(option, default = "6")]
    engines: usize,
    /// log level on standard error: off, error, warn, info or debug
    #[argh(option, default = "log::LevelFilter::Warn")]
    log: log::LevelFilter,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportFormat {
    Text,
    Json,
}

#[derive(Debug)]
struct ParseReportFormatError;

impl fmt::Display for ParseReportFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected text or json")
    }
}

impl FromStr for ReportFormat {
    type Err = ParseReportFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseReportFormatError),
        }
    }
}

/// Time limit for a settings change to be in force at all instances.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the engines to free their memory after the load.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let _ = init_logging(&LogConfig { level: args.log, ..LogConfig::default() });
    match actix_rt::System::new().block_on(run(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("ringbend-playground: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<bool, FleetError> {
    let cfg =
        FleetConfig { instances: args.instances, engines: args.engines, ..FleetConfig::default() };
    let fleet = Fleet::start(cfg).await?;
    if args.report == ReportFormat::Text {
        println!("{} instances are ready; sending a mixed load", fleet.instances.len());
    }
    let callers: Vec<_> = fleet.instances.iter().map(|i| i.callers_address).collect();
    let load = LoadConfig { seed: args.seed, ..LoadConfig::default() };
    let results = run_load(&callers, &load).await;
    let mut report = Report::from_results(&results);
    add_counters(&fleet, &mut report).await;
    match args.report {
        ReportFormat::Text => println!("{}", report.to_table()),
        ReportFormat::Json => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        }
    }
    if !args.once {
        print_examples(&fleet);
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(report.passes())
}

/// Adds the counters of the instances and stand-ins and the propagation time of a settings change
/// to the report.
async fn add_counters(fleet: &Fleet, report: &mut Report) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let kv_used = || fleet.engines.iter().map(|e| e.stats().kv_used.0).sum::<u64>();
    while kv_used() > 0 && Instant::now() < deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    report.leaked_tokens = kv_used();
    for service in &fleet.services {
        let stats = get(&format!("http://{}/_stats", service.address())).await;
        let keys = stats["by_key"].as_object().into_iter().flatten();
        report.double_runs += keys.filter(|(_, runs)| runs.as_u64() > Some(1)).count() as u64;
    }
    for instance in &fleet.instances {
        let status = get(&format!("http://{}/v1/status", instance.admin_address)).await;
        report.admitted += status["admitted"].as_u64().unwrap_or(0);
    }
    report.settings_in_force_ms = change_settings(fleet).await.as_secs_f64() * 1_000.0;
}

/// Changes one setting at the first instance and returns the time until it is in force at all
/// instances. Gives up after `SETTINGS_TIMEOUT`.
async fn change_settings(fleet: &Fleet) -> Duration {
    let change = serde_json::json!({
        "id": "playground-1",
        "author": "playground",
        "edits": [{"path": "/peach", "key": "limits.weight", "value": 200}],
    });
    let url = format!("http://{}/v1/settings/changes", fleet.instances[0].admin_address);
    let started_at = Instant::now();
    let client = awc::Client::default();
    let accepted = match client.post(url).bearer_auth(ADMIN_KEY).send_json(&change).await {
        Ok(mut res) => res.json::<Value>().await.unwrap_or_default(),
        Err(_) => Value::Null,
    };
    let version = accepted["version"].as_u64().unwrap_or(u64::MAX);
    for instance in &fleet.instances {
        let url = format!("http://{}/v1/status", instance.admin_address);
        while get(&url).await["settings_version"].as_u64() < Some(version) {
            if started_at.elapsed() > SETTINGS_TIMEOUT {
                return SETTINGS_TIMEOUT;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
    started_at.elapsed()
}

async fn get(url: &str) -> Value {
    let client = awc::Client::default();
    match client.get(url).bearer_auth(ADMIN_KEY).send().await {
        Ok(mut res) => res.json().await.unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

/// Prints example commands and the addresses of the instances.
fn print_examples(fleet: &Fleet) {
    let instance = &fleet.instances[0];
    println!("The instances keep running until Ctrl-C. Try:\n");
    println!(
        "curl -N http://{}/v1/completions -H 'authorization: Bearer {CALLER_KEY}' \\\n  \
         -d '{{\"model\":\"standin\",\"stream\":true,\"max_tokens\":8,\"prompt\":\"hello\"}}'\n",
        instance.callers_address
    );
    println!(
        "RINGBEND_ADMIN_KEY={ADMIN_KEY} cargo run --release --bin ringbend -- \\\n  \
         --admin {} settings set /peach limits.tokens_per_s 50000\n",
        instance.admin_address
    );
    for instance in &fleet.instances {
        println!(
            "{}: callers {}, admin {}",
            instance.name, instance.callers_address, instance.admin_address
        );
    }
}
