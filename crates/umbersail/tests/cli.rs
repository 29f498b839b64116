//! The command line: accepted options, exit codes and error messages.

use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = r#"
member = "n0"
area = "a"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
unknown_field = true
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

/// Writes a temporary file and returns its path.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the program and waits for its end.
fn umbersail(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_umbersail"))
        .args(args)
        .output()
        .unwrap()
}

/// Runs the program, which must exit with code 2 and print one line to standard error; returns
/// the line.
fn error_line(args: &[&str]) -> String {
    let output = umbersail(args);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    text
}

#[test]
fn valid_files_are_accepted_and_errors_name_file_and_key() {
    let config = file("valid.toml", SETTINGS);
    let config = config.to_str().unwrap();
    let properties = file("valid.properties", "rental.idle_s = 30\n");
    let properties = properties.to_str().unwrap();
    let ok = umbersail(&["check", "--config", config, "--settings", properties]);
    assert!(ok.status.success());
    assert_eq!(String::from_utf8_lossy(&ok.stdout), "ok\n");

    let negative = file(
        "negative.toml",
        &SETTINGS.replace("rps = 5.0", "rps = -5.0"),
    );
    let line = error_line(&["check", "--config", negative.to_str().unwrap()]);
    assert!(
        line.contains("negative.toml") && line.contains("facts.cloud.rps"),
        "{line}"
    );

    let unknown = file("unknown.properties", "rental.idle = 30\n");
    let line = error_line(&["--config", config, "--settings", unknown.to_str().unwrap()]);
    assert!(
        line.contains("unknown.properties") && line.contains("rental.idle"),
        "{line}"
    );

    let range = file("range.properties", "clock.drift = 7\n");
    let line = error_line(&["--config", config, "--settings", range.to_str().unwrap()]);
    assert!(
        line.contains("range.properties") && line.contains("clock.drift"),
        "{line}"
    );

    let calendar = "calendar.dawn.team = t\ncalendar.dawn.zone = Etc/Nowhere\n";
    let calendar = file("calendar.properties", calendar);
    let line = error_line(&["--config", config, "--settings", calendar.to_str().unwrap()]);
    assert!(
        line.contains("calendar.properties") && line.contains("'calendar.dawn.opens': is missing"),
        "{line}"
    );

    let over_quota = "reserve.sale.team = t\nreserve.sale.cpus = 33\n\
                  reserve.sale.from = 2027-02-05T18:00Z\nreserve.sale.to = 2027-02-06T18:00Z\n";
    let over_quota = file("over-quota.properties", over_quota);
    let team = "[[facts.teams]]\nname = \"t\"\ncpus_max = 32.0\n";
    let limited = file("limited.toml", &format!("{SETTINGS}\n{team}"));
    let limited = limited.to_str().unwrap();
    let line = error_line(&[
        "--config",
        limited,
        "--settings",
        over_quota.to_str().unwrap(),
    ]);
    assert!(
        line.contains("over-quota.properties") && line.contains("reserve.sale.cpus"),
        "{line}"
    );

    let line = error_line(&["check", "--config", "/nonexistent/file"]);
    assert!(line.contains("/nonexistent/file"), "{line}");
    assert!(error_line(&["check"]).contains("--config"));
}

/// Starts a state service that answers one request with `body` and then stops listening;
/// returns its address.
fn serve_one_response(body: Vec<u8>) -> std::net::SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let length = stream.read(&mut request).unwrap();
        let request = String::from_utf8_lossy(&request[..length]);
        assert!(request.starts_with("GET /keys?under=plans/"), "{request}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
    });
    addr
}

#[test]
fn configured_and_recorded_plans_are_printed() {
    let plan = umbersail_wire::Value::from(vec![(
        umbersail_wire::Value::from("open"),
        umbersail_wire::Value::from(3),
    )]);
    let record = umbersail_wire::Value::Map(vec![("v".into(), 1.into()), ("plan".into(), plan)]);
    let item = |key: &str, value| umbersail_wire::KeyValue {
        key: key.to_owned(),
        value,
        version: 5,
    };
    let state = serve_one_response(umbersail_wire::encode(&umbersail_wire::KeyList {
        items: vec![
            item("plans/calendar/dawn/7", record),
            item("plans/odd", "text".into()),
        ],
        more: false,
        revision: 9,
    }));
    let team = "[[facts.teams]]\nname = \"t\"\ncpus_max = 32.0\n";
    let text = SETTINGS.replace("127.0.0.1:4", &state.to_string());
    assert!(
        text.contains(&state.to_string()),
        "the settings name the address of the state service"
    );
    let config = file("plans.toml", &format!("{text}\n{team}"));
    let entries = "calendar.dawn.team = t\ncalendar.dawn.zone = Europe/London\n\
                   calendar.dawn.opens = 2127-01-04 01:00\ncalendar.dawn.due = 05:30\n\
                   calendar.dawn.step.1.classes = scan, sort\ncalendar.dawn.step.1.quiet = 10m\n\
                   calendar.dawn.step.2.classes = press\ncalendar.dawn.step.2.quiet = 10m\n\
                   reserve.sale.team = t\nreserve.sale.cpus = 30\n\
                   reserve.sale.from = 2127-02-05T18:00Z\nreserve.sale.to = 2127-02-06T18:00Z\n";
    let entries = file("plans.properties", entries);
    let (config, entries) = (config.to_str().unwrap(), entries.to_str().unwrap());
    let out = umbersail(&[
        "plans",
        "--recorded",
        "--config",
        config,
        "--settings",
        entries,
    ]);
    let text = String::from_utf8(out.stdout).unwrap();
    let errors = String::from_utf8(out.stderr).unwrap();
    assert!(out.status.success(), "{errors}");
    for line in [
        "calendar dawn: team t, scan+sort then press, 2127-01-04T01:00:00Z to 2127-01-04T05:30:00Z",
        "2127-02-05T18:00:00Z to 2127-02-06T18:00:00Z",
        "recorded calendar/dawn/7 (version 1): ",
        "recorded odd, no plan: \"text\"",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    // The state service no longer listens.
    let line = error_line(&[
        "plans",
        "--recorded",
        "--config",
        config,
        "--settings",
        entries,
    ]);
    assert!(line.contains(&state.to_string()), "{line}");
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

#[test]
fn a_scenario_has_the_same_outcome_and_report_in_two_processes() {
    // Guards against a run that the same seed does not reproduce, and against a report whose
    // bytes depend on the process or the machine.
    let dir = |n: u32| PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("rehearsal-{n}"));
    let run = |n: u32, seed: &str| {
        let dir = dir(n);
        let report_dir = dir.to_str().unwrap();
        umbersail(&[
            "rehearse",
            "zone-power-loss-cold-caches",
            "--seed",
            seed,
            "--report",
            report_dir,
        ])
    };
    let last_line = |out: &Output| {
        let text = String::from_utf8(out.stdout.clone()).unwrap();
        text.lines().last().unwrap().to_owned()
    };
    let (first, repeated, other_seed) = (run(1, "5"), run(2, "5"), run(3, "6"));
    assert_eq!(first.status.code(), Some(0));
    assert!(last_line(&first).starts_with("outcome "));
    assert_eq!(last_line(&first), last_line(&repeated));
    assert_ne!(last_line(&first), last_line(&other_seed));
    for name in ["history.tar.gz", "figures.json", "report.html"] {
        let bytes = |n| std::fs::read(dir(n).join(name)).unwrap();
        assert_eq!(bytes(1), bytes(2), "{name}");
        assert_ne!(bytes(1), bytes(3), "{name}");
    }
}

#[test]
fn invalid_scenarios_and_experiments_are_refused_in_one_line() {
    // Guards against a backtrace instead of an error that names the file and the key.
    let scenario = file("invalid-scenario.toml", "title = \"x\"\nlength_s = -1\n");
    let experiment = file(
        "invalid-experiment.toml",
        "title = \"x\"\nnights = [\"nightly-batch\"]\nseeds = 2\n[[variants]]\nname = \"a\"\n",
    );
    for (args, key) in [
        (
            ["rehearse", scenario.to_str().unwrap()],
            "invalid-scenario.toml: ",
        ),
        (["rehearse", "no-such-scenario"], "no-such-scenario: file: "),
        (
            ["experiment", experiment.to_str().unwrap()],
            "invalid-experiment.toml: variants: ",
        ),
    ] {
        let out = umbersail(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(key), "{text}");
    }
    let listed = umbersail(&["rehearse", "--list"]);
    let names = String::from_utf8(listed.stdout).unwrap();
    assert_eq!(names.lines().count(), 13, "{names}");
}

#[test]
fn a_scenario_with_an_invalid_failure_exits_with_2_and_names_file_key_and_reason() {
    // Guards against a run of a scenario whose failures or aims have impossible values.
    let printed = umbersail(&["rehearse", "zone-power-loss-cold-caches", "--print"]);
    let text = String::from_utf8(printed.stdout).unwrap();
    let without_from_s = "what = \"commands-late\"\nto_s = 3\n";
    for (from, to, wanted) in [
        (
            "what = \"power-cut\"",
            "what = \"flood\"",
            "failures.1.what: \"flood\"",
        ),
        ("at_s = 120", "at_s = -1", "failures.1.at_s: -1 is less"),
        ("for_s = 45", "for_s = -45", "failures.1.for_s: -45 is less"),
        (
            "for_s = 45",
            "for_s = 45\nshare = 1.5",
            "failures.1.share: 1.5 is greater",
        ),
        (
            "what = \"power-cut\"",
            without_from_s,
            "failures.1.from_s: is missing",
        ),
        (
            "what = \"power-cut\"",
            &format!("{without_from_s}from_s = -2"),
            "failures.1.from_s: -2 is less",
        ),
        (
            "what = \"power-cut\"",
            &format!("{without_from_s}from_s = 1\nshare = 2"),
            "failures.1.share: 2 is greater",
        ),
        (
            "share = 0.9",
            "share = 9",
            "aims.0.share: is not from 0 to 1",
        ),
    ] {
        assert!(text.contains(from), "{from}");
        let scenario = file("invalid-failure.toml", &text.replacen(from, to, 1));
        let out = umbersail(&["rehearse", scenario.to_str().unwrap()]);
        assert_eq!(out.status.code(), Some(2), "{to}");
        let error = String::from_utf8(out.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(
            error.contains(&format!("invalid-failure.toml: {wanted}")),
            "{error}"
        );
    }
}
