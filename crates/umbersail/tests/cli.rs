//! The command line: what it accepts, and how it says no.

use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = r#"
member = "n0"
area = "a"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
field_of_the_future = true
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20
[facts.cloud]
rps = 5.0
list_lag_s = 4.0
[facts.resources]
max_sockets = 600
"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn umbersail(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_umbersail"))
        .args(args)
        .output()
        .unwrap()
}

/// The one line on standard error of a run that must end with code 2.
fn complaint(args: &[&str]) -> String {
    let output = umbersail(args);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    text
}

#[test]
fn good_files_are_found_good_and_bad_ones_named() {
    let config = file("good.toml", SETTINGS);
    let config = config.to_str().unwrap();
    let properties = file("good.properties", "rental.idle_s = 30\n");
    let properties = properties.to_str().unwrap();
    let ok = umbersail(&["check", "--config", config, "--settings", properties]);
    assert!(ok.status.success());
    assert_eq!(String::from_utf8_lossy(&ok.stdout), "ok\n");

    let bad = file("bad.toml", &SETTINGS.replace("rps = 5.0", "rps = -5.0"));
    let line = complaint(&["check", "--config", bad.to_str().unwrap()]);
    assert!(
        line.contains("bad.toml") && line.contains("facts.cloud.rps"),
        "{line}"
    );

    let unknown = file("unknown.properties", "rental.idle = 30\n");
    let line = complaint(&["--config", config, "--settings", unknown.to_str().unwrap()]);
    assert!(
        line.contains("unknown.properties") && line.contains("rental.idle"),
        "{line}"
    );

    let range = file("range.properties", "clock.drift = 7\n");
    let line = complaint(&["--config", config, "--settings", range.to_str().unwrap()]);
    assert!(
        line.contains("range.properties") && line.contains("clock.drift"),
        "{line}"
    );

    let line = complaint(&["check", "--config", "/nonexistent/file"]);
    assert!(line.contains("/nonexistent/file"), "{line}");
    assert!(complaint(&["check"]).contains("--config"));
}

#[test]
fn the_printed_properties_are_a_properties_file() {
    let printed = umbersail(&["properties"]);
    assert!(printed.status.success());
    let text = String::from_utf8(printed.stdout).unwrap();
    let path = file("printed.properties", &text);
    let config = file("printed.toml", SETTINGS);
    let ok = umbersail(&[
        "check",
        "--settings",
        path.to_str().unwrap(),
        "--config",
        config.to_str().unwrap(),
    ]);
    assert!(
        ok.status.success(),
        "{}",
        String::from_utf8_lossy(&ok.stderr)
    );
}
