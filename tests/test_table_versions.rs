//! The summary of table versions in force that operators query.

use tarragonknot::control::{MemberView, TableVersionRow, table_versions};

fn member(number: u16, version: u64, version_ms: u64, is_live: bool) -> MemberView {
    MemberView {
        daemon: format!("entry-{number}").as_str().into(),
        version,
        version_ms: Some(version_ms),
        heard_ms: Some(100),
        is_live,
        control: None,
    }
}

/// Guards against a list with one line per daemon, from which operators of hundreds of daemons
/// cannot tell which of them have applied a new table.
#[test]
fn those_that_lag_are_named_with_how_long_they_do() {
    let mut members: Vec<MemberView> =
        (0..288).map(|number| member(number, 7, 900, true)).collect();
    members.push(member(288, 7, 1_400, true));
    members.push(member(289, 6, 60_000, true));
    members.push(member(290, 6, 60_000, false));

    let rows = table_versions(&members);

    let [newest, lagging] = &rows[..] else { panic!("{rows:?}") };
    assert_eq!((newest.version, newest.live, newest.lapsed, newest.lags_ms), (7, 289, 0, None));
    assert_eq!(newest.named.len(), 5);
    let named = vec!["entry-289".into(), "entry-290".into()];
    let expected = TableVersionRow { version: 6, live: 1, lapsed: 1, lags_ms: Some(1_400), named };
    assert_eq!(*lagging, expected);
}

#[test]
fn a_fleet_without_members_has_no_rows() {
    assert_eq!(table_versions(&[]), []);
}
