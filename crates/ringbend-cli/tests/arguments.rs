//! Command-line arguments that the `ringbend` tool puts into URLs.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Runs a command with this value of `--admin`, in which `ADDRESS` is a server's address. Returns the
/// exit code and the first lines of the requests that the server received.
fn run_with_admin(admin: &str) -> (Option<i32>, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let admin = admin.replace("ADDRESS", &listener.local_addr().unwrap().to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_ringbend"));
    command.args(["--admin", &admin, "drain"]).env("RINGBEND_ADMIN_KEY", "k");
    let mut process = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let mut requests = Vec::new();
    loop {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).unwrap();
            let head = String::from_utf8_lossy(&head[..length]);
            requests.extend(head.lines().next().map(str::to_owned));
            stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}").unwrap();
        }
        if let Some(status) = process.try_wait().unwrap() {
            return (status.code(), requests);
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against an address whose text goes into the path of a call, which then reaches another route
/// with the operator's key.
#[test]
fn an_address_with_other_parts_of_a_url_is_rejected() {
    for admin in ["ADDRESS/other", "ADDRESS?a=", "ADDRESS#", "ADDRESS/other?", ""] {
        assert_eq!(run_with_admin(admin), (Some(1), Vec::new()), "{admin:?}");
    }
}

#[test]
fn an_address_is_called() {
    let drain = "POST /v1/drain HTTP/1.1".to_owned();
    assert_eq!(run_with_admin("ADDRESS"), (Some(0), vec![drain]));
}
