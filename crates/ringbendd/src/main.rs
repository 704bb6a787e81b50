//! The `ringbendd` binary: runs one Ringbend instance.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use ringbend_telemetry::init_logging;
use ringbendd::{DaemonConfig, DaemonError, Instance, StopReport};
use tokio::signal::unix::{SignalKind, signal};

/// One Ringbend instance.
#[derive(FromArgs)]
struct Args {
    /// the instance's settings file
    #[argh(option)]
    config: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// Exit code of a shutdown that cut off requests.
const EXIT_CUT_OFF: u8 = 3;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_rt::System::new().block_on(run(args)) {
        Ok(StopReport { cut_off: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT_OFF),
        Err(report) => {
            eprintln!("ringbendd: {report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<StopReport, Report<DaemonError>> {
    let (cfg, warnings) = DaemonConfig::read(&args.config)?;
    init_logging(&cfg.log).change_context(DaemonError::Logs)?;
    for warning in warnings {
        log::warn!("{warning}");
    }
    if args.check {
        return Ok(StopReport::default());
    }
    let mut instance = Instance::start(cfg).await?;
    println!(
        "callers on {}, admin on {}, peers on {}",
        instance.callers_address(),
        instance.admin_address(),
        instance.peers_address()
    );
    let mut term = signal(SignalKind::terminate()).change_context(DaemonError::Listen)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(DaemonError::Listen)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = instance.drain_requested() => {}
    }
    let drain = instance.drain();
    tokio::pin!(drain);
    loop {
        tokio::select! {
            report = &mut drain => {
                log::info!(cut = report.cut_off; "stopped");
                println!("stopped, {} requests cut off", report.cut_off);
                return Ok(report);
            }
            // A second signal cuts off the open requests; the drain then counts them.
            _ = term.recv() => instance.cut_off_requests(),
            _ = interrupt.recv() => instance.cut_off_requests(),
        }
    }
}
