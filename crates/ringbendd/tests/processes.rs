//! The programs as real processes on loopback, on ports chosen when they start.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// A condition that does not come true within this time has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// One process; killed when dropped.
struct Program {
    child: Child,
    out: BufReader<ChildStdout>,
    first_line: String,
}

impl Program {
    fn start(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut first_line = String::new();
        out.read_line(&mut first_line).unwrap();
        Self { child, out, first_line }
    }

    /// The address after `word` in the first line that the process printed.
    fn address(&self, word: &str) -> SocketAddr {
        let after = self.first_line.split(word).nth(1).unwrap_or_default();
        let text = after.split([',', '\n']).next().unwrap_or_default().trim();
        text.parse().unwrap_or_else(|_| panic!("no address in {:?}", self.first_line))
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits for the end; returns the exit code and what was printed last.
    fn end(mut self) -> (Option<i32>, String) {
        let mut last = String::new();
        while self.out.read_line(&mut last).unwrap() > 0 {}
        (self.child.wait().unwrap().code(), last)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A program of this workspace, built when it is not there yet.
fn program(name: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    let here = Path::new(env!("CARGO_BIN_EXE_ringbendd")).parent().unwrap();
    let path = here.join(name);
    if !path.exists() {
        BUILT.get_or_init(|| {
            let mut build = Command::new(env!("CARGO"));
            build.args(["build", "-p", "ringbend-standins", "-p", "ringbend-cli"]);
            if here.ends_with("release") {
                build.arg("--release");
            }
            assert!(build.status().unwrap().success());
        });
    }
    path
}

struct World {
    folder: PathBuf,
    engines: Vec<Program>,
    service: Program,
    table: Program,
    _objects: Program,
    list: Program,
    daemons: Vec<Program>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn standin(args: &[&str]) -> Program {
    Program::start(Command::new(program("ringbend-standins")).args(args))
}

impl World {
    async fn start(name: &str, daemons: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("ringbend-{name}-{}", std::process::id()));
        ringbend_cli::write_test_certificates(&folder).unwrap();
        let engine = ["engine", "--step-ms", "10", "--kv-tokens", "100000"];
        let engines: Vec<Program> = (0..2).map(|_| standin(&engine)).collect();
        let service = standin(&["service"]);
        let entry = |id: &str, kind: &str, service: &str, at: &Program, kv: u64| {
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
        let file = folder.join("entries.json");
        std::fs::write(&file, entries.to_string()).unwrap();
        let list = standin(&["instances", "--entries", file.to_str().unwrap()]);
        let (table, objects) = (standin(&["table"]), standin(&["objects"]));
        let mut world =
            Self { folder, engines, service, table, _objects: objects, list, daemons: Vec::new() };
        for n in 0..daemons {
            world.add_daemon(&format!("instance-{n}")).await;
        }
        world
    }

    async fn add_daemon(&mut self, name: &str) {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, self.config(name)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ringbendd"));
        let daemon = Program::start(command.arg("--config").arg(&file));
        let to = daemon.address("callers on");
        self.daemons.push(daemon);
        until("ready", async || get(to, "/readyz").await.0 == 200).await;
    }

    fn config(&self, name: &str) -> String {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .map(|d| format!("{:?}", d.address("peers on").to_string()))
            .collect();
        let file = |name: &str| self.folder.join(name).display().to_string();
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

async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn get(to: SocketAddr, path: &str) -> (u16, Value) {
    let client = awc::Client::builder().timeout(PATIENCE).finish();
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

fn prompt(key: &str, max_tokens: u64) -> Value {
    json!({"model": "standin", "stream": true, "prompt": "hello", "key": key, "max_tokens": max_tokens})
}

/// Runs the operators' tool.
fn ringbend(admin: SocketAddr, args: &[&str]) -> (Option<i32>, Value) {
    let mut command = Command::new(program("ringbend"));
    command.env("RINGBEND_ADMIN_KEY", "admin-key").args(["--admin", &admin.to_string(), "--json"]);
    let output = command.args(args).output().unwrap();
    (output.status.code(), serde_json::from_slice(&output.stdout).unwrap_or_default())
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn a_prompt_a_plain_call_and_a_change_through_real_processes() {
    run(async {
        let world = World::start("path", 2).await;
        let (status, answer) = post(world.callers(0), "/v1/completions", prompt("p1", 8)).await;
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer.matches("text_completion").count(), 8);
        assert!(answer.ends_with("data: [DONE]\n\n"));
        let call = json!({"key": "count-1", "boxes": 3});
        let (status, answer) = post(world.callers(1), "/services/dispatch/count", call).await;
        assert_eq!(status, 200, "{answer}");
        let set = ["settings", "set", "/peach", "limits.weight", "7"];
        let (code, accepted) = ringbend(world.admin(0), &set);
        assert_eq!((code, &accepted["version"]), (Some(0), &json!(1)));
        for n in 0..2 {
            until("in force", async || {
                get(world.admin(n), "/v1/status").await.1["settings_version"] == 1
            })
            .await;
            let read = ["settings", "get", "/peach/standin", "limits.weight"];
            assert_eq!(ringbend(world.admin(n), &read), (Some(0), json!(7)));
        }
    });
}

#[test]
fn the_tool_says_what_is_wrong_and_exits_accordingly() {
    run(async {
        let world = World::start("tool", 1).await;
        let admin = world.admin(0);
        let out_of_range = ["settings", "set", "/", "class.priority", "9"];
        assert_eq!(ringbend(admin, &out_of_range).0, Some(4));
        let set = |id| ["settings", "set", "/x", "limits.weight", "3", "--change-id", id];
        assert_eq!(ringbend(admin, &set("one")).1["version"], 1);
        assert_eq!(ringbend(admin, &set("one")).1["version"], 1);
        let stale = ["settings", "set", "/x", "limits.weight", "4", "--base", "0"];
        assert_eq!(ringbend(admin, &stale).0, Some(3));
        let (_, explained) = ringbend(admin, &["settings", "explain", "/x/standin"]);
        let weight = explained.as_array().unwrap().iter().find(|l| l["key"] == "limits.weight");
        assert_eq!(weight.unwrap()["from"], "/x");
        assert_eq!(ringbend(admin, &["settings", "history"]).1.as_array().unwrap().len(), 1);
        assert_eq!(ringbend(admin, &["endpoints"]).1.as_array().unwrap().len(), 3);
        let mut wrong_key = Command::new(program("ringbend"));
        wrong_key.env("RINGBEND_ADMIN_KEY", "caller-key");
        let ended = wrong_key.args(["--admin", &admin.to_string(), "status"]).output().unwrap();
        assert_eq!(ended.status.code(), Some(7));
    });
}

#[test]
fn a_term_signal_lets_an_open_stream_end() {
    run(async {
        let mut world = World::start("term", 2).await;
        let to = world.callers(0);
        let call = tokio::task::spawn_local(async move {
            post(to, "/v1/completions", prompt("long", 150)).await
        });
        let engines: Vec<_> = world.engines.iter().map(|e| e.address("listening on")).collect();
        until("it runs", async || {
            let mut running = false;
            for engine in &engines {
                running |= get(*engine, "/stats").await.1["sequences"] != 0;
            }
            running
        })
        .await;
        let daemon = world.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        until("unready", async || get(to, "/readyz").await.0 != 200).await;
        let (_, answer) = call.await.unwrap();
        assert_eq!(answer.matches("text_completion").count(), 150);
        let (code, last) = daemon.end();
        assert_eq!(code, Some(0));
        assert!(last.contains("stopped, 0 requests cut off"), "{last}");
    });
}

#[test]
fn a_second_signal_cuts_and_counts() {
    run(async {
        let mut world = World::start("cut", 1).await;
        let to = world.callers(0);
        let call = tokio::task::spawn_local(async move {
            post(to, "/v1/completions", prompt("endless", 10_000)).await
        });
        until("it runs", async || get(world.admin(0), "/v1/status").await.1["open_requests"] == 1)
            .await;
        let admin = world.admin(0);
        let daemon = world.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        until("draining", async || get(admin, "/v1/status").await.1["phase"] == "draining").await;
        daemon.signal(Signal::SIGTERM);
        let (code, last) = daemon.end();
        assert_eq!(code, Some(3));
        assert!(last.contains("stopped, 1 requests cut off"), "{last}");
        let (_, answer) = call.await.unwrap();
        assert!(answer.contains("\"code\":\"cut_off\""), "{answer}");
    });
}

#[test]
fn a_killed_process_loses_no_key() {
    run(async {
        let mut world = World::start("kill", 2).await;
        let faults = format!("http://{}/_faults", world.service.address("listening on"));
        let slow = json!({"delay_ms": 60_000});
        awc::Client::default().put(faults).send_json(&slow).await.unwrap();
        let (to, other) = (world.callers(0), world.callers(1));
        let call = json!({"key": "count-9"});
        let sent = call.clone();
        let first = tokio::task::spawn_local(async move {
            let client = awc::Client::builder().disable_timeout().finish();
            let req = client.post(format!("http://{to}/services/dispatch/count"));
            let req = req.bearer_auth("caller-key").insert_header(("x-call-key", "count"));
            let req = req.insert_header(("x-ringbend-request-key", "count-9"));
            req.send_json(&sent).await.is_err()
        });
        let stats = world.service.address("listening on");
        until("it runs", async || get(stats, "/_stats").await.1["by_key"]["count"] == 1).await;
        world.daemons.remove(0).signal(Signal::SIGKILL);
        assert!(first.await.unwrap());
        let (status, answer) = post(other, "/services/dispatch/count", call).await;
        assert_eq!(status, 409, "{answer}");
        assert!(answer.contains("in_progress"), "{answer}");
        assert_eq!(get(stats, "/_stats").await.1["by_key"]["count"], 1);
    });
}

#[test]
fn a_paused_process_catches_up_and_never_falls_back() {
    run(async {
        let world = World::start("pause", 2).await;
        let set = |weight: &str| {
            let args = ["settings", "set", "/x", "limits.weight", weight];
            assert_eq!(ringbend(world.admin(0), &args).0, Some(0));
        };
        set("1");
        until("in force", async || {
            get(world.admin(1), "/v1/status").await.1["settings_version"] == 1
        })
        .await;
        world.daemons[1].signal(Signal::SIGSTOP);
        set("2");
        set("3");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        world.daemons[1].signal(Signal::SIGCONT);
        let mut highest = 1;
        until("caught up", async || {
            let status = get(world.admin(1), "/v1/status").await.1;
            let version = status["settings_version"].as_u64().unwrap_or(highest);
            assert!(version >= highest, "fell from {highest} to {version}");
            highest = version;
            version == 3
        })
        .await;
        let (status, answer) = post(world.callers(1), "/v1/completions", prompt("p", 3)).await;
        assert_eq!(status, 200, "{answer}");
    });
}
