//! Parsing of the daemon's settings file: errors and warnings name the setting they are about.

use ringbendd::{BaseUrl, DaemonConfig};

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

/// Guards against a URL whose end swallows the path of a call, so that every call goes to another
/// resource.
#[test]
fn a_platform_url_with_other_parts_than_a_path_is_named_in_the_error() {
    let urls = [
        "http://127.0.0.1:1?a=b",
        "http://127.0.0.1:1/table#a",
        "http://127.0.0.1:1/a b",
        "https://127.0.0.1:1",
        "127.0.0.1:1",
        "/table",
        "",
    ];
    for url in urls {
        for (name, port) in [("table_url", 1), ("objects_url", 2), ("instances_url", 3)] {
            let known = format!("{name} = \"http://127.0.0.1:{port}\"");
            let text = VALID_CONFIG.replace(&known, &format!("{name} = \"{url}\""));
            assert_ne!(text, VALID_CONFIG);
            match DaemonConfig::parse(&text) {
                Ok(_) => panic!("{name} = {url:?} is accepted"),
                Err(report) => assert!(format!("{report:?}").contains(name), "{report:?}"),
            }
        }
    }
}

/// Guards against a path with two slashes, which is another resource.
#[test]
fn a_slash_at_the_end_of_a_platform_url_is_dropped() {
    for (written, expected) in [
        ("http://127.0.0.1:1/", "http://127.0.0.1:1"),
        ("http://gateway:1/table/", "http://gateway:1/table"),
        ("http://[::1]:1", "http://[::1]:1"),
    ] {
        let text = VALID_CONFIG.replace("http://127.0.0.1:1", written);
        let (cfg, _) = DaemonConfig::parse(&text).unwrap();
        assert_eq!(cfg.platform.table_url.to_string(), expected);
    }
}

/// Guards against a name whose text reaches another resource than the one with that name.
#[test]
fn the_segments_of_a_path_are_encoded() {
    let base: BaseUrl = "http://127.0.0.1:1/a".parse().unwrap();
    assert_eq!(base.join(&["objects", "answer-1f-2"]), "http://127.0.0.1:1/a/objects/answer-1f-2");
    let url = base.join(&["objects", "a/b?c#d%20 \u{e4}"]);
    assert_eq!(url, "http://127.0.0.1:1/a/objects/a%2Fb%3Fc%23d%2520%20%C3%A4");
}
