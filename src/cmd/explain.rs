//! `explain`: a request's way through the daemons, from their logs, with the cause of its end last.

use super::CommandError;
use crate::answer::ANSWER_TABLE;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};

const HELP: &str = "\
Reads the logs of one or more daemons and prints what became of a request: each decision in the order in which its
daemon made it, then the cause of its end. Lines that are not JSON are passed over. Clocks of different daemons
differ, so times count from each daemon's first line about the request, and daemons are not set against each other.";

/// Messages of lines that tell a request's end.
const ENDS: [&str; 5] = ["answered", "refused", "stream cut", "caller left", "over the limit"];

/// Explain what became of a request, from logs.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// The request's id.
    id: String,
    /// Log files; `-` reads standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A request's way through one daemon.
#[derive(Debug, Serialize)]
pub struct DaemonWay {
    /// The daemon.
    pub daemon: String,
    /// Its lines about the request, in their order.
    pub steps: Vec<WayStep>,
    /// Why it ended as it did.
    pub cause: String,
}

/// One line about a request.
#[derive(Debug, Serialize)]
pub struct WayStep {
    /// Milliseconds since the daemon's first line about it.
    pub after_ms: u64,
    /// What was decided.
    pub message: String,
    /// What decided it.
    pub fields: Map<String, Value>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let texts: Result<Vec<String>, CommandError> =
        args.files.iter().map(|path| read_log(path)).collect();
    let ways = explain(&args.id, texts?.iter().flat_map(|text| text.lines()));
    if ways.is_empty() {
        let detail = format!("no line of these logs names request {}", args.id);
        return Err(CommandError::Failed { detail });
    }
    if args.json {
        super::print_json(&ways);
    } else {
        ways.iter().for_each(print_way);
    }
    Ok(())
}

fn read_log(path: &Path) -> Result<String, CommandError> {
    let failed = |source| CommandError::File { path: path.to_owned(), source };
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(failed)?;
        return Ok(text);
    }
    // Logs of a process that was killed may end within a character.
    std::fs::read(path).map_err(failed).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// The request's way through each daemon whose lines are given.
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<DaemonWay> {
    let mut daemons: BTreeMap<String, Vec<Map<String, Value>>> = BTreeMap::new();
    for line in lines {
        // What stands before the line's object, as some collectors put it, is passed over.
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        if fields.get("request").and_then(Value::as_str) == Some(id) {
            daemons.entry(text(&fields, "daemon").to_owned()).or_default().push(fields);
        }
    }
    daemons.into_iter().map(|(daemon, rows)| way(daemon, rows)).collect()
}

fn way(daemon: String, rows: Vec<Map<String, Value>>) -> DaemonWay {
    // What is found out of a lost upstream comes after the end of some of its requests.
    let end = rows.iter().rev().find(|row| ENDS.contains(&text(row, "message")));
    let cause = end.or(rows.last()).map(cause_of).unwrap_or_default();
    let time = |row: &Map<String, Value>| row.get("time").and_then(Value::as_u64).unwrap_or(0);
    let first = rows.first().map_or(0, time);
    let step = |mut row: Map<String, Value>| {
        let after_ms = time(&row).saturating_sub(first);
        let message = text(&row, "message").to_owned();
        ["time", "message", "daemon", "level", "request"].iter().for_each(|name| {
            row.remove(*name);
        });
        WayStep { after_ms, message, fields: row }
    };
    DaemonWay { daemon, steps: rows.into_iter().map(step).collect(), cause }
}

fn text<'a>(row: &'a Map<String, Value>, name: &str) -> &'a str {
    row.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// The cause that a request's last line tells.
fn cause_of(row: &Map<String, Value>) -> String {
    let upstream = text(row, "upstream");
    let number = |name: &str| row.get(name).and_then(Value::as_u64).unwrap_or(0);
    match text(row, "message") {
        "answered" if number("status") >= 500 => {
            format!("upstream {upstream} answered {} itself", number("status"))
        }
        "answered" => format!("answered by upstream {upstream} with status {}", number("status")),
        "refused" => {
            let kind = text(row, "kind");
            let known = ANSWER_TABLE.iter().find(|row| row.name == kind);
            let title = known.map_or("a kind that this version does not know", |row| row.title);
            let ran = known.map_or_else(String::new, |row| format!("; ran: {:?}", row.ran));
            format!("refused as {kind}: {title}{}", ran.to_lowercase())
        }
        "stream cut" => format!(
            "upstream {upstream} stopped after {} events and {}",
            number("events"),
            text(row, "detail")
        ),
        "caller left" => match text(row, "stage") {
            "Waiting" => "the caller left while the request waited for a place".to_owned(),
            "Sent" => "the caller left before an answer began; whether the upstream ran it is not known here"
                .to_owned(),
            _ => "the caller left while its answer came".to_owned(),
        },
        "over the limit" => "beyond its organisation's limit".to_owned(),
        other => format!("no end is logged; the last line is \"{other}\": the process ended, or its log did"),
    }
}

fn print_way(way: &DaemonWay) {
    super::print_out(&format!("daemon {}", way.daemon));
    for step in &way.steps {
        let fields = step.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        super::print_out(&format!(
            "  +{:>6} ms  {:<16} {}",
            step.after_ms,
            step.message,
            fields.join(" ")
        ));
    }
    super::print_out(&format!("  cause: {}", way.cause));
}
