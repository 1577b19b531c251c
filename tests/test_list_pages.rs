//! The platform's list, which several writers fill: an invalid entry affects no other entry.

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::routing::get;
use http::StatusCode;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tarragonknot::platform::{InstanceLister, NextPage, read_page};
use tarragonknot::upstream::{
    ListReading, PlatformList, UnreadEntry, UpstreamLister, VmRow, VmState,
};

fn entry(id: &str) -> Value {
    json!({"service": "pool", "address": "10.128.0.9:8080", "zone": "a", "version": "v1", "slots": 5, "state": "ready",
           "cold_left_ms": 0, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "id": id})
}

fn page(entries: &[Value]) -> Value {
    json!({"instances": entries, "next_token": null})
}

fn names(rows: &[VmRow]) -> Vec<&str> {
    rows.iter().map(|row| row.upstream.as_str()).collect()
}

/// Guards against sending work to a draining engine while the list has an invalid entry. Another
/// writer adds one such entry; if a page is decoded as a single value, every read fails and the
/// previous list stays in force.
#[rstest]
#[case::no_id("/id", Value::Null)]
#[case::id_of_another_type("/id", json!(7))]
#[case::id_that_no_header_carries("/id", json!("i\r\nTarragonknot-Tenant: x"))]
#[case::empty_id("/id", json!(""))]
#[case::no_service("/service", Value::Null)]
#[case::service_of_another_type("/service", json!(["pool"]))]
#[case::address_of_another_type("/address", json!(8080))]
#[case::address_without_a_port("/address", json!("10.128.0.9"))]
#[case::address_of_nobody("/address", json!("0.0.0.0:0"))]
#[case::state_that_is_not_named("/state", json!("parked"))]
#[case::no_state("/state", Value::Null)]
#[case::slots_as_text("/slots", json!("5"))]
#[case::slots_below_none("/slots", json!(-1))]
#[case::no_slots("/slots", json!(0))]
#[case::zone_of_another_type("/zone", json!({"name": "a"}))]
#[case::no_version("/version", Value::Null)]
#[case::birth_that_is_no_whole_number("/born", json!(1.5))]
#[case::birth_as_text("/born", json!("1760000000123"))]
fn a_bad_entry_costs_itself_alone(#[case] place: &str, #[case] value: Value) {
    let mut bad = entry("i-bad");
    bad[&place[1..]] = value;

    let read = read_page(page(&[entry("i-1"), bad, entry("i-2")]).to_string().as_bytes());

    assert_eq!(names(&read.rows), ["i-1", "i-2"]);
    assert_eq!((read.unread.len(), read.next), (1, NextPage::None));
}

#[rstest]
#[case::number(json!(5))]
#[case::text(json!("entry"))]
#[case::list(json!([]))]
#[case::nothing(Value::Null)]
fn an_entry_that_is_no_table_costs_itself_alone(#[case] bad: Value) {
    let read = read_page(page(&[entry("i-1"), bad, entry("i-2")]).to_string().as_bytes());

    assert_eq!((names(&read.rows), read.unread.len()), (vec!["i-1", "i-2"], 1));
}

#[rstest]
#[case::no_text_in_a_string("i-\u{1}bad", &[0xFF, 0xFE])]
#[case::line_end_in_a_string("i-\u{1}bad", b"\n")]
#[case::half_an_escape("i-\u{1}bad", br"\ud800")]
fn bytes_that_cannot_be_read_cost_their_entry_alone(#[case] id: &str, #[case] bytes: &[u8]) {
    let marked = page(&[entry("i-1"), entry(id), entry("i-2")]).to_string();
    let (before, after) = marked.split_once("\\u0001").expect("the page contains the marker");
    let raw = [before.as_bytes(), bytes, after.as_bytes()].concat();

    let read = read_page(&raw);

    assert_eq!(names(&read.rows), ["i-1", "i-2"]);
    assert_eq!((read.unread.len(), read.next), (1, NextPage::None));
}

#[test]
fn an_entry_cut_off_keeps_what_came_before_it() {
    let text = page(&[entry("i-1"), entry("i-2")]).to_string();
    let cut = &text[..text.find("i-2").expect("the page contains the second entry")];

    let read = read_page(cut.as_bytes());

    assert_eq!((names(&read.rows), read.next), (vec!["i-1"], NextPage::Unknown));
}

#[rstest]
#[case::no_list(json!({"next_token": null}), NextPage::Unknown)]
#[case::list_of_another_type(json!({"instances": "none", "next_token": null}), NextPage::Unknown)]
#[case::token_of_another_type(json!({"instances": [], "next_token": 5}), NextPage::Unknown)]
#[case::no_token(json!({"instances": []}), NextPage::None)]
fn where_the_list_goes_on_is_read_apart(#[case] page: Value, #[case] expected: NextPage) {
    assert_eq!(read_page(page.to_string().as_bytes()).next, expected);
}

fn row(name: &str, port: u16, incarnation: u64) -> VmRow {
    VmRow {
        service: "pool".into(),
        upstream: name.into(),
        address: ([10, 0, 0, 1], port).into(),
        state: VmState::Live,
        incarnation,
        places: Some(5),
        version: Some("v1".into()),
        data_centre: Some("a".into()),
        is_cold: false,
    }
}

fn unread(name: Option<&str>) -> UnreadEntry {
    UnreadEntry { upstream: name.map(Into::into), cause: "a fault".to_owned() }
}

#[test]
fn an_unread_entry_is_no_word_that_its_upstream_left() {
    let known = PlatformList { vms: vec![row("e1", 1, 0), row("e2", 2, 0), row("e3", 3, 0)] };
    let reading = ListReading {
        rows: vec![row("e1", 1, 0)],
        unread: vec![unread(Some("e2")), unread(Some("e9")), unread(None)],
        is_whole: true,
    };

    let list = reading.applied_to(&known);

    assert_eq!(names(&list.vms), ["e1", "e2"]);
}

#[test]
fn a_list_that_was_not_read_to_its_end_lets_nobody_leave() {
    let known = PlatformList { vms: vec![row("e1", 1, 0), row("e2", 2, 0)] };
    let reading = ListReading { rows: vec![row("e3", 3, 0)], unread: Vec::new(), is_whole: false };

    assert_eq!(names(&reading.applied_to(&known).vms), ["e1", "e2", "e3"]);
}

#[rstest]
#[case::the_later_birth(&[row("e1", 1, 5), row("e1", 9, 0)], 1)]
#[case::the_later_birth_whatever_the_order(&[row("e1", 9, 0), row("e1", 1, 5)], 1)]
#[case::the_known_address(&[row("e1", 9, 0), row("e1", 2, 0)], 2)]
fn of_two_entries_for_one_upstream_one_counts(#[case] rows: &[VmRow], #[case] port: u16) {
    let known = PlatformList { vms: vec![row("e1", 2, 0)] };
    let reading = ListReading { rows: rows.to_vec(), unread: Vec::new(), is_whole: true };

    let list = reading.applied_to(&known);

    assert_eq!(list.vms.iter().map(|row| row.address.port()).collect::<Vec<u16>>(), [port]);
}

/// Pages by their tokens, and how many calls are refused before the next one is answered.
struct ServedPages {
    pages: HashMap<String, Value>,
    refusals: usize,
    calls: AtomicUsize,
}

/// Serves pages by their tokens over HTTP; the first page has the empty token.
async fn start_lister(pages: HashMap<String, Value>) -> InstanceLister {
    start_refusing_lister(pages, 0).await
}

/// As [`start_lister`], with `refusals` calls refused for their rate before each answer.
async fn start_refusing_lister(pages: HashMap<String, Value>, refusals: usize) -> InstanceLister {
    async fn answer(
        State(served): State<Arc<ServedPages>>,
        RawQuery(query): RawQuery,
    ) -> Result<String, StatusCode> {
        let call = served.calls.fetch_add(1, Ordering::Relaxed);
        if call % (served.refusals + 1) < served.refusals {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        let token = query.as_deref().and_then(|query| query.strip_prefix("page_token="));
        let token = token.unwrap_or_default();
        Ok(served.pages.get(token).map(Value::to_string).unwrap_or_default())
    }
    let served = ServedPages { pages, refusals, calls: AtomicUsize::new(0) };
    let router = Router::new().route("/instances", get(answer)).with_state(Arc::new(served));
    let listener =
        tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the socket has a local address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    InstanceLister::new(address, Arc::default())
}

fn page_with_next(entries: &[Value], next: &str) -> Value {
    json!({"instances": entries, "next_token": next})
}

#[tokio::test]
async fn pages_are_read_to_the_last() {
    let pages = [
        (String::new(), page_with_next(&[entry("i-1")], "p-1")),
        ("p-1".to_owned(), page(&[entry("i-2")])),
    ];
    let reading = start_lister(pages.into()).await.read().await.expect("the list can be read");

    assert_eq!((names(&reading.rows), reading.is_whole), (vec!["i-1", "i-2"], true));
}

/// Guards against a reading that is given up because the platform refuses one of its calls, while
/// other daemons read the list, too.
#[tokio::test]
async fn a_page_that_is_refused_is_requested_again() {
    let pages = [
        (String::new(), page_with_next(&[entry("i-1")], "p-1")),
        ("p-1".to_owned(), page(&[entry("i-2")])),
    ];
    let lister = start_refusing_lister(pages.into(), 2).await;

    let reading = lister.read().await.expect("the list can be read");

    assert_eq!((names(&reading.rows), reading.is_whole), (vec!["i-1", "i-2"], true));
}

/// Guards against a reading that never ends while the platform refuses all calls.
#[tokio::test]
async fn a_reading_ends_if_all_calls_are_refused() {
    let lister = start_refusing_lister(HashMap::new(), usize::MAX - 1).await;

    let error = lister.read().await.expect_err("no call is answered");

    assert!(error.detail.contains("429"), "{}", error.detail);
}

/// Guards against a thousand calls for one read: a page names itself or an earlier page as the
/// next, and every token is followed.
#[tokio::test]
async fn a_token_that_repeats_ends_the_reading() {
    let pages = [
        (String::new(), page_with_next(&[entry("i-1")], "p-1")),
        ("p-1".to_owned(), page_with_next(&[entry("i-2")], "p-1")),
    ];
    let reading = start_lister(pages.into()).await.read().await.expect("the list can be read");

    assert_eq!(names(&reading.rows), ["i-1", "i-2"]);
    assert!(!reading.is_whole);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Decoding terminates for arbitrary bytes and returns no engine that they do not name.
    #[test]
    fn any_bytes_are_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let read = read_page(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(read.rows.iter().all(|row| text.contains(row.upstream.as_str())));
    }

    /// Noise inserted into the second of three entries leaves the first intact and adds no engine.
    #[test]
    fn damage_within_an_entry_adds_nothing(
        noise in proptest::collection::vec(any::<u8>(), 0..40),
        at in 0_usize..200,
    ) {
        let middle = entry("i-2").to_string();
        let at = at.min(middle.len());
        let bytes = [
            format!("{{\"instances\":[{},", entry("i-1")).as_bytes(), &middle.as_bytes()[..at], &noise,
            &middle.as_bytes()[at..], format!(",{}],\"next_token\":null}}", entry("i-3")).as_bytes(),
        ]
        .concat();

        let read = read_page(&bytes);

        let named = names(&read.rows);
        prop_assert_eq!(named.first(), Some(&"i-1"));
        prop_assert!(named.len() <= 3);
    }
}
