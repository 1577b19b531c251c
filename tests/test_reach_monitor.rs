//! Whether an entry reaches the upstreams of a pool, in virtual time.

use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::{Moment, ReachMonitor, UpstreamIndex};

/// Builds the monitor of a daemon that has peers.
fn monitor() -> ReachMonitor {
    let mut monitor = ReachMonitor::default();
    monitor.set_has_peers(true);
    monitor
}

/// Guards against an entry that goes on trying one upstream after the other while it reaches none.
#[rstest]
#[case::small_pool(2, 2)]
#[case::three(3, 3)]
#[case::large_pool(2_990, 3)]
fn a_few_unreachable_upstreams_in_a_row_make_an_entry_cut_off(
    #[case] listed: usize,
    #[case] failures: u32,
) {
    let mut monitor = monitor();

    for number in 0..failures {
        assert!(!monitor.is_cut_off(), "after {number} failures");
        monitor.record_unreachable(UpstreamIndex(number), listed, Moment::from_millis(1));
    }

    assert!(monitor.is_cut_off());
}

/// Guards against an entry that counts as cut off for one dead upstream, one that answers in between,
/// failures that are long past, slow answers in a small pool, or a fleet of one daemon.
#[test]
fn an_entry_that_reaches_upstreams_is_not_cut_off() {
    let at = Moment::from_millis(1);
    let mut one_dead = monitor();
    let mut in_between = monitor();
    let mut long_past = monitor();
    let mut slow = monitor();
    let mut alone = ReachMonitor::default();

    (0..9).for_each(|_| one_dead.record_unreachable(UpstreamIndex(1), 12, at));
    for number in 0..9 {
        in_between.record_unreachable(UpstreamIndex(number), 12, at);
        in_between.record_contact();
        let later = at + Duration::from_secs(3) * number;
        long_past.record_unreachable(UpstreamIndex(number), 12, later);
        slow.record_unanswered(UpstreamIndex(number % 2), false, at);
        alone.record_unreachable(UpstreamIndex(number), 12, at);
    }

    for monitor in [one_dead, in_between, long_past, slow, alone] {
        assert!(!monitor.is_cut_off(), "{monitor:?}");
    }
}

/// Guards against an entry that passes requests on although it reaches the upstreams again.
#[test]
fn one_contact_ends_the_cut() {
    let mut monitor = monitor();
    (0..3).for_each(|number| monitor.record_unanswered(UpstreamIndex(number), false, Moment(0)));
    let was_cut_off = monitor.is_cut_off();

    monitor.record_contact();

    assert!(was_cut_off && !monitor.is_cut_off() && !monitor.is_doubtful());
}

/// Guards against an entry whose requests all go to the one upstream that accepts connections and
/// never answers, long after the others could not be reached.
#[test]
fn the_last_upstream_that_leaves_a_request_unanswered_makes_an_entry_cut_off() {
    let mut monitor = monitor();
    monitor.record_unreachable(UpstreamIndex(0), 3, Moment(0));
    monitor.record_unreachable(UpstreamIndex(1), 3, Moment(0));
    let late = Moment(0) + Duration::from_secs(60);

    monitor.record_unanswered(UpstreamIndex(2), true, late);

    assert!(monitor.is_cut_off());
}
