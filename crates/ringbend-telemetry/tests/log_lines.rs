//! Log lines with text that others choose: ids of callers, keys of rows and errors that quote them.

use std::process::Command;

use ringbend_telemetry::{LogConfig, LogFormat, LogOutput, flush_logs, init_logging};

/// The format of the child process, which is this test binary.
const FORMAT_VARIABLE: &str = "LOG_LINES_FORMAT";

/// Values that a reader of the log could take for another line or field.
const HOSTILE_VALUES: [&str; 8] = [
    "a1\n1 ERROR request request refused code=held",
    "a1\r1 ERROR request request refused",
    "a1 code=held",
    "a1\tcode=held",
    "a1=held",
    "a1\" code=held \"",
    "a1\u{1b}[2K\u{85}\u{2028}code=held",
    "\"a1\"",
];

/// Values that are logged as they are.
const ORDINARY_VALUES: [&str; 5] = ["9c41d07be2a35f68", "i-7f3a.x:2_b", "10.2.0.7:8080", "-", ""];

/// Writes one line for each value. The logger belongs to the process, so that each case needs its own.
#[test]
#[ignore = "run as a child process by the other tests"]
fn write_lines() {
    let format: LogFormat = std::env::var(FORMAT_VARIABLE).unwrap().parse().unwrap();
    let output = LogOutput::Stderr;
    init_logging(&LogConfig { format, output, ..LogConfig::default() }).unwrap();
    for id in ORDINARY_VALUES.into_iter().chain(HOSTILE_VALUES) {
        log::info!(target: "request", id, outcome = "answered"; "request done");
    }
    for text in HOSTILE_VALUES {
        log::info!(target: "request", outcome = "answered"; "cannot read {text}");
    }
    log::info!(target: "request", outcome = "answered"; "{}", HOSTILE_VALUES[7]);
    log::info!(target: "request", outcome = "answered"; "unknown setting \"a\"; did you mean \"b\"?");
    flush_logs(std::time::Duration::from_secs(5));
}

fn logged_lines(format: &str) -> Vec<String> {
    let binary = std::env::current_exe().unwrap();
    let output = Command::new(binary)
        .args(["--exact", "write_lines", "--ignored", "--nocapture"])
        .env(FORMAT_VARIABLE, format)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    text.strip_suffix('\n').unwrap().split('\n').map(str::to_owned).collect()
}

/// Takes the time off the beginning of a line.
fn without_time(line: &str) -> &str {
    let (time, rest) = line.split_once(' ').unwrap();
    assert!(time.parse::<u128>().is_ok(), "not a line of its own: {line:?}");
    rest
}

/// Guards against a value with a line break, a space or a quotation mark that adds a line or a field
/// of its own to the log.
#[test]
fn a_value_stays_in_its_field_in_text_format() {
    let lines = logged_lines("text");
    assert_eq!(lines.len(), 2 * HOSTILE_VALUES.len() + ORDINARY_VALUES.len() + 2, "{lines:#?}");
    for (line, value) in lines[ORDINARY_VALUES.len()..].iter().zip(HOSTILE_VALUES) {
        let expected = format!("INFO request request done id={value:?} outcome=answered");
        assert_eq!(without_time(line), expected);
        assert!(!line.contains(char::is_control), "{line:?}");
    }
}

/// Guards against a change of how ordinary values are logged, which readers of the log rely on.
#[test]
fn an_ordinary_value_is_logged_as_it_is_in_text_format() {
    let lines = logged_lines("text");
    for (line, value) in lines.iter().zip(ORDINARY_VALUES) {
        let expected = format!("INFO request request done id={value} outcome=answered");
        assert_eq!(without_time(line), expected);
    }
    let last = "INFO request unknown setting \"a\"; did you mean \"b\"? outcome=answered";
    assert_eq!(without_time(lines.last().unwrap()), last);
}

/// Guards against text in a message that adds a line or a field.
#[test]
fn a_message_cannot_hold_a_field_in_text_format() {
    let lines = logged_lines("text");
    let quoted_lines = &lines[HOSTILE_VALUES.len() + ORDINARY_VALUES.len()..];
    // The last value holds no field and is not at the beginning of the message.
    for (line, value) in quoted_lines.iter().zip(&HOSTILE_VALUES[..7]) {
        let message = format!("cannot read {value}");
        assert_eq!(without_time(line), format!("INFO request {message:?} outcome=answered"));
    }
    let beginning = &quoted_lines[HOSTILE_VALUES.len()];
    assert_eq!(without_time(beginning), "INFO request \"\\\"a1\\\"\" outcome=answered");
}

/// Guards against a value that ends its JSON string or line.
#[test]
fn a_value_stays_in_its_field_in_json_format() {
    let lines = logged_lines("json");
    for (line, value) in lines[ORDINARY_VALUES.len()..].iter().zip(HOSTILE_VALUES) {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        let fields: Vec<&String> = line.as_object().unwrap().keys().collect();
        assert_eq!(fields.len(), 6, "{line}");
        assert_eq!((&line["id"], &line["outcome"]), (&value.into(), &"answered".into()));
    }
}
