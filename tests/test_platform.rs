//! The platform adapter: the documents and headers it reads and writes. The platform's names stay
//! within the adapter's folder.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tarragonknot::platform::{DocumentReader, HeaderDialect};
use tarragonknot::policy::RateStatement;
use tarragonknot::quarantine::PromptPart;
use tarragonknot::table::{LimitUnit, RouteKind, TableReader, tier_name_of_rank};
use tarragonknot::traffic::{CallDialect, ReservationReply, SendMetadata};

fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "notes", "host": "shop.example", "path_prefix": "/notes/", "kind": "stream", "timeout_ms": 5000,
             "latency_slo_ms": 500, "priority": 1, "service": "llm", "max_attempts": 2, "public": false,
             "resumable": true, "gap_slo_ms": 300},
            {"name": "book", "host": "shop.example", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 1000,
             "latency_slo_ms": 150, "priority": 2, "backends": [{"service": "api", "weight": 90},
             {"service": "llm", "weight": 10}], "max_attempts": 1, "public": true}],
        "services": [
            {"name": "llm", "health_path": "/healthz", "engine": {"slots": 6, "stride": 3}},
            {"name": "api", "health_path": "/healthz", "max_conns": 96}],
        "tenants": [{"name": "agents", "api_keys": ["one", "two"], "priority": 0, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 1000, "burst": 500}]
    })
}

fn headers(rows: &[(&'static str, &'static str)]) -> HeaderMap {
    let row = |(name, value): &(&'static str, &'static str)| {
        (HeaderName::from_static(name), HeaderValue::from_static(value))
    };
    rows.iter().map(row).collect()
}

#[test]
fn a_document_becomes_a_table() {
    let (version, table) =
        DocumentReader::default().read(&document().to_string()).expect("the document is valid");

    assert_eq!(version, 7);
    let (notes, book) = (&table.routes[0], &table.routes[1]);
    assert_eq!((notes.kind, book.kind), (RouteKind::ResumableStream, RouteKind::Unsafe));
    assert_eq!((notes.attempts, notes.is_public, book.is_public), (2, false, true));
    assert_eq!(notes.patience_ms, Some(Duration::from_millis(2_400)));
    assert_eq!(book.patience_ms, None);
    assert_eq!(book.targets.len(), 2);
    assert_eq!(notes.tier, tier_name_of_rank(1));
    let llm = table.service("llm").expect("the table has the service");
    assert_eq!((llm.first_guess, llm.event_tokens), (6, 3));
    let agents = &table.organisations[0];
    assert_eq!((agents.key_digests.len(), agents.limit_unit), (2, LimitUnit::Tokens));
    assert_eq!((agents.tokens_per_second, agents.burst_tokens), (Some(1_000), Some(500)));
    assert_eq!(table.assignments[0].tier, tier_name_of_rank(0));
}

#[rstest]
#[case::cut_short("/routes", Value::Null, "a configuration")]
#[case::unknown_service("/routes/0/service", json!("nobody"), "/routes/0/targets: found nobody")]
#[case::same_place("/routes/1/path_prefix", json!("/notes/"), "/routes/1: found shop.example/notes/")]
#[case::no_weight("/routes/1/backends", json!([{"service": "api", "weight": 0}]), "/routes/1/targets: found 0")]
#[case::no_timeout("/routes/0/timeout_ms", json!(0), "/routes/0/timeout_ms: found 0")]
fn an_invalid_document_is_refused_with_its_place(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = document();
    *document.pointer_mut(pointer).expect("the pointer names a value") = value;

    let faults = DocumentReader::default()
        .read(&document.to_string())
        .expect_err("the document is invalid")
        .to_string();

    assert!(faults.contains(expected), "{faults}");
}

#[test]
fn a_key_that_two_organisations_share_is_a_fault() {
    let mut document = document();
    let tenants = document["tenants"].as_array_mut().expect("the member is an array");
    tenants.push(json!({"name": "staff", "api_keys": ["two"]}));

    let faults = DocumentReader::default()
        .read(&document.to_string())
        .expect_err("the document is invalid")
        .to_string();

    assert!(faults.starts_with("/organisations/1/key_digests/0"), "{faults}");
}

#[test]
fn a_document_that_ends_early_is_refused() {
    let text = document().to_string();

    let faults = DocumentReader::default()
        .read(&text[..text.len() / 2])
        .expect_err("the document is invalid")
        .to_string();

    assert!(faults.starts_with("/: found line 1"), "{faults}");
}

#[test]
fn a_callers_headers_are_read_once() {
    let headers = headers(&[
        ("tarragonknot-request-id", "9c41"),
        ("authorization", "Bearer key-1"),
        ("tarragonknot-deadline-ms", "10000"),
        ("tarragonknot-token-count", "1460,80"),
        ("tarragonknot-length-hint", "40"),
        ("last-event-id", "12"),
    ]);

    let metadata = HeaderDialect.read_caller(&headers);

    assert_eq!((metadata.id.as_deref(), metadata.key.as_deref()), (Some("9c41"), Some("key-1")));
    assert_eq!(metadata.deadline, Some(Duration::from_secs(10)));
    assert_eq!(
        (metadata.prompt_tokens, metadata.output_limit, metadata.output_guess),
        (Some(1_460), Some(80), Some(40))
    );
    assert_eq!(metadata.last_event_id, Some(12));
}

fn part(id: &str) -> PromptPart {
    PromptPart::of(id.as_bytes())
}

/// Guards against blame on the part that no other request has, or none on those that others share.
#[rstest]
#[case::three("5c1e:800,91BD:410,e440:250", vec![part("5c1e"), part("91bd")])]
#[case::with_spaces("5c1e:800, 91bd:410 ,e440:250", vec![part("5c1e"), part("91bd")])]
#[case::one("5c1e:800", vec![])]
#[case::none("", vec![])]
#[case::no_tokens("5c1e,91bd:410,e440:250", vec![])]
#[case::no_number("5c1e:many,91bd:410", vec![])]
#[case::no_hash("xyz:1,91bd:410", vec![])]
#[case::negative("5c1e:-1,91bd:410", vec![])]
fn the_common_parts_of_a_prompt_are_read(
    #[case] value: &'static str,
    #[case] expected: Vec<PromptPart>,
) {
    let headers = headers(&[("tarragonknot-prefix-hash", value)]);

    assert_eq!(HeaderDialect.read_caller(&headers).prompt_parts[..], expected);
}

#[test]
fn a_prompt_of_twenty_parts_on_two_lines_is_read_whole() {
    let line = |from: u32| (from..from + 10).map(|id| format!("{id:x}:1")).collect::<Vec<_>>();
    let mut headers = HeaderMap::new();
    for from in [0x100, 0x200] {
        let value = HeaderValue::from_str(&line(from).join(",")).expect("a valid value");
        headers.append("tarragonknot-prefix-hash", value);
    }

    let parts = HeaderDialect.read_caller(&headers).prompt_parts;

    assert_eq!((parts.len(), parts[0], parts[18]), (19, part("100"), part("208")));
}

/// Guards against parts that count as held although an earlier part of the prompt differs.
#[test]
fn the_common_parts_of_a_prompt_are_read_with_their_tokens() {
    let read = |value| {
        let headers = headers(&[("tarragonknot-prefix-hash", value)]);
        HeaderDialect.read_caller(&headers).prefix
    };
    let first = read("5c1e:800,91BD:410,e440:250");
    let same_parts = read("5C1E:800,91bd:410,77aa:9");
    let other_start = read("aaaa:800,91bd:410,e440:250");

    let tokens: Vec<u32> = first.iter().map(|mark| mark.tokens).collect();
    assert_eq!(tokens, [800, 1_210]);
    assert_eq!(first, same_parts);
    assert_ne!(first[1].hash, other_start[1].hash);
    assert!(read("5c1e:many,91bd:410").is_empty());
}

/// Guards against streams whose first attempt is not found, as the header may arrive with the prefix of
/// the others or without.
#[rstest]
#[case::plain("resumes")]
#[case::prefixed("tarragonknot-resumes")]
fn the_attempt_that_a_caller_goes_on_with_is_read(#[case] name: &'static str) {
    let headers = headers(&[(name, "7f40"), ("last-event-id", "12")]);

    let metadata = HeaderDialect.read_caller(&headers);

    assert_eq!(metadata.resumes.as_deref(), Some("7f40"));
}

/// Guards against an engine exposing another caller's memory or learning a key: a caller sets
/// headers that only the system may set, and they are passed on.
#[test]
fn what_only_the_system_may_set_never_comes_from_a_caller() {
    let mut headers = headers(&[
        ("authorization", "Bearer key-1"),
        ("tarragonknot-tenant", "somebody-else"),
        ("tarragonknot-hold", "h"),
        ("tarragonknot-pin-ms", "9"),
        ("tarragonknot-kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/9"),
        ("kv-fetch", "10.0.0.1:1"),
        ("tarragonknot-model", "m"),
        ("tarragonknot-request-id", "9c41"),
    ]);
    let metadata = SendMetadata {
        deadline: Some(Duration::from_micros(1_500_700)),
        incarnation: "i-1",
        organisation: None,
        last_event_id: Some(3),
        place_id: None,
    };

    HeaderDialect.write_upstream_headers(&mut headers, &metadata);

    let mut names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    let expected = [
        "last-event-id",
        "tarragonknot-deadline-ms",
        "tarragonknot-expect-instance",
        "tarragonknot-model",
        "tarragonknot-request-id",
    ];
    assert_eq!(names, expected);
    assert_eq!(headers["tarragonknot-deadline-ms"], "1500");
    assert_eq!(headers["tarragonknot-expect-instance"], "i-1");
}

#[test]
fn a_reserved_place_goes_with_the_request() {
    let mut headers = HeaderMap::new();
    let metadata = SendMetadata {
        deadline: None,
        incarnation: "i-1",
        organisation: None,
        last_event_id: None,
        place_id: Some("7"),
    };

    HeaderDialect.write_upstream_headers(&mut headers, &metadata);

    assert_eq!(headers["tarragonknot-hold"], "7");
}

#[rstest]
#[case::text(200, r#"{"hold":"h-1"}"#, ReservationReply::Reserved { id: "h-1".into(), incarnation: None })]
#[case::number(200, r#"{"hold":17}"#, ReservationReply::Reserved { id: "17".into(), incarnation: None })]
#[case::born(200, r#"{"hold":"h-2","born":1760000000123}"#, ReservationReply::Reserved { id: "h-2".into(), incarnation: Some(1_760_000_000_123) })]
#[case::born_of_another_type(200, r#"{"hold":"h-3","born":"soon"}"#, ReservationReply::Reserved { id: "h-3".into(), incarnation: None })]
#[case::unreadable(200, "nonsense", ReservationReply::Unknown)]
#[case::full(503, "", ReservationReply::Full)]
#[case::other_incarnation(421, "", ReservationReply::OtherIncarnation)]
#[case::not_known(404, "", ReservationReply::Unknown)]
fn an_engines_word_on_a_place_is_read(
    #[case] status: u16,
    #[case] body: &str,
    #[case] expected: ReservationReply,
) {
    let status = StatusCode::from_u16(status).expect("the status code is valid");

    let reply = HeaderDialect.read_reservation(status, body.as_bytes());

    assert_eq!(reply, expected);
}

#[rstest]
#[case::own_word(503, &[("tarragonknot-not-executed", "1")], true, false)]
#[case::other_incarnation(421, &[], true, true)]
#[case::refusal_without_the_word(503, &[], false, false)]
#[case::good(200, &[("tarragonknot-server-seal", "3e1b")], false, false)]
fn only_the_engines_own_word_says_not_run(
    #[case] status: u16,
    #[case] rows: &[(&'static str, &'static str)],
    #[case] is_not_run: bool,
    #[case] is_other: bool,
) {
    let status = StatusCode::from_u16(status).expect("the status code is valid");

    let metadata = HeaderDialect.read_answer(status, &headers(rows));

    assert_eq!((metadata.is_not_run, metadata.is_other_incarnation), (is_not_run, is_other));
}

#[test]
fn an_answers_load_and_idle_time_are_read() {
    let headers =
        headers(&[("tarragonknot-server-load", "3,1,8"), ("keep-alive", "timeout=5, max=100")]);

    let metadata = HeaderDialect.read_answer(StatusCode::OK, &headers);

    let load = metadata.load.expect("the load header is read");
    assert_eq!((load.running, load.queued), (3, 1));
    assert_eq!(metadata.idle_timeout, Some(Duration::from_secs(5)));
}

/// The platform's names appear only in the adapter's folder, so that no other code depends on them.
#[test]
fn no_name_of_the_platform_stands_outside_its_folder() {
    let names = [
        "server-seal",
        "expect-instance",
        "token-count",
        "prefix-hash",
        "not-executed",
        "length-hint",
        "server-load",
        "instance-id",
        "latency_slo",
        "gap_slo",
        "max_attempts",
        "api_keys",
        "rate_per_s",
        "path_prefix\"",
        "config/replace",
        "config/read",
        "rollouts/",
        "duration_s\"",
        "rolled_back",
        "kv-events",
        "/instances",
        "page_token",
        "plain_tokens",
        "tarragonknot-tenant",
    ];
    let mut found = Vec::new();
    visit_source_files(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("src").as_path(),
        &mut |path, text| {
            let hits = names.iter().filter(|name| text.contains(**name));
            found.extend(hits.map(|name| format!("{}: {name}", path.display())));
        },
    );

    assert_eq!(found, Vec::<String>::new());
}

fn visit_source_files(folder: &Path, visit: &mut impl FnMut(&Path, &str)) {
    for entry in std::fs::read_dir(folder).expect("the source folder can be read") {
        let path = entry.expect("the folder entry can be read").path();
        match path.is_dir() {
            true if path.ends_with("src/platform") => {}
            true => visit_source_files(&path, visit),
            false => visit(
                &path,
                &std::fs::read_to_string(&path).expect("the source file is UTF-8 text"),
            ),
        }
    }
}

#[rstest]
#[case::absent(&[], Some(RateStatement::Unlimited))]
#[case::decimal(&[("server-limit", "1.7")], Some(RateStatement::Limited(1.7)))]
#[case::with_the_usual_prefix(&[("tarragonknot-server-limit", "4")], Some(RateStatement::Limited(4.0)))]
#[case::spaces(&[("server-limit", " 2 ")], Some(RateStatement::Limited(2.0)))]
#[case::zero(&[("server-limit", "0")], Some(RateStatement::Limited(0.0)))]
#[case::huge(&[("server-limit", "1e300")], Some(RateStatement::Limited(1e300)))]
#[case::empty(&[("server-limit", "")], None)]
#[case::negative(&[("server-limit", "-1")], None)]
#[case::not_a_number(&[("server-limit", "NaN")], None)]
#[case::infinite(&[("server-limit", "inf")], None)]
#[case::words(&[("server-limit", "a few")], None)]
fn a_stated_rate_is_read(
    #[case] rows: &[(&'static str, &'static str)],
    #[case] expected: Option<RateStatement>,
) {
    let answer = HeaderDialect.read_answer(StatusCode::OK, &headers(rows));

    assert_eq!(answer.stated_rate, expected);
}

/// Guards against a bound on rejections that is missed under one of its names, or made up.
#[rstest]
#[case::short_name("server-brittle", "2", Some(2))]
#[case::full_name("tarragonknot-server-brittle", "8", Some(8))]
#[case::not_a_number("server-brittle", "yes", None)]
#[case::negative("server-brittle", "-1", None)]
#[case::another_header("server-limit", "2", None)]
fn a_bound_on_rejections_is_read(
    #[case] name: &'static str,
    #[case] value: &'static str,
    #[case] expected: Option<u32>,
) {
    let answer = HeaderDialect.read_answer(StatusCode::OK, &headers(&[(name, value)]));

    assert_eq!(answer.rejections_per_second, expected);
}
