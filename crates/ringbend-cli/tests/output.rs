//! Output of the `ringbend` tool with text that others wrote, such as the author of a change.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

use serde_json::{Value, json};

/// Answers one request with this status and body, and returns the request's first line.
fn serve_once(status: &'static str, body: &Value) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = body.to_string();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.windows(4).any(|end| end == b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        let length = body.len();
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
        String::from_utf8(request).unwrap().lines().next().unwrap().to_owned()
    });
    (address, served)
}

fn run(admin: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ringbend"))
        .args(["--admin", admin])
        .args(args)
        .env("RINGBEND_ADMIN_KEY", "k")
        .output()
        .unwrap()
}

/// Returns what a command prints for this response.
fn printed(args: &[&str], response: &Value) -> String {
    let (address, served) = serve_once("200 OK", response);
    let output = run(&address.to_string(), args);
    served.join().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against an author whose text adds an entry or a field to the history.
#[test]
fn a_text_stays_in_its_field_of_a_list() {
    let author = "eve\n- version=9 id=c9 author=mallory";
    let history = json!([
        {"version": 2, "author": author, "id": "c2"},
        {"version": 1, "author": "eve base=7", "id": "c1"},
        {"version": 0, "author": "eve", "id": "c0", "names": ["a,b", "c"]},
    ]);
    let expected = [
        format!("- author={author:?} id=c2 version=2\n"),
        "- author=\"eve base=7\" id=c1 version=1\n".to_owned(),
        "- author=eve id=c0 names=\"a,b\",c version=0\n".to_owned(),
    ];
    assert_eq!(printed(&["settings", "history"], &history), expected.concat());
}

/// Guards against text that adds a line to an outline or moves the cursor of the terminal.
#[test]
fn a_text_stays_on_its_line_of_an_outline() {
    let status = json!({
        "a": "one\ntwo: 2", "b": "\u{1b}[2J", "c": "two words", "d\ne": 1, "f": {"g": "a\rb"},
        "h": "\"quoted\"",
    });
    let expected = "a: \"one\\ntwo: 2\"\nb: \"\\u{1b}[2J\"\nc: two words\n\"d\\ne\": 1\n\
                    f:\n  g: \"a\\rb\"\nh: \"\\\"quoted\\\"\"\n";
    assert_eq!(printed(&["status"], &status), expected);
}

/// Guards against an instance's error that adds lines to standard error.
#[test]
fn an_error_stays_on_its_line() {
    let body = json!({"error": "no such route\nringbend: applied \u{1b}[2K"});
    let (address, served) = serve_once("404 Not Found", &body);
    let output = run(&address.to_string(), &["status"]);
    served.join().unwrap();
    assert_eq!(output.status.code(), Some(8));
    let expected = "ringbend: \"no such route\\nringbend: applied \\u{1b}[2K\"\n";
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
}

/// Guards against JSON output that is not one line.
#[test]
fn json_output_is_one_line() {
    let status = json!({"a": "one\ntwo"});
    assert_eq!(printed(&["--json", "status"], &status), "{\"a\":\"one\\ntwo\"}\n");
}
