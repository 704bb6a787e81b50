//! The `ringbend-load` binary: calls a steady load to one address and reports latencies. It can also
//! report the CPU time and memory that a process used meanwhile.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Sends a steady load of prompts to one address and reports latencies as JSON.
#[derive(FromArgs)]
struct Args {
    /// address to send to, IP:port
    #[argh(option)]
    target: SocketAddr,
    /// caller key; ignored if the target is an engine
    #[argh(option, default = "String::from(\"caller-key\")")]
    key: String,
    /// number of requests
    #[argh(option, default = "2000")]
    requests: usize,
    /// number of concurrent requests
    #[argh(option, default = "16")]
    at_once: usize,
    /// prompt length, in tokens
    #[argh(option, default = "250")]
    prompt_tokens: usize,
    /// number of tokens to generate for each prompt
    #[argh(option, default = "1")]
    max_tokens: u64,
    /// id of the process whose CPU time and memory are reported
    #[argh(option)]
    pid: Option<u32>,
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Default)]
struct ProcessUsage {
    cpu_ticks: u64,
    resident_kb: u64,
}

#[derive(Serialize)]
struct LoadReport {
    requests: usize,
    failed: usize,
    seconds: f64,
    requests_per_s: f64,
    first_token_ms_p50: f64,
    first_token_ms_p99: f64,
    whole_ms_p50: f64,
    whole_ms_p99: f64,
    cpu_us_per_request: Option<f64>,
    resident_kb_before: Option<u64>,
    resident_kb_most: Option<u64>,
}

/// Clock ticks per second in the CPU times of /proc.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Bytes of prompt per token.
const BYTES_PER_TOKEN: usize = 4;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let report = actix_rt::System::new().block_on(run(&args));
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    if report.failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) }
}

async fn run(args: &Args) -> LoadReport {
    let prompt = "x".repeat(args.prompt_tokens * BYTES_PER_TOKEN);
    let body = format!(
        "{{\"model\":\"standin\",\"stream\":true,\"max_tokens\":{},\"prompt\":\"{prompt}\"}}",
        args.max_tokens
    );
    let body: Rc<str> = body.into();
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let before = args.pid.and_then(process_usage);
    let started_at = Instant::now();
    let calls = (0..args.requests).map(|_| {
        let (client, body) = (client.clone(), body.clone());
        async move { send_prompt(args, client, &body).await }
    });
    let mut max_resident_kb = before.map_or(0, |u| u.resident_kb);
    let mut results = futures_util::stream::iter(calls).buffer_unordered(args.at_once);
    let (Ok(mut first), Ok(mut total)) = (Histogram::<u64>::new(3), Histogram::<u64>::new(3))
    else {
        unreachable!("three significant digits are valid");
    };
    let mut failed = 0;
    let mut memory_poll = tokio::time::interval(Duration::from_millis(50));
    loop {
        tokio::select! {
            result = results.next() => match result {
                Some(Some((first_token_time, total_time))) => {
                    let _ = first.record(first_token_time.as_micros() as u64);
                    let _ = total.record(total_time.as_micros() as u64);
                }
                Some(None) => failed += 1,
                None => break,
            },
            _ = memory_poll.tick() => {
                max_resident_kb = max_resident_kb.max(args.pid.and_then(process_usage).map_or(0, |u| u.resident_kb));
            }
        }
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let after = args.pid.and_then(process_usage);
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
    let cpu = before.zip(after).map(|(before, after)| {
        let ticks = (after.cpu_ticks - before.cpu_ticks) as f64;
        ticks / CLOCK_TICKS_PER_S * 1e6 / args.requests as f64
    });
    LoadReport {
        requests: args.requests,
        failed,
        seconds,
        requests_per_s: args.requests as f64 / seconds,
        first_token_ms_p50: ms(&first, 0.5),
        first_token_ms_p99: ms(&first, 0.99),
        whole_ms_p50: ms(&total, 0.5),
        whole_ms_p99: ms(&total, 0.99),
        cpu_us_per_request: cpu,
        resident_kb_before: before.map(|u| u.resident_kb),
        resident_kb_most: args.pid.map(|_| max_resident_kb),
    }
}

/// Sends one prompt and returns the times to its first token and to the end of the answer. Returns
/// `None` if the answer is not complete.
async fn send_prompt(args: &Args, client: awc::Client, body: &str) -> Option<(Duration, Duration)> {
    let started_at = Instant::now();
    let url = format!("http://{}/v1/completions", args.target);
    let req = client.post(url).bearer_auth(&args.key);
    let mut res = req.send_body(body.to_owned()).await.ok()?;
    let mut first = None;
    let mut last_chunk = Vec::new();
    while let Some(chunk) = res.next().await {
        first.get_or_insert_with(|| started_at.elapsed());
        last_chunk = chunk.ok()?.to_vec();
    }
    let is_complete = res.status().is_success() && last_chunk.ends_with(b"data: [DONE]\n\n");
    is_complete.then_some((first?, started_at.elapsed()))
}

/// Reads the CPU time and memory of a process from /proc.
fn process_usage(pid: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The fields after the program's name, which is in parentheses and may contain spaces.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let cpu_ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let resident_kb = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(ProcessUsage { cpu_ticks, resident_kb })
}
