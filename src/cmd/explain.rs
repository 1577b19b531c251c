//! `explain`: traces a request through the logs of one or more daemons and reports why it ended.

use super::CommandError;
use crate::answer::ANSWER_TABLE;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};

const HELP: &str = "\
Reads the logs of one or more daemons and prints the history of a request: each daemon's decisions in the order in which
they were made, then the cause of the outcome. Lines that are not JSON are skipped. As clocks differ between daemons, times
are relative to each daemon's first line about the request, and lines of different daemons are not ordered with each other.
If the request resumes a stream, the attempt of its caller that began the stream is traced as well.";

/// Log messages that record the outcome of a request.
const OUTCOME_MESSAGES: [&str; 6] =
    ["answered", "refused", "stream cut", "caller left", "over the limit", "request panicked"];

/// Explain the outcome of a request from daemon logs.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Request id.
    id: String,
    /// Log files; `-` reads standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The history of a request on one daemon.
#[derive(Debug, Serialize)]
pub struct DaemonTrace {
    /// Id of the request.
    pub request: String,
    /// The daemon's name.
    pub daemon: String,
    /// The daemon's log lines about the request, in log order.
    pub steps: Vec<TraceStep>,
    /// The cause of the outcome.
    pub cause: String,
}

/// One log line about a request.
#[derive(Debug, Serialize)]
pub struct TraceStep {
    /// Milliseconds since the daemon's first line about the request.
    pub after_ms: u64,
    /// The log message, which names the decision.
    pub message: String,
    /// The remaining fields of the line, which give the inputs of the decision.
    pub fields: Map<String, Value>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let texts: Result<Vec<String>, CommandError> =
        args.files.iter().map(|path| read_log(path)).collect();
    let texts = texts?;
    let lines = || texts.iter().flat_map(|text| text.lines());
    let mut traces = explain(&args.id, lines());
    if traces.is_empty() {
        let detail = format!("no line of these logs names request {}", args.id);
        return Err(CommandError::Failed { detail });
    }
    if let Some(first) = first_attempt(&traces) {
        traces.extend(explain(&first, lines()));
    }
    if args.json {
        super::print_json(&traces);
    } else {
        traces.iter().for_each(print_trace);
    }
    Ok(())
}

/// The attempt that began the stream that these traces go on with.
pub fn first_attempt(traces: &[DaemonTrace]) -> Option<String> {
    let steps = traces.iter().flat_map(|trace| &trace.steps);
    let mut resumes = steps.filter_map(|step| step.fields.get("resumes")?.as_str());
    resumes.next().map(str::to_owned)
}

fn read_log(path: &Path) -> Result<String, CommandError> {
    let failed = |source| CommandError::File { path: path.to_owned(), source };
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(failed)?;
        return Ok(text);
    }
    // The log of a killed process may end in the middle of a UTF-8 sequence.
    std::fs::read(path).map_err(failed).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the history of a request on each daemon that logged a line about it.
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<DaemonTrace> {
    let mut daemons: BTreeMap<String, Vec<Map<String, Value>>> = BTreeMap::new();
    for line in lines {
        // Some log collectors put a prefix before the JSON object.
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        if fields.get("request").and_then(Value::as_str) == Some(id) {
            daemons.entry(text_field(&fields, "daemon").to_owned()).or_default().push(fields);
        }
    }
    daemons.into_iter().map(|(daemon, rows)| daemon_trace(id, daemon, rows)).collect()
}

fn daemon_trace(id: &str, daemon: String, rows: Vec<Map<String, Value>>) -> DaemonTrace {
    // The finding about a lost upstream may be logged after the outcome of its requests, so the
    // last line isn't always the outcome.
    let outcome_row =
        rows.iter().rev().find(|row| OUTCOME_MESSAGES.contains(&text_field(row, "message")));
    let cause = outcome_row.or(rows.last()).map(outcome_cause).unwrap_or_default();
    let time = |row: &Map<String, Value>| row.get("time").and_then(Value::as_u64).unwrap_or(0);
    let first = rows.first().map_or(0, time);
    let step = |mut row: Map<String, Value>| {
        let after_ms = time(&row).saturating_sub(first);
        let message = text_field(&row, "message").to_owned();
        ["time", "message", "daemon", "level", "request"].iter().for_each(|name| {
            row.remove(*name);
        });
        TraceStep { after_ms, message, fields: row }
    };
    let request = id.to_owned();
    DaemonTrace { request, daemon, steps: rows.into_iter().map(step).collect(), cause }
}

fn text_field<'a>(row: &'a Map<String, Value>, name: &str) -> &'a str {
    row.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Derives the cause of the outcome from the line that records it.
fn outcome_cause(row: &Map<String, Value>) -> String {
    let upstream = text_field(row, "upstream");
    let number = |name: &str| row.get(name).and_then(Value::as_u64).unwrap_or(0);
    match text_field(row, "message") {
        "answered" if number("status") >= 500 => {
            format!("upstream {upstream} answered {} itself", number("status"))
        }
        "answered" => format!("answered by upstream {upstream} with status {}", number("status")),
        "refused" => {
            let kind = text_field(row, "kind");
            let known = ANSWER_TABLE.iter().find(|row| row.name == kind);
            let title = known.map_or("a kind that this version does not know", |row| row.title);
            let ran = known.map_or_else(String::new, |row| format!("; ran: {:?}", row.ran));
            format!("refused as {kind}: {title}{}", ran.to_lowercase())
        }
        "stream cut" => cut_cause(row),
        "caller left" => match text_field(row, "stage") {
            "Waiting" => "the caller left while the request waited for a place".to_owned(),
            "Sent" => "the caller left before an answer began; whether the upstream ran it is not known here"
                .to_owned(),
            _ => "the caller left while its answer came".to_owned(),
        },
        "request panicked" => "this daemon panicked while it had the request".to_owned(),
        "over the limit" => "beyond its organisation's limit".to_owned(),
        other => format!("no end is logged; the last line is \"{other}\": the process ended, or its log did"),
    }
}

/// Describes the end of a stream that is not whole. Daemons of earlier versions log a `detail` only.
fn cut_cause(row: &Map<String, Value>) -> String {
    let (upstream, cause) = (text_field(row, "upstream"), text_field(row, "cause"));
    let number = |name: &str| row.get(name).and_then(Value::as_u64);
    let events = number("events").unwrap_or(0);
    let silence = number("silent_ms").map(|time| format!(" after {time} ms of silence"));
    let silence = silence.unwrap_or_default();
    let tables = match (number("admitted_table"), number("table"), number("table_age_ms")) {
        (Some(admitted), Some(table), Some(age)) if admitted != table => {
            format!("; admitted under table {admitted}, table {table} in force for {age} ms")
        }
        _ => String::new(),
    };
    match text_field(row, "ended_by") {
        "" => format!(
            "upstream {upstream} stopped after {events} events and {}",
            text_field(row, "detail")
        ),
        "upstream" => format!(
            "upstream {upstream} broke off after {events} events, and the stream was not resumed: {cause}{tables}"
        ),
        "deadline" => format!("the deadline passed after {events} events of upstream {upstream}"),
        _ => format!(
            "this daemon left upstream {upstream}{silence} and {events} events, and the stream was not resumed: {cause}{tables}"
        ),
    }
}

fn print_trace(trace: &DaemonTrace) {
    super::print_line(&format!("request {} at daemon {}", trace.request, trace.daemon));
    for step in &trace.steps {
        let fields = step.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        super::print_line(&format!(
            "  +{:>6} ms  {:<16} {}",
            step.after_ms,
            step.message,
            fields.join(" ")
        ));
    }
    super::print_line(&format!("  cause: {}", trace.cause));
}
