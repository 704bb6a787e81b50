//! `ringbend-bench`: runs the benchmarks of `ringbend_bench` from the command line.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use argh::FromArgs;
use ringbend_bench::{
    CompareConfig, GossipConfig, GossipReport, PolicyKind, ScenarioName, ShareRun, ShareScenario,
    compare, measure_gossip, measure_shares, plot,
};
use serde::Serialize;

/// Benchmarks Ringbend's routing, limit sharing and membership in simulated time.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Compare(CompareArgs),
    Membership(MembershipArgs),
    Limits(LimitsArgs),
}

/// compare routing policies in a scenario
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// scenario to run
    #[argh(option)]
    scenario: ScenarioName,
    /// comma-separated policies
    #[argh(option)]
    policy: CommaList<PolicyKind>,
    /// seeds, as an inclusive range (1..5) or a list (1,2,5)
    #[argh(option, default = "Seeds((1..=5).collect())")]
    seeds: Seeds,
    /// offered load as a fraction of the capacity; overrides the scenario's
    #[argh(option)]
    load: Option<f64>,
    /// milliseconds between load reports; overrides the scenario's
    #[argh(option)]
    report_ms: Option<u64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// plot the p95 time to first token into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// measure membership gossip at several sizes
#[derive(FromArgs)]
#[argh(subcommand, name = "membership")]
struct MembershipArgs {
    /// comma-separated numbers of instances
    #[argh(option)]
    instances: CommaList<usize>,
    /// fraction of messages to drop
    #[argh(option, default = "0.05")]
    loss: f64,
    /// seed of the instances and the network
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// do not measure CPU time, so that two runs print the same
    #[argh(switch)]
    no_processor_time: bool,
}

/// measure how instances share an account's rate limit
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
struct LimitsArgs {
    /// comma-separated numbers of instances
    #[argh(option, default = "CommaList(vec![9])")]
    instances: CommaList<usize>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Comma-separated values of one option.
struct CommaList<T>(Vec<T>);

impl<T: FromStr> FromStr for CommaList<T>
where
    T::Err: fmt::Display,
{
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',').map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Seeds as an inclusive range (`1..5`) or a comma-separated list.
struct Seeds(Vec<u64>);

impl FromStr for Seeds {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some((first, last)) = text.split_once("..") {
            return Ok(Self((first.parse()?..=last.parse()?).collect()));
        }
        text.split(',').map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Compare(args) => return run_compare(args),
        Command::Membership(args) => run_membership(&args),
        Command::Limits(args) => run_limits(&args),
    }
    ExitCode::SUCCESS
}

fn run_compare(args: CompareArgs) -> ExitCode {
    let cfg = CompareConfig {
        scenario: args.scenario,
        load: args.load,
        report_every: args.report_ms.map(Duration::from_millis),
        policies: args.policy.0,
        seeds: args.seeds.0,
    };
    let report = compare(&cfg);
    if args.json {
        print_json(&report);
    } else {
        println!(
            "{} at {} of capacity, mean of {} seeds",
            report.scenario,
            report.load,
            cfg.seeds.len()
        );
        for (name, policy) in &report.policies {
            println!("\n{name}");
            print_tree(&policy.mean, 1);
        }
    }
    if let Some(file) = &args.plot
        && let Err(e) = plot(&report, file)
    {
        eprintln!("ringbend-bench: {e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn run_membership(args: &MembershipArgs) {
    let measure = |instances: &usize| {
        measure_gossip(&GossipConfig {
            instances: *instances,
            loss: args.loss,
            seed: args.seed,
            processor_time: !args.no_processor_time,
        })
    };
    let reports: Vec<GossipReport> = args.instances.0.iter().map(measure).collect();
    if args.json {
        return print_json(&reports);
    }
    for report in reports {
        println!("{report:#?}");
    }
}

fn run_limits(args: &LimitsArgs) {
    let mut runs: Vec<ShareRun> = Vec::new();
    for instances in &args.instances.0 {
        for scenario in ShareScenario::ALL {
            runs.push(measure_shares(scenario, true, *instances));
            runs.push(measure_shares(scenario, false, *instances));
        }
    }
    if args.json {
        return print_json(&runs);
    }
    for run in runs {
        println!("{run:#?}");
    }
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

fn print_tree(value: &serde_json::Value, depth: usize) {
    let Some(fields) = value.as_object() else { return };
    for (name, field) in fields {
        let indent = "  ".repeat(depth);
        if field.is_object() {
            println!("{indent}{name}:");
            print_tree(field, depth + 1);
        } else {
            println!("{indent}{name}: {field}");
        }
    }
}
