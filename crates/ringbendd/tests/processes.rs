//! Tests with the programs as real processes on loopback, listening on free ports.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// Time within which an awaited condition must become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process; killed when dropped.
struct ProcessHandle {
    child: Child,
    out: BufReader<ChildStdout>,
    first_line: String,
}

impl ProcessHandle {
    fn start(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut first_line = String::new();
        out.read_line(&mut first_line).unwrap();
        Self { child, out, first_line }
    }

    /// Returns the address after `label` in the first line that the process printed.
    fn address(&self, label: &str) -> SocketAddr {
        let after = self.first_line.split(label).nth(1).unwrap_or_default();
        let text = after.split([',', '\n']).next().unwrap_or_default().trim();
        text.parse().unwrap_or_else(|_| panic!("no address in {:?}", self.first_line))
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits for the process to exit; returns its exit code and the remaining output.
    fn wait(mut self) -> (Option<i32>, String) {
        let mut output = String::new();
        while self.out.read_line(&mut output).unwrap() > 0 {}
        (self.child.wait().unwrap().code(), output)
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program of this workspace, building it if it does not exist.
fn find_program(name: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_ringbendd")).parent().unwrap();
    let path = bin_dir.join(name);
    if !path.exists() {
        BUILT.get_or_init(|| {
            let mut build = Command::new(env!("CARGO"));
            build.args(["build", "-p", "ringbend-standins", "-p", "ringbend-cli"]);
            if bin_dir.ends_with("release") {
                build.arg("--release");
            }
            assert!(build.status().unwrap().success());
        });
    }
    path
}

struct Cluster {
    dir: PathBuf,
    engines: Vec<ProcessHandle>,
    service: ProcessHandle,
    table: ProcessHandle,
    _objects: ProcessHandle,
    list: ProcessHandle,
    daemons: Vec<ProcessHandle>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn start_standin(args: &[&str]) -> ProcessHandle {
    ProcessHandle::start(Command::new(find_program("ringbend-standins")).args(args))
}

impl Cluster {
    async fn start(name: &str, daemons: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("ringbend-{name}-{}", std::process::id()));
        ringbend_cli::write_test_certificates(&dir).unwrap();
        let engine = ["engine", "--step-ms", "10", "--kv-tokens", "100000"];
        let engines: Vec<ProcessHandle> = (0..2).map(|_| start_standin(&engine)).collect();
        let service = start_standin(&["service"]);
        let entry = |id: &str, kind: &str, service: &str, at: &ProcessHandle, kv: u64| {
            json!({
                "id": id, "address": at.address("listening on"), "data_centre": "dc",
                "kind": kind, "service": service, "checks_fencing": true,
                "kv_capacity": kv, "state": "live",
            })
        };
        let entries = json!([
            entry("engine-0", "engine", "standin", &engines[0], 100_000),
            entry("engine-1", "engine", "standin", &engines[1], 100_000),
            entry("service-0", "service", "dispatch", &service, 0),
        ]);
        let file = dir.join("entries.json");
        std::fs::write(&file, entries.to_string()).unwrap();
        let list = start_standin(&["instances", "--entries", file.to_str().unwrap()]);
        let (table, objects) = (start_standin(&["table"]), start_standin(&["objects"]));
        let mut cluster =
            Self { dir, engines, service, table, _objects: objects, list, daemons: Vec::new() };
        for n in 0..daemons {
            cluster.add_daemon(&format!("instance-{n}")).await;
        }
        cluster
    }

    async fn add_daemon(&mut self, name: &str) {
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, self.config(name)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ringbendd"));
        let daemon = ProcessHandle::start(command.arg("--config").arg(&file));
        let to = daemon.address("callers on");
        self.daemons.push(daemon);
        wait_until("ready", async || get(to, "/readyz").await.0 == 200).await;
    }

    fn config(&self, name: &str) -> String {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .map(|d| format!("{:?}", d.address("peers on").to_string()))
            .collect();
        let file = |name: &str| self.dir.join(name).display().to_string();
        format!(
            r#"
instance = "{name}"
data_centre = "dc"
callers_address = "127.0.0.1:0"
admin_address = "127.0.0.1:0"
peers_address = "127.0.0.1:0"
seeds = [{seeds}]

[platform]
table_url = "http://{table}"
objects_url = "http://{objects}"
instances_url = "http://{list}"

[tls]
certificate = "{certificate}"
key = "{key}"
authority = "{authority}"

[[callers]]
account = "peach"
key = "caller-key"

[admin]
keys = ["admin-key"]

[log]
format = "json"
level = "warn"

[shutdown]
unready_s = 0
grace_s = 30
"#,
            seeds = seeds.join(", "),
            table = self.table.address("listening on"),
            objects = self._objects.address("listening on"),
            list = self.list.address("listening on"),
            certificate = file("peer.pem"),
            key = file("peer.key"),
            authority = file("authority.pem"),
        )
    }

    fn callers(&self, n: usize) -> SocketAddr {
        self.daemons[n].address("callers on")
    }

    fn admin(&self, n: usize) -> SocketAddr {
        self.daemons[n].address("admin on")
    }
}

async fn wait_until(condition_name: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "{condition_name}: not true within {CONDITION_TIMEOUT:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn get(to: SocketAddr, path: &str) -> (u16, Value) {
    let client = awc::Client::builder().timeout(CONDITION_TIMEOUT).finish();
    let req = client.get(format!("http://{to}{path}")).bearer_auth("admin-key");
    let Ok(mut res) = req.send().await else { return (0, Value::Null) };
    let body = res.body().await.unwrap_or_default();
    (res.status().as_u16(), serde_json::from_slice(&body).unwrap_or_default())
}

async fn post(to: SocketAddr, path: &str, body: Value) -> (u16, String) {
    let client = awc::Client::builder().disable_timeout().finish();
    let req = client.post(format!("http://{to}{path}")).bearer_auth("caller-key");
    let req = req.insert_header(("x-call-key", "count")).insert_header((
        "x-ringbend-request-key",
        body["key"].as_str().unwrap_or("none").to_owned(),
    ));
    let mut res = req.send_json(&body).await.unwrap();
    let text = res.body().limit(16 << 20).await.unwrap_or_default();
    (res.status().as_u16(), String::from_utf8(text.to_vec()).unwrap())
}

fn prompt_body(key: &str, max_tokens: u64) -> Value {
    json!({"model": "standin", "stream": true, "prompt": "hello", "key": key, "max_tokens": max_tokens})
}

/// Runs the operators' command-line tool; returns its exit code and JSON output.
fn run_cli(admin: SocketAddr, args: &[&str]) -> (Option<i32>, Value) {
    let mut command = Command::new(find_program("ringbend"));
    command.env("RINGBEND_ADMIN_KEY", "admin-key").args(["--admin", &admin.to_string(), "--json"]);
    let output = command.args(args).output().unwrap();
    (output.status.code(), serde_json::from_slice(&output.stdout).unwrap_or_default())
}

fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn prompts_plain_calls_and_settings_changes_work_across_real_processes() {
    run_test(async {
        let cluster = Cluster::start("path", 2).await;
        let (status, answer) =
            post(cluster.callers(0), "/v1/completions", prompt_body("p1", 8)).await;
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer.matches("text_completion").count(), 8);
        assert!(answer.ends_with("data: [DONE]\n\n"));
        let call = json!({"key": "count-1", "boxes": 3});
        let (status, answer) = post(cluster.callers(1), "/services/dispatch/count", call).await;
        assert_eq!(status, 200, "{answer}");
        let set = ["settings", "set", "/peach", "limits.weight", "7"];
        let (code, accepted) = run_cli(cluster.admin(0), &set);
        assert_eq!((code, &accepted["version"]), (Some(0), &json!(1)));
        for n in 0..2 {
            wait_until("settings applied", async || {
                get(cluster.admin(n), "/v1/status").await.1["settings_version"] == 1
            })
            .await;
            let read = ["settings", "get", "/peach/standin", "limits.weight"];
            assert_eq!(run_cli(cluster.admin(n), &read), (Some(0), json!(7)));
        }
    });
}

#[test]
fn the_cli_reports_each_error_with_its_own_exit_code() {
    run_test(async {
        let cluster = Cluster::start("tool", 1).await;
        let admin = cluster.admin(0);
        let out_of_range = ["settings", "set", "/", "class.priority", "9"];
        assert_eq!(run_cli(admin, &out_of_range).0, Some(4));
        let set = |id| ["settings", "set", "/x", "limits.weight", "3", "--change-id", id];
        assert_eq!(run_cli(admin, &set("one")).1["version"], 1);
        assert_eq!(run_cli(admin, &set("one")).1["version"], 1);
        let stale = ["settings", "set", "/x", "limits.weight", "4", "--base", "0"];
        assert_eq!(run_cli(admin, &stale).0, Some(3));
        let (_, explained) = run_cli(admin, &["settings", "explain", "/x/standin"]);
        let weight = explained.as_array().unwrap().iter().find(|l| l["key"] == "limits.weight");
        assert_eq!(weight.unwrap()["from"], "/x");
        assert_eq!(run_cli(admin, &["settings", "history"]).1.as_array().unwrap().len(), 1);
        assert_eq!(run_cli(admin, &["endpoints"]).1.as_array().unwrap().len(), 3);
        let mut wrong_key = Command::new(find_program("ringbend"));
        wrong_key.env("RINGBEND_ADMIN_KEY", "caller-key");
        let ended = wrong_key.args(["--admin", &admin.to_string(), "status"]).output().unwrap();
        assert_eq!(ended.status.code(), Some(7));
    });
}

#[test]
fn sigterm_lets_an_open_stream_complete() {
    run_test(async {
        let mut cluster = Cluster::start("term", 2).await;
        let to = cluster.callers(0);
        let call = tokio::task::spawn_local(async move {
            post(to, "/v1/completions", prompt_body("long", 150)).await
        });
        let engines: Vec<_> = cluster.engines.iter().map(|e| e.address("listening on")).collect();
        wait_until("request running", async || {
            let mut running = false;
            for engine in &engines {
                running |= get(*engine, "/stats").await.1["sequences"] != 0;
            }
            running
        })
        .await;
        let daemon = cluster.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        wait_until("not ready", async || get(to, "/readyz").await.0 != 200).await;
        let (_, answer) = call.await.unwrap();
        assert_eq!(answer.matches("text_completion").count(), 150);
        let (code, output) = daemon.wait();
        assert_eq!(code, Some(0));
        assert!(output.contains("stopped, 0 requests cut off"), "{output}");
    });
}

#[test]
fn a_second_signal_cuts_off_and_counts_open_requests() {
    run_test(async {
        let mut cluster = Cluster::start("cut", 1).await;
        let to = cluster.callers(0);
        let call = tokio::task::spawn_local(async move {
            post(to, "/v1/completions", prompt_body("endless", 10_000)).await
        });
        wait_until("request running", async || {
            get(cluster.admin(0), "/v1/status").await.1["open_requests"] == 1
        })
        .await;
        let admin = cluster.admin(0);
        let daemon = cluster.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        wait_until("draining", async || get(admin, "/v1/status").await.1["phase"] == "draining")
            .await;
        daemon.signal(Signal::SIGTERM);
        let (code, output) = daemon.wait();
        assert_eq!(code, Some(3));
        assert!(output.contains("stopped, 1 requests cut off"), "{output}");
        let (_, answer) = call.await.unwrap();
        assert!(answer.contains("\"code\":\"cut_off\""), "{answer}");
    });
}

#[test]
fn a_request_key_stays_claimed_when_its_process_is_killed() {
    run_test(async {
        let mut cluster = Cluster::start("kill", 2).await;
        let faults = format!("http://{}/_faults", cluster.service.address("listening on"));
        let slow = json!({"delay_ms": 60_000});
        awc::Client::default().put(faults).send_json(&slow).await.unwrap();
        let (to, other) = (cluster.callers(0), cluster.callers(1));
        let call = json!({"key": "count-9"});
        let sent = call.clone();
        let first = tokio::task::spawn_local(async move {
            let client = awc::Client::builder().disable_timeout().finish();
            let req = client.post(format!("http://{to}/services/dispatch/count"));
            let req = req.bearer_auth("caller-key").insert_header(("x-call-key", "count"));
            let req = req.insert_header(("x-ringbend-request-key", "count-9"));
            req.send_json(&sent).await.is_err()
        });
        let stats = cluster.service.address("listening on");
        wait_until("request running", async || {
            get(stats, "/_stats").await.1["by_key"]["count"] == 1
        })
        .await;
        cluster.daemons.remove(0).signal(Signal::SIGKILL);
        assert!(first.await.unwrap());
        let (status, answer) = post(other, "/services/dispatch/count", call).await;
        assert_eq!(status, 409, "{answer}");
        assert!(answer.contains("in_progress"), "{answer}");
        assert_eq!(get(stats, "/_stats").await.1["by_key"]["count"], 1);
    });
}

#[test]
fn a_paused_process_catches_up_on_settings_without_going_back() {
    run_test(async {
        let cluster = Cluster::start("pause", 2).await;
        let set = |weight: &str| {
            let args = ["settings", "set", "/x", "limits.weight", weight];
            assert_eq!(run_cli(cluster.admin(0), &args).0, Some(0));
        };
        set("1");
        wait_until("settings applied", async || {
            get(cluster.admin(1), "/v1/status").await.1["settings_version"] == 1
        })
        .await;
        cluster.daemons[1].signal(Signal::SIGSTOP);
        set("2");
        set("3");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        cluster.daemons[1].signal(Signal::SIGCONT);
        let mut highest = 1;
        wait_until("caught up", async || {
            let status = get(cluster.admin(1), "/v1/status").await.1;
            let version = status["settings_version"].as_u64().unwrap_or(highest);
            assert!(version >= highest, "the version went back from {highest} to {version}");
            highest = version;
            version == 3
        })
        .await;
        let (status, answer) =
            post(cluster.callers(1), "/v1/completions", prompt_body("p", 3)).await;
        assert_eq!(status, 200, "{answer}");
    });
}
