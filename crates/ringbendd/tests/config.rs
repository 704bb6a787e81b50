//! Parsing of the daemon's settings file: errors and warnings name the setting they are about.

use ringbendd::DaemonConfig;

const VALID_CONFIG: &str = r#"
instance = "a1"
data_centre = "dc"
callers_address = "127.0.0.1:8080"
admin_address = "127.0.0.1:8081"
peers_address = "127.0.0.1:8082"

[platform]
table_url = "http://127.0.0.1:1"
objects_url = "http://127.0.0.1:2"
instances_url = "http://127.0.0.1:3"

[tls]
certificate = "a.pem"
key = "a.key"
authority = "ca.pem"

[admin]
keys = ["k"]
"#;

#[test]
fn a_valid_file_is_parsed_with_defaults() {
    let (cfg, warnings) = DaemonConfig::parse(VALID_CONFIG).unwrap();
    assert!(warnings.is_empty(), "{warnings:?}");
    assert_eq!((cfg.platform.poll_ms, cfg.shutdown.grace_s), (1_000, 3_600));
}

#[test]
fn an_unknown_name_gives_a_warning_with_its_path_and_the_nearest_name() {
    let text = VALID_CONFIG.replace("[platform]", "[platform]\npol_ms = 5");
    let (_, warnings) = DaemonConfig::parse(&text).unwrap();
    let expected = "unknown setting \"platform.pol_ms\"; did you mean \"poll_ms\"?";
    assert_eq!(warnings, [expected]);
}

#[test]
fn a_missing_or_invalid_value_is_named_in_the_error() {
    let cases = [
        (VALID_CONFIG.replace("instance = \"a1\"", ""), "instance"),
        (VALID_CONFIG.replace("127.0.0.1:8081", "nowhere"), "admin_address"),
        (VALID_CONFIG.replace("\"a1\"", "\"no spaces\""), "instance"),
    ];
    for (text, name) in cases {
        let report = format!("{:?}", DaemonConfig::parse(&text).unwrap_err());
        assert!(report.contains(name), "{name}: {report}");
    }
}
