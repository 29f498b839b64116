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

    let calendar = "calendar.dawn.team = t\ncalendar.dawn.zone = Etc/Nowhere\n";
    let calendar = file("calendar.properties", calendar);
    let line = complaint(&["--config", config, "--settings", calendar.to_str().unwrap()]);
    assert!(
        line.contains("calendar.properties") && line.contains("'calendar.dawn.opens': is missing"),
        "{line}"
    );

    let beyond = "reserve.sale.team = t\nreserve.sale.cpus = 33\n\
                  reserve.sale.from = 2027-02-05T18:00Z\nreserve.sale.to = 2027-02-06T18:00Z\n";
    let beyond = file("beyond.properties", beyond);
    let team = "[[facts.teams]]\nname = \"t\"\ncpus_max = 32.0\n";
    let limited = file("limited.toml", &format!("{SETTINGS}\n{team}"));
    let limited = limited.to_str().unwrap();
    let line = complaint(&["--config", limited, "--settings", beyond.to_str().unwrap()]);
    assert!(
        line.contains("beyond.properties") && line.contains("reserve.sale.cpus"),
        "{line}"
    );

    let line = complaint(&["check", "--config", "/nonexistent/file"]);
    assert!(line.contains("/nonexistent/file"), "{line}");
    assert!(complaint(&["check"]).contains("--config"));
}

/// A state service that gives one answer to one request, and its address.
fn answers_once(body: Vec<u8>) -> std::net::SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let got = stream.read(&mut request).unwrap();
        let request = String::from_utf8_lossy(&request[..got]);
        assert!(request.starts_with("GET /keys?under=plans/"), "{request}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
    });
    addr
}

#[test]
fn plans_are_printed_from_files_and_as_recorded() {
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
    let state = answers_once(umbersail_wire::encode(&umbersail_wire::KeyList {
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
        "the state service's address"
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
    let told = String::from_utf8(out.stderr).unwrap();
    assert!(out.status.success(), "{told}");
    for line in [
        "calendar dawn: team t, scan+sort then press, 2127-01-04T01:00:00Z to 2127-01-04T05:30:00Z",
        "2127-02-05T18:00:00Z to 2127-02-06T18:00:00Z",
        "recorded calendar/dawn/7 (version 1): ",
        "recorded odd, no plan: \"text\"",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    // Nobody listens there any more.
    let line = complaint(&[
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
fn a_rehearsal_ends_with_the_same_outcome_in_two_processes() {
    // Guards against a night that can't be played again, and against a report
    // whose bytes depend on the machine.
    let dir = |n: u32| PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("rehearsal-{n}"));
    let play = |n: u32, seed: &str| {
        let dir = dir(n);
        let to = dir.to_str().unwrap();
        umbersail(&[
            "rehearse",
            "zone-power-loss-cold-caches",
            "--seed",
            seed,
            "--report",
            to,
        ])
    };
    let last = |out: &Output| {
        let text = String::from_utf8(out.stdout.clone()).unwrap();
        text.lines().last().unwrap().to_owned()
    };
    let (once, again, other) = (play(1, "5"), play(2, "5"), play(3, "6"));
    assert_eq!(once.status.code(), Some(0));
    assert!(last(&once).starts_with("outcome "));
    assert_eq!(last(&once), last(&again));
    assert_ne!(last(&once), last(&other));
    for part in ["history.tar.gz", "figures.json", "report.html"] {
        let bytes = |n| std::fs::read(dir(n).join(part)).unwrap();
        assert_eq!(bytes(1), bytes(2), "{part}");
        assert_ne!(bytes(1), bytes(3), "{part}");
    }
}

#[test]
fn nights_and_experiments_that_cannot_be_played_are_refused_in_one_line() {
    // Guards against a page of backtrace where a word would do.
    let night = file("bad-night.toml", "title = \"x\"\nlength_s = -1\n");
    let experiment = file(
        "bad-experiment.toml",
        "title = \"x\"\nnights = [\"nightly-batch\"]\nseeds = 2\n[[variants]]\nname = \"a\"\n",
    );
    for (args, key) in [
        (["rehearse", night.to_str().unwrap()], "bad-night.toml: "),
        (["rehearse", "no-such-night"], "no-such-night: file: "),
        (
            ["experiment", experiment.to_str().unwrap()],
            "bad-experiment.toml: variants: ",
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
fn a_night_with_bad_troubles_ends_with_exit_code_2_and_names_file_key_and_reason() {
    // Guards against a night that is played although it says what can't be.
    let printed = umbersail(&["rehearse", "zone-power-loss-cold-caches", "--print"]);
    let text = String::from_utf8(printed.stdout).unwrap();
    let late = "what = \"commands-late\"\nto_s = 3\n";
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
            late,
            "failures.1.from_s: is missing",
        ),
        (
            "what = \"power-cut\"",
            &format!("{late}from_s = -2"),
            "failures.1.from_s: -2 is less",
        ),
        (
            "what = \"power-cut\"",
            &format!("{late}from_s = 1\nshare = 2"),
            "failures.1.share: 2 is greater",
        ),
        (
            "share = 0.9",
            "share = 9",
            "aims.0.share: is not from 0 to 1",
        ),
    ] {
        assert!(text.contains(from), "{from}");
        let night = file("bad-trouble.toml", &text.replacen(from, to, 1));
        let out = umbersail(&["rehearse", night.to_str().unwrap()]);
        assert_eq!(out.status.code(), Some(2), "{to}");
        let told = String::from_utf8(out.stderr).unwrap();
        assert_eq!(told.lines().count(), 1, "{told}");
        assert!(
            told.contains(&format!("bad-trouble.toml: {wanted}")),
            "{told}"
        );
    }
}
