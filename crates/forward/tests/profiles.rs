//! What is learnt of engines from streams.

mod common;

use {
    common::*,
    forward::profile::{Interval, News, Observation, Pace, Profiles, Window},
    std::time::Duration,
};

const SERVICE: u32 = 7;

fn pace(digest: u32, windows: f64, pace_ms: f64) -> Pace {
    Pace {
        digest,
        pace_ms,
        service: SERVICE,
        windows,
    }
}

/// Records events at these times in milliseconds; returns the undisturbed times found.
fn undisturbed(times: &[u64], is_reading: impl Fn(u64) -> bool) -> Vec<(Duration, f64)> {
    let mut window = Window::default();
    let found = times.iter().filter_map(|time| {
        let interval = window.record(at(*time), at(*time), 1, is_reading(*time))?;
        interval
            .undisturbed
            .map(|undisturbed| (undisturbed, interval.certainty))
    });
    found.collect()
}

/// Guards against a fast engine that counts as slow because of one late event.
#[test]
fn late_event_leaves_the_pace_as_it_is() {
    assert_eq!(
        undisturbed(&[0, 20, 40, 150, 170], |_| false),
        [(millis(20), 1.0)]
    );
}

/// Guards against a pace of nothing, where an event is late at this instance and the next ones catch up with it.
#[test]
fn event_that_catches_up_leaves_the_pace_as_it_is() {
    assert_eq!(
        undisturbed(&[0, 20, 59, 60, 80], |_| false),
        [(millis(20), 1.0)]
    );
}

/// Guards against a fast engine that counts as slow because it reads many prompts.
#[test]
fn intervals_beside_a_prompt_hardly_count() {
    let found = undisturbed(&[0, 40, 80, 120, 160], |time| time < 100);
    assert!(found.len() == 1 && found[0].1 < 0.2, "{found:?}");
}

/// Guards against engines that are blamed for a silence, a slow caller or a move.
#[test]
fn interval_after_an_interruption_does_not_count() {
    let mut window = Window::default();
    assert_eq!(
        window.record(at(0), at(0), 1, false),
        None,
        "the first event"
    );
    assert!(window.record(at(20), at(20), 1, false).is_some());
    assert_eq!(window.record(at(700), at(700), 1, false), None, "a silence");
    window.restart();
    assert_eq!(
        window.record(at(720), at(720), 1, false),
        None,
        "another engine"
    );
    // The caller held up this one, and how long the engine took for the next one is not known.
    assert!(window.record(at(740), at(900), 1, false).is_some());
    assert_eq!(window.record(at(920), at(920), 1, false), None);
    assert!(window.record(at(940), at(940), 1, false).is_some());
}

/// Guards against an engine that is never tried again after it was slow.
#[test]
fn evidence_ages_until_an_engine_counts_as_usual() {
    let mut profiles = Profiles::default();
    for digest in 1..=8 {
        profiles.learn(at(0), pace(digest, 64.0, 20.0));
    }
    profiles.learn(at(0), pace(9, 64.0, 60.0));
    let usual = profiles.usual(at(0), SERVICE).expect("known engines");
    assert!(profiles.pace_ms(at(0), &usual, 9) > 2.0 * usual.pace_ms);
    let later = at(60_000);
    for digest in 1..=8 {
        profiles.learn(later, pace(digest, 64.0, 20.0));
    }
    let usual = profiles.usual(later, SERVICE).expect("known engines");
    let relative = profiles.pace_ms(later, &usual, 9) / usual.pace_ms;
    assert!(
        relative < 1.6,
        "{relative} of the usual pace after a minute"
    );
}

/// Guards against an engine that was fast and goes on counting as fast once it is slow.
#[test]
fn new_windows_outweigh_old_ones() {
    let mut profiles = Profiles::default();
    for second in 0..60 {
        profiles.add(at(second * 1000), pace(1, 16.0, 20.0));
    }
    for second in 60..70 {
        profiles.add(at(second * 1000), pace(1, 16.0, 50.0));
    }
    let known = profiles.rows(at(70_000));
    assert!(known[0].pace_ms > 40.0, "{known:?}");
}

/// Guards against an engine that many streams see in the same slow spell, and that counts as slow for it.
#[test]
fn spell_seen_by_many_streams_does_not_outweigh_what_is_usual() {
    let mut profiles = Profiles::default();
    for digest in 1..=20 {
        profiles.learn(at(0), pace(digest, 24.0, 20.0));
    }
    for time in 0..60 {
        profiles.add(at(time * 10), pace(21, 5.0, 50.0));
    }
    let usual = profiles.usual(at(600), SERVICE).expect("known engines");
    let known = profiles.pace_ms(at(600), &usual, 21);
    assert!(
        known < 36.0,
        "{known} ms, nearer to the spell than to the usual 20 ms"
    );
}

/// Guards against what an engine did before it was restarted.
#[test]
fn restarted_engine_is_not_judged_by_what_it_did_before() {
    let mut state = instance(&[listing("m0", "model", "a")]);
    let incarnation = |state: &State| state.endpoints().next().expect("an engine").1.incarnation;
    let before = incarnation(&state);
    let mut again = listing("m0", "model", "a");
    again.started_at = Some(2);
    state.change(at(10), Change::Set(again));
    assert_ne!(incarnation(&state), before);
}

/// Guards against an aggregator that knows little and takes from a member what it has seen itself.
#[test]
fn less_evidence_does_not_replace_more() {
    let mut profiles = Profiles::default();
    profiles.learn(at(0), pace(1, 20.0, 20.0));
    profiles.learn(at(0), pace(1, 2.0, 60.0));
    profiles.learn(at(0), pace(2, 2.0, 60.0));
    let paces = profiles.rows(at(0)).into_iter().map(|row| row.pace_ms);
    assert_eq!(paces.collect::<Vec<_>>(), [20.0, 60.0]);
}

/// Guards against engines of which members that have just started are never told, where others have news all the time.
#[test]
fn members_are_told_of_all_engines_in_turn() {
    let mut profiles = Profiles::default();
    for digest in 1..=100 {
        profiles.add(at(0), pace(digest, 8.0, 20.0));
    }
    let mut told = Vec::new();
    for second in 1..=20 {
        profiles.add(at(second * 1000), pace(1, 8.0, 20.0));
        let known = profiles.take_known(at(second * 1000), 10);
        assert!(known.rows().len() <= 10);
        told.extend(known.rows().iter().map(|row| row.digest));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 100);
}

/// Guards against memory that grows with the number of engines ever seen.
#[test]
fn engines_that_are_gone_are_forgotten() {
    let mut profiles = Profiles::default();
    for digest in 0..10_000 {
        profiles.add(at(u64::from(digest)), pace(digest, 8.0, 20.0));
        if digest % 100 == 0 {
            profiles.expire(at(u64::from(digest)));
        }
    }
    profiles.expire(at(10_000));
    assert!(profiles.rows(at(10_000)).len() <= forward::profile::MAX_ENGINES);
    profiles.expire(at(300_000));
    assert_eq!(profiles.rows(at(300_000)), []);
}

/// Guards against pauses that are only learnt where they happen: once slow engines are left, nobody would know of them.
#[test]
fn pauses_at_slow_engines_are_learnt_at_fast_ones() {
    let mut profiles = Profiles::default();
    profiles.learn(at(0), pace(1, 64.0, 20.0));
    profiles.learn(at(0), pace(2, 64.0, 40.0));
    for number in 0..8000 {
        // One interval in 50 is five times as long as usual, beside a prompt.
        let is_reading = number % 50 == 0;
        let length = if is_reading { millis(110) } else { millis(20) };
        let interval = Interval {
            certainty: 1.0,
            events: 1,
            is_reading,
            length,
            undisturbed: None,
        };
        let seen = Observation {
            digest: 1,
            expected_events: 200,
            interval,
            service: SERVICE,
        };
        profiles.observe(at(1), &seen);
    }
    let usual = profiles.usual(at(1), SERVICE).expect("known engines");
    let (fast, slow) = (
        usual.pause_risk(20.0, millis(180), 100.0),
        usual.pause_risk(40.0, millis(180), 100.0),
    );
    assert!(fast < 0.01, "{fast} at the fast engine");
    assert!(slow > 0.5, "{slow} at the slow engine");
    assert!(
        usual.pause_risk(40.0, millis(180), 2.0) < 0.1,
        "short streams hardly feel it"
    );
}

/// Guards against messages that grow with what was seen in a second.
#[test]
fn news_are_bounded_and_sent_once() {
    let mut news = News::default();
    for digest in 0..200 {
        news.add(pace(digest, f64::from(digest), 20.0));
    }
    let taken = news.take(50);
    assert_eq!(taken.rows().len(), 50);
    assert!(
        taken.rows().iter().all(|row| row.windows >= 150.0),
        "those with the most evidence"
    );
    assert_eq!(news.take(50), News::default());
}
