//! Writes the results of a run: a summary for the terminal, an HTML page without external
//! resources, figures as JSON, and an archive of the history.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;

use flate2::{Compression, GzBuilder};
use plotters::prelude::*;
use serde::Serialize;

use crate::bound;
use crate::history::{Event, EventKind, lines};
use crate::judge::{Breach, Figures};
use crate::run::Outcome;
use crate::scenario::Scenario;

/// Version of the archive layout.
const ARCHIVE_VERSION: u32 = 1;
/// Maximum number of events shown before a breach.
const EVENTS_BEFORE: usize = 12;

/// Describes the archive, with the BLAKE3 hash in hex of each part.
#[derive(Serialize)]
struct Manifest<'a> {
    version: u32,
    program: &'a str,
    seed: u64,
    outcome: &'a str,
    parts: Vec<(&'a str, String)>,
}

/// Returns a summary of a run for a terminal. Its last line is `outcome <hash>`.
pub fn summary(night: &Scenario, outcome: &Outcome) -> String {
    let f = &outcome.figures;
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(out, "{}", night.title);
    let _ = writeln!(
        out,
        "  seed {}, {:.0} s simulated, {} packets, {} controllers, {} machines rented",
        outcome.seed, outcome.length_s, outcome.packets, night.controllers.count, f.machines
    );
    let _ = writeln!(
        out,
        "  jobs: {} submitted, {} accepted, {} done, {} cancelled; {} tasks started, {} lost with their machines, {} killed by their lease",
        f.jobs, f.accepted, f.done, f.cancelled, f.starts, f.lost, f.lapsed
    );
    match f.finished_s {
        Some(at) => {
            let _ = writeln!(out, "  the last job was done at {at:.0} s");
        }
        None => {
            let _ = writeln!(out, "  no job was done");
        }
    }
    let _ = writeln!(
        out,
        "  money: {:.2} spent, {:.0}% of it on useful work, {:.2} times the lowest price",
        f.spent,
        f.useful * 100.0,
        f.price
    );
    if f.processor_s > 0.0 {
        let _ = writeln!(
            out,
            "  processor: {:.1} s of a core for all controllers",
            f.processor_s
        );
    }
    if let (true, Some(most_s)) = (f.overrun, night.controllers.processor_most_s) {
        let _ = writeln!(
            out,
            "  FAILED: exceeded the limit of {most_s} s of processor time"
        );
    }
    for objective in &f.objectives {
        let met = if objective.met { "met   " } else { "missed" };
        let _ = writeln!(
            out,
            "  {met} {}: {:.3} (objective {}, of {})",
            objective.objective, objective.value, objective.target, objective.count
        );
    }
    for s in &f.served {
        let failed = match () {
            () if s.is_underserved() => "FAILED served",
            () if s.has_late_start() => "FAILED late start",
            () => "served",
        };
        let _ = writeln!(
            out,
            "  {failed} {} {}: {:.2} by the deadline, {:.2} by 1.5 times the deadline, {:.2} done (of {}); \
             longest start {:.0} s, {} started late; all tasks started {:.0} s after the first at most",
            s.group.words(),
            s.name,
            s.in_time,
            s.in_extended_time,
            s.done,
            s.jobs,
            s.longest_start_s,
            s.started_late,
            s.longest_all_started_s
        );
        if s.is_underserved()
            && let Some(bound) = bound::bound(night, &outcome.events, s)
        {
            let _ = writeln!(
                out,
                "    upper bound: {:.2} with the other jobs served as they were, {:.2} without other jobs",
                bound.with_others, bound.without_others
            );
        }
    }
    let _ = writeln!(
        out,
        "  status requests: {} of {} unanswered; longest time without an answer by job: {:.1} s, 99th percentile {:.1} s",
        f.answers.unanswered, f.answers.polls, f.answers.longest_gap_s, f.answers.p99_gap_s
    );
    if f.runs.runs > 0 {
        let late: f64 = f.runs.late_s.iter().map(|s| s.max(0.0)).sum();
        let _ = writeln!(
            out,
            "  calendar runs: {} of {} ended by their due time, {late:.0} s late in total, {} never ended",
            f.runs.in_time,
            f.runs.runs,
            f.runs.runs - f.runs.late_s.len()
        );
    }
    if f.breaches.is_empty() {
        let _ = writeln!(out, "  rules: none broken");
    }
    for breach in f.breaches.iter().take(5) {
        let _ = write!(out, "{}", describe_breach(breach, &outcome.events));
    }
    if f.breaches.len() > 5 {
        let _ = writeln!(out, "  and {} more", f.breaches.len() - 5);
    }
    if night.store.is_some() {
        out += &crate::image_store::summary(&outcome.events);
    }
    let _ = writeln!(out, "outcome {}", outcome.hash);
    out
}

/// Describes a breach with the preceding events about the same job, and the faults that began or
/// ended within 60 s before the breach.
fn describe_breach(breach: &Breach, events: &[Event]) -> String {
    let name = serde_json::to_value(breach.rule).unwrap_or_default();
    let name = name.as_str().unwrap_or("rule").to_owned();
    let mut out = format!("  BROKEN {name} at {:.3} s: {}\n", breach.t, breach.detail);
    let job = breach.detail.split(['/', ':', ' ']).next().unwrap_or("");
    let preceding = &events[..=breach.event.min(events.len().saturating_sub(1))];
    let is_related = |e: &&Event| match &e.what {
        EventKind::Fault { .. } => breach.t - e.t < 60.0,
        EventKind::UsageSample { .. } | EventKind::Polled { .. } => false,
        _ => serde_json::to_string(e).is_ok_and(|text| text.contains(job)),
    };
    let mut shown: Vec<&Event> = preceding
        .iter()
        .rev()
        .filter(is_related)
        .take(EVENTS_BEFORE)
        .collect();
    shown.reverse();
    for event in shown {
        let text = serde_json::to_string(event).unwrap_or_default();
        let _ = writeln!(out, "    {text}");
    }
    out
}

/// Writes `report.html`, `figures.json` and `history.tar.gz` into the directory `dir`.
///
/// # Errors
/// If the directory or a file cannot be written.
pub fn write(dir: &Path, night: &Scenario, night_text: &str, outcome: &Outcome) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let figures = serde_json::to_vec_pretty(&outcome.figures)?;
    fs::write(dir.join("figures.json"), &figures)?;
    fs::write(dir.join("report.html"), html_page(night, outcome))?;
    let (history, hash) = lines(&outcome.events);
    let parts: [(&str, &[u8]); 3] = [
        ("night.toml", night_text.as_bytes()),
        ("history.jsonl", &history),
        ("figures.json", &figures),
    ];
    let manifest = Manifest {
        version: ARCHIVE_VERSION,
        program: env!("CARGO_PKG_VERSION"),
        seed: outcome.seed,
        outcome: &hash,
        parts: parts
            .iter()
            .map(|(name, bytes)| (*name, blake3::hash(bytes).to_hex().to_string()))
            .collect(),
    };
    let manifest = serde_json::to_vec_pretty(&manifest)?;
    // Without timestamps, so that the same run gives the same bytes.
    let file = File::create(dir.join("history.tar.gz"))?;
    let zipped = GzBuilder::new()
        .mtime(0)
        .write(file, Compression::default());
    let mut archive = tar::Builder::new(zipped);
    let all = [("manifest.json", manifest.as_slice())]
        .into_iter()
        .chain(parts);
    for (name, bytes) in all {
        let mut header = tar::Header::new_gnu();
        header.set_size(bytes.len() as u64);
        header.set_mode(0o644);
        header.set_mtime(0);
        archive.append_data(&mut header, name, bytes)?;
    }
    archive.into_inner()?.finish()?.flush()
}

/// Points of time in seconds and value.
type Curve = Vec<(f64, f64)>;

/// Draws one plot as SVG, with the faults marked on the time axis.
fn plot(title: &str, curves: &[(&str, RGBColor, Curve)], marks: &[(f64, f64)]) -> String {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|(_, _, c)| c.iter());
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    {
        let root = SVGBackend::with_string(&mut svg, (960, 240)).into_drawing_area();
        // Drawing into a String cannot fail unless there is a bug; the plot is left out then.
        let drawn = (|| -> Result<(), Box<dyn std::error::Error + '_>> {
            let mut chart = ChartBuilder::on(&root)
                .caption(title, ("sans-serif", 18))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..end, 0.0..top)?;
            chart
                .configure_mesh()
                .light_line_style(RGBColor(235, 235, 235))
                .x_label_formatter(&|x| format!("{x:.0} s"))
                .y_label_formatter(&|y| format!("{y:.0}"))
                .draw()?;
            for (from, to) in marks {
                let band = Rectangle::new(
                    [(*from, 0.0), (to.max(from + end / 400.0), top)],
                    RED.mix(0.12).filled(),
                );
                chart.draw_series(std::iter::once(band))?;
            }
            for (name, color, curve) in curves {
                let style = ShapeStyle::from(color).stroke_width(2);
                chart
                    .draw_series(LineSeries::new(curve.iter().copied(), style))?
                    .label(*name)
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
            }
            if curves.len() > 1 {
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .draw()?;
            }
            root.present()?;
            Ok(())
        })();
        if drawn.is_err() {
            return String::new();
        }
    }
    svg
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns the report as one HTML page without external resources.
fn html_page(night: &Scenario, outcome: &Outcome) -> String {
    let (mut cpus, mut waiting, mut ordinary, mut spot, mut done) = (
        Curve::new(),
        Curve::new(),
        Curve::new(),
        Curve::new(),
        Curve::new(),
    );
    let mut faults: Vec<(f64, f64, String)> = Vec::new();
    let mut count = 0.0;
    for event in &outcome.events {
        match &event.what {
            EventKind::UsageSample {
                cpus: c,
                waiting: w,
                ordinary: o,
                spot: s,
                ..
            } => {
                cpus.push((event.t, *c));
                waiting.push((event.t, f64::from(*w)));
                ordinary.push((event.t, f64::from(*o)));
                spot.push((event.t, f64::from(*s)));
                done.push((event.t, count));
            }
            EventKind::Ended {
                how: crate::history::EndReason::Done,
                ..
            } => count += 1.0,
            EventKind::Fault {
                fault: trouble,
                begins: true,
            } => {
                faults.push((event.t, event.t, trouble.clone()));
            }
            EventKind::Fault {
                fault: trouble,
                begins: false,
            } => {
                let open = faults
                    .iter_mut()
                    .rev()
                    .find(|(a, b, t)| a == b && t == trouble);
                if let Some(open) = open {
                    open.1 = event.t.max(open.0);
                }
            }
            _ => {}
        }
    }
    let marks: Vec<(f64, f64)> = faults.iter().map(|(a, b, _)| (*a, *b)).collect();
    let blue = RGBColor(40, 90, 170);
    let green = RGBColor(40, 140, 80);
    let orange = RGBColor(210, 120, 30);
    let plots = [
        plot("CPUs in use", &[("CPUs", blue, cpus)], &marks),
        plot("Waiting tasks", &[("tasks", orange, waiting)], &marks),
        plot(
            "Machines up",
            &[("ordinary", blue, ordinary), ("spot", green, spot)],
            &marks,
        ),
        plot("Tasks done", &[("tasks", green, done)], &marks),
    ];
    let f: &Figures = &outcome.figures;
    let mut rows = String::new();
    for objective in &f.objectives {
        let class = if objective.met { "met" } else { "missed" };
        let _ = write!(
            rows,
            "<tr class=\"{class}\"><td>{}</td><td>{:.3}</td><td>{}</td><td>{}</td><td>{class}</td></tr>",
            escape(&objective.objective),
            objective.value,
            objective.target,
            objective.count
        );
    }
    let mut list = String::new();
    for (from, to, what) in &faults {
        let _ = write!(list, "<li>{from:.0} to {to:.0} s: {}</li>", escape(what));
    }
    let mut rules = String::from("<p class=\"met\">No rule was broken.</p>");
    if !f.breaches.is_empty() {
        rules = String::from("<p class=\"missed\">Rules were broken:</p><pre>");
        for breach in f.breaches.iter().take(20) {
            rules.push_str(&escape(&describe_breach(breach, &outcome.events)));
        }
        rules.push_str("</pre>");
    }
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
<style>body{{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
table{{border-collapse:collapse}}td,th{{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}}\
.met td:last-child,p.met{{color:#287a46}}.missed td:last-child,p.missed{{color:#b3261e;font-weight:bold}}\
svg{{width:100%;height:auto;margin:.4em 0}}pre{{overflow:auto;background:#f6f6f6;padding:1em}}</style></head><body>\
<h1>{title}</h1><p>Simulated machines. Seed {seed}; {length:.0} s; {jobs} jobs, {done} done, {cancelled} cancelled; \
{starts} tasks started, {lost} lost with their machines, {lapsed} killed by their lease; {machines} machines rented for {spent:.2}, \
{useful:.0}% of it for useful work.</p>{rules}\
<table><tr><th>aim</th><th>reached</th><th>wanted</th><th>of</th><th></th></tr>{rows}</table>\
{p0}{p1}{p2}{p3}<h2>Scripted faults</h2><ul>{list}</ul><p>outcome <code>{hash}</code></p></body></html>\n",
        title = escape(&night.title),
        seed = outcome.seed,
        length = outcome.length_s,
        jobs = f.jobs,
        done = f.done,
        cancelled = f.cancelled,
        starts = f.starts,
        lost = f.lost,
        lapsed = f.lapsed,
        machines = f.machines,
        spent = f.spent,
        useful = f.useful * 100.0,
        p0 = plots[0],
        p1 = plots[1],
        p2 = plots[2],
        p3 = plots[3],
        hash = outcome.hash,
    )
}
