//! `ringbend-bench`: measures the decisions in virtual time.

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

/// Measures Ringbend's decisions in virtual time.
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

/// compare policies in a scenario
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// the scenario
    #[argh(option)]
    scenario: ScenarioName,
    /// the policies, with commas between
    #[argh(option)]
    policy: List<PolicyKind>,
    /// seeds, as 1..5 or 1,2,5
    #[argh(option, default = "Seeds((1..=5).collect())")]
    seeds: Seeds,
    /// offered load over capacity, in place of the scenario's
    #[argh(option)]
    load: Option<f64>,
    /// milliseconds between load reports, in place of the scenario's
    #[argh(option)]
    report_ms: Option<u64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// draw p95 time to first token into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// measure membership gossip at several sizes
#[derive(FromArgs)]
#[argh(subcommand, name = "membership")]
struct MembershipArgs {
    /// numbers of instances, with commas between
    #[argh(option)]
    instances: List<usize>,
    /// part of the messages that get lost
    #[argh(option, default = "0.05")]
    loss: f64,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// leave the processor's clock alone, so that two runs print the same
    #[argh(switch)]
    no_processor_time: bool,
}

/// measure the sharing of an account's limit
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
struct LimitsArgs {
    /// numbers of instances, with commas between
    #[argh(option, default = "List(vec![9])")]
    instances: List<usize>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

struct List<T>(Vec<T>);

impl<T: FromStr> FromStr for List<T>
where
    T::Err: fmt::Display,
{
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',').map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

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
            print_outline(&policy.mean, 1);
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

fn print_outline(value: &serde_json::Value, depth: usize) {
    let Some(fields) = value.as_object() else { return };
    for (name, field) in fields {
        let indent = "  ".repeat(depth);
        if field.is_object() {
            println!("{indent}{name}:");
            print_outline(field, depth + 1);
        } else {
            println!("{indent}{name}: {field}");
        }
    }
}
