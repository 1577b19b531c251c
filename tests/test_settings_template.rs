//! The settings that the platform renders, with every bound that it can set.

use crate::settings_template::{TEMPLATE, render};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use tarragonknot::platform::ContractFeatures;
use tarragonknot::settings::DaemonSettings;

/// Template fields for a daemon that serves callers.
fn fields() -> Value {
    json!({
        "ip": "10.1.0.14", "zone": "hall-a", "zones": {"hall-a": "cambridge", "hall-b": "cambridge"},
        "listen": {"front": "10.1.0.14:8221", "ready": "10.1.0.14:8224"},
        "port_range": [7600, 7615],
        "seeds": ["10.1.0.16:8229", "10.2.0.7:8229"],
        "bootstrap": true, "data_dir": null,
        "cloud_api": {"address": "10.200.0.35:8225", "rate_per_s": 40.0},
        "bounds": {"quota_overage": 0.1, "quota_slack": 190_000, "retry_ratio": 0.3, "retry_slack": 52, "grace_s": 8}
    })
}

fn settings_with(bound: &str, value: Value) -> DaemonSettings {
    let mut fields = fields();
    fields["bounds"][bound] = value;
    let text = render(TEMPLATE, &fields);
    DaemonSettings::read(&text).unwrap_or_else(|faults| panic!("{faults}\n{text}"))
}

fn bounds(settings: &DaemonSettings) -> (f64, u64, f64, u64) {
    let DaemonSettings { limit_overage, limit_slack_tokens, repeat_ratio, repeat_slack, .. } =
        settings;
    (*limit_overage, *limit_slack_tokens, *repeat_ratio, *repeat_slack)
}

/// Guards against daemons that fail to start on a scaled-down deployment with "expected a value of
/// type integer". A bound is computed as a share of a larger one and is a fraction, so counts have
/// to accept fractions.
#[rstest]
#[case::fraction("retry_slack", json!(32.736_842_105_263_16), (0.1, 190_000, 0.3, 32))]
#[case::fraction_of_tokens("quota_slack", json!(9_999.99), (0.1, 9_999, 0.3, 52))]
#[case::whole_as_a_fraction("quota_slack", json!(190_000.0), (0.1, 190_000, 0.3, 52))]
#[case::whole_ratio("retry_ratio", json!(1), (0.1, 190_000, 1.0, 52))]
#[case::whole_overage("quota_overage", json!(0), (0.0, 190_000, 0.3, 52))]
#[case::zero("retry_slack", json!(0), (0.1, 190_000, 0.3, 0))]
#[case::zero_tokens("quota_slack", json!(0.0), (0.1, 0, 0.3, 52))]
#[case::large("quota_slack", json!(1e30), (0.1, u64::MAX, 0.3, 52))]
#[case::large_whole("retry_slack", json!(9_007_199_254_740_992_u64), (0.1, 190_000, 0.3, 9_007_199_254_740_992))]
fn every_bound_is_read_however_it_is_written(
    #[case] bound: &str,
    #[case] value: Value,
    #[case] expected: (f64, u64, f64, u64),
) {
    let settings = settings_with(bound, value);

    assert_eq!(bounds(&settings), expected);
}

/// Guards against a daemon that does not know when its process is killed.
#[rstest]
#[case::whole(json!(8), 8_000)]
#[case::fraction(json!(7.5), 7_500)]
fn the_grace_time_of_a_stop_is_read(#[case] value: Value, #[case] millis: u64) {
    let settings = settings_with("grace_s", value);

    assert_eq!(settings.stop_grace_s, Duration::from_millis(millis));
}

#[rstest]
#[case::no_value("quota_overage", Value::Null)]
#[case::no_slack("quota_slack", Value::Null)]
#[case::no_ratio("retry_ratio", Value::Null)]
#[case::no_repeats("retry_slack", Value::Null)]
fn a_missing_bound_leaves_the_default(#[case] bound: &str, #[case] value: Value) {
    let missing = bounds(&settings_with(bound, value));
    let text =
        r#"{"daemon": "a", "data_centre": "d", "control": "127.0.0.1:1", "data_folder": "/tmp/x"}"#;
    let defaults =
        bounds(&DaemonSettings::read(text).expect("the settings without bounds are valid"));
    let given = bounds(&settings_with("unknown", json!(1)));

    for at in 0..4 {
        let parts = |bounds: (f64, u64, f64, u64)| {
            [bounds.0, bounds.1 as f64, bounds.2, bounds.3 as f64][at]
        };
        assert!([parts(defaults), parts(given)].contains(&parts(missing)), "{missing:?}");
    }
    assert_ne!(missing, given);
}

#[test]
fn a_bound_below_zero_is_a_fault_that_names_its_place() {
    let mut fields = fields();
    fields["bounds"]["retry_slack"] = json!(-1);
    let faults = DaemonSettings::read(&render(TEMPLATE, &fields))
        .expect_err("the settings are invalid")
        .to_string();

    assert!(faults.contains("/repeat_slack"), "{faults}");
}

#[test]
fn the_data_centres_are_rendered_with_their_regions() {
    let settings = settings_with("cold_overage", json!(1.5));

    let regions: Vec<String> = settings
        .data_centres
        .iter()
        .map(|(data_centre, region)| format!("{data_centre} in {region}"))
        .collect();
    assert_eq!(regions, ["hall-a in cambridge", "hall-b in cambridge"]);
    assert_eq!((settings.cold_overage, settings.cold_slack), (1.5, 0));
    let rate = settings.platform.and_then(|platform| platform.list_calls_per_second);
    assert_eq!(rate, Some(40.0));
}

/// Guards against a part that stays off, or comes on, because the platform's contracts are lost on
/// their way into the settings.
#[test]
fn the_contracts_are_rendered_and_enable_their_features() {
    let mut given = fields();
    given["contracts"] = json!(["base", "pressure"]);
    let names = |fields: &Value| {
        let settings = DaemonSettings::read(&render(TEMPLATE, fields)).expect("valid settings");
        settings.platform.expect("the platform is set").contracts
    };
    let mut missing = fields();
    missing.as_object_mut().expect("an object").remove("contracts");

    assert_eq!(names(&given), ["base", "pressure"]);
    assert!(ContractFeatures::of(&names(&given)).shares_organisations);
    assert_eq!(ContractFeatures::of(&names(&missing)), ContractFeatures::default());
}

/// Guards against a bound that stays off because the memory that the platform states is lost on its way,
/// and against a fault where it states none.
#[test]
fn the_memory_is_rendered_where_it_is_stated() {
    let memory = |limits: Value| {
        let mut given = fields();
        given["limits"] = limits;
        DaemonSettings::read(&render(TEMPLATE, &given)).expect("valid settings").memory_mb
    };

    assert_eq!(memory(json!({"memory_mb": 112})), Some(112));
    assert_eq!(memory(json!({"memory_mb": 112.5})), Some(112));
    assert_eq!(memory(json!({})), None);
}

#[test]
fn a_voter_is_rendered_too() {
    let mut fields = fields();
    fields["listen"] = json!({"control": "10.1.0.14:8230"});
    fields["data_dir"] = json!("/data");
    let settings =
        DaemonSettings::read(&render(TEMPLATE, &fields)).expect("the voter settings are valid");

    assert!(settings.callers.is_none());
    assert!(settings.found_fleet);
    assert!(settings.platform.is_some_and(|platform| platform.operators.is_some()));
}
