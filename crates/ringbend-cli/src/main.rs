//! The `ringbend` binary: the operators' command-line tool. `docs/OPERATIONS.md` lists its exit codes.

mod args;
mod client;
mod commands;
mod output;

use std::process::ExitCode;

use args::Args;
use ringbend_types::LineText;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_rt::System::new().block_on(commands::run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ringbend: {}", LineText(&e.to_string()));
            ExitCode::from(e.exit_code())
        }
    }
}
