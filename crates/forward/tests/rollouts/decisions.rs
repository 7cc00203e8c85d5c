//! Single decisions: what may be sent to which version, and what is recorded.

use {
    crate::common::{self, *},
    forward::{
        request::Ticket,
        rollout::{
            MAX_AGE,
            exposure::{SLOT_REQUESTS, slots},
            order::Order,
            record::{Claim, Content, Published, Record, Stage, VersionStage},
            step::Action,
            tally::Outcome,
        },
    },
    std::time::Duration,
};

const ORDER: u64 = 9;
const HOLDER: &str = "e1@1";

fn endpoint(id: &str, version: &str) -> Listing {
    Listing {
        version: Some(version.to_string()),
        ..listing(id, "model", "a")
    }
}

fn order(id: u64, target: &str) -> Order {
    Order {
        duration: Duration::from_secs(12),
        id,
        service: "model".to_string(),
        target: target.to_string(),
    }
}

/// An instance that knows an order to move to `v2`, with two engines of either version.
fn ordered() -> State {
    let mut state = instance(&[
        endpoint("m1", "v1"),
        endpoint("m2", "v1"),
        endpoint("n1", "v2"),
        endpoint("n2", "v2"),
    ]);
    state.members.set("e1", "a", 100);
    state.rollouts.set_holder(HOLDER.to_string());
    confirm(&mut state, 1000);
    assert!(state.set_order(at(1000), order(ORDER, "v2")));
    state
}

fn confirm(state: &mut State, millis: u64) {
    state.config_freshness.confirm(at(millis));
    state.confirm_list(at(millis), at(millis));
    state.rollouts.freshness.confirm(at(millis));
}

fn apply(state: &mut State, millis: u64, content: Content) {
    let service = "model".to_string();
    state.apply_rollout(at(millis), Record { content, service });
}

fn reach(state: &mut State, millis: u64, version: &str, id: u64, reached: Stage) {
    let content = VersionStage {
        order: id,
        stage: reached,
        version: version.to_string(),
    };
    apply(state, millis, Content::Version(content));
}

fn claim(state: &mut State, slot: u32, holder: &str, offset: u64) {
    let content = Claim {
        at: offset,
        holder: holder.to_string(),
        order: ORDER,
        slot,
    };
    apply(state, 1000, Content::Claim(content));
}

fn ticket() -> Ticket {
    Ticket {
        customer: None,
        due: at(60_000),
        expires: at(60_000),
        priority: 0,
        route: common::route("/draft/", Kind::Stream, "model"),
        service: "model".to_string(),
        version: 1,
    }
}

/// Id of the engine that a request of this time is sent to; empty if it waits.
fn sent_to(state: &mut State, millis: u64) -> String {
    match state.pick_attempt(at(millis), &ticket(), LONG, &[]).0 {
        Pick::Send(key, _) => id(state, key),
        Pick::Wait => String::new(),
    }
}

/// Number of requests in 11 s, one each 10 ms, that go to the new version.
fn exposed(state: &mut State, from: u64) -> usize {
    let mut exposed = 0;
    for number in 0..1100 {
        let now = from + number * 10;
        confirm(state, now);
        exposed += usize::from(sent_to(state, now).starts_with('n'));
    }
    exposed
}

fn version(state: &mut State, millis: u64) -> String {
    let sent = sent_to(state, millis);
    sent.chars().take(1).collect()
}

/// Many instances that each send a little to a version that is not judged yet send it more than it
/// may get. Without a slot an instance sends nothing, with one as much as the slot allows.
#[test]
fn instance_exposes_as_many_requests_as_its_slots_allow() {
    let mut state = ordered();
    assert_eq!(exposed(&mut state, 1000), 0);
    claim(&mut state, 3, HOLDER, 1);
    assert_eq!(exposed(&mut state, 1000), SLOT_REQUESTS as usize);
}

/// Two instances claim the same slot at the same time. Only the first in the store's order owns it,
/// in whatever order an instance learns of the claims.
#[test]
fn slot_belongs_to_its_first_claim() {
    for offsets in [[4, 7], [7, 4]] {
        let mut state = ordered();
        claim(&mut state, 3, HOLDER, offsets[0]);
        claim(&mut state, 3, "e2@1", offsets[1]);
        let owned = offsets[0] < offsets[1];
        let expected = if owned { SLOT_REQUESTS as usize } else { 0 };
        assert_eq!(exposed(&mut state, 1000), expected);
    }
}

/// An instance starts and lists the newest records: claims of an earlier order come before what was
/// decided on it. They must not keep the slots of the present one.
#[test]
fn claims_of_an_earlier_order_keep_no_slots() {
    let mut state = ordered();
    assert!(state.set_order(at(1000), order(ORDER + 5, "v2")));
    claim(&mut state, 3, "e2@1", 1);
    reach(&mut state, 1000, "v2", ORDER, Stage::RolledBack);
    let content = Claim {
        at: 8,
        holder: HOLDER.to_string(),
        order: ORDER + 5,
        slot: 3,
    };
    apply(&mut state, 1000, Content::Claim(content));
    assert_eq!(exposed(&mut state, 1000), SLOT_REQUESTS as usize);
}

/// The records of a rollout would stay in the store for good, and grow with each one.
#[test]
fn decided_rollout_leaves_no_claims_and_no_evidence() {
    let mut state = ordered();
    claim(&mut state, 3, HOLDER, 1);
    claim(&mut state, 3, "e2@1", 2);
    let needless = state.rollouts.needless_records("model");
    let is_claim = |record: &&Record| matches!(record.content, Content::Claim(_));
    let is_evidence = |record: &&Record| matches!(record.content, Content::Evidence(_));
    assert_eq!(needless.iter().filter(is_claim).count(), 2);
    assert_eq!(needless.iter().filter(is_evidence).count(), 1);
}

/// An instance that has not heard of a rollout for some seconds may have missed that it was rolled
/// back.
#[test]
fn stale_knowledge_exposes_nothing() {
    let mut state = ordered();
    claim(&mut state, 0, HOLDER, 1);
    reach(&mut state, 1000, "v2", ORDER, Stage::Shift);
    let last = 1000 + u64::try_from(MAX_AGE.as_millis()).expect("short");
    assert_eq!(version(&mut state, last), "n");
    assert_eq!(version(&mut state, last + 1), "m");
}

/// The endpoint list may be read before the order. Requests to a version that no endpoint had before
/// would not count as part of its rollout.
#[test]
fn new_version_waits_for_the_newest_orders() {
    let mut state = instance(&[endpoint("m1", "v1")]);
    confirm(&mut state, 1000);
    let mut leaving = endpoint("m1", "v1");
    leaving.leaving = true;
    state.change(at(1500), Change::Set(leaving));
    state.change(at(1500), Change::Set(endpoint("n1", "v2")));
    assert_eq!(sent_to(&mut state, 1600), "");
    state.config_freshness.confirm(at(1499));
    assert_eq!(sent_to(&mut state, 1600), "");
    state.config_freshness.confirm(at(1500));
    assert_eq!(sent_to(&mut state, 1600), "n1");
}

/// Requests, copies and runs leave a version that is rolled back, and nothing new reaches it.
#[test]
fn nothing_goes_to_a_version_that_was_rolled_back() {
    let mut state = ordered();
    claim(&mut state, 0, HOLDER, 1);
    let (key, backup) = picked(state.pick_attempt(at(1000), &ticket(), LONG, &[]).0);
    assert!(id(&state, key).starts_with('n'));
    let backup = backup.expect("there is room for a copy");
    assert!(
        id(&state, backup).starts_with('m'),
        "a takeover would expose the version"
    );
    let run = begin_run(&mut state, key, Some(key));
    assert!(!state.must_move(at(1001), run));
    reach(&mut state, 1002, "v2", ORDER, Stage::RolledBack);
    assert!(state.must_move(at(1003), run));
    assert!(!state.may_continue_at(at(1003), key));
    assert_eq!(state.healthy_backup(at(1003), run), None);
    let target = state
        .pick_target(at(1003), run, &[])
        .expect("an engine with room");
    assert!(id(&state, target).starts_with('m'));
    assert_eq!(exposed(&mut state, 1003), 0);
}

/// Copies go to the emptiest engines, and new engines are empty. A copy at a version that is not judged
/// would expose it to a request, by a takeover that no slot accounts for.
#[test]
fn copy_stays_at_the_old_version_when_new_engines_are_emptier() {
    let mut state = ordered();
    for id in ["m1", "m2"] {
        let key = listed(&state, id);
        begin_run(&mut state, key, None);
    }
    let (key, backup) = picked(state.pick_attempt(at(1000), &ticket(), LONG, &[]).0);
    let backup = backup.expect("there is room for a copy");
    for endpoint in [key, backup] {
        assert!(id(&state, endpoint).starts_with('m'));
    }
}

/// Old endpoints stop without notice at the completion, so requests leave them first, then runs.
#[test]
fn shift_moves_requests_and_then_runs() {
    let mut state = ordered();
    let (key, _) = picked(state.pick(at(1000), "model", LONG, &[]));
    let run = begin_run(&mut state, key, None);
    reach(&mut state, 1100, "v2", ORDER, Stage::Shift);
    assert_eq!(version(&mut state, 1101), "n");
    assert!(!state.must_move(at(1101), run), "it may end by itself");
    assert!(state.must_move(at(1800), run));
    let target = state
        .pick_target(at(1800), run, &[])
        .expect("an engine with room");
    assert!(id(&state, target).starts_with('n'));
}

/// Versions that a completed order has replaced stop at once, while their endpoints stay listed for
/// seconds.
#[test]
fn nothing_goes_to_a_version_that_was_replaced() {
    let mut state = ordered();
    reach(&mut state, 1100, "v2", ORDER, Stage::Completed);
    for millis in 1101..1140 {
        assert_eq!(version(&mut state, millis), "n");
    }
    // Later versions come without an order, and are used.
    for id in ["n1", "n2"] {
        state.change(at(2000), Change::Removed(id.to_string()));
    }
    state.change(at(2000), Change::Set(endpoint("p1", "v3")));
    confirm(&mut state, 2000);
    assert_eq!(sent_to(&mut state, 2001), "p1");
}

/// Two instances decide differently on the same order; the first decision in the store holds.
#[test]
fn decision_is_final() {
    for (first, second) in [
        (Stage::Completed, Stage::RolledBack),
        (Stage::RolledBack, Stage::Completed),
    ] {
        let mut state = ordered();
        reach(&mut state, 1100, "v2", ORDER, first);
        reach(&mut state, 1101, "v2", ORDER, second);
        reach(&mut state, 1102, "v2", ORDER, Stage::Shift);
        let rollout = state.rollouts.rollout("model").expect("a rollout");
        assert_eq!(rollout.stage(), Some(first));
    }
}

/// An order is replaced before it is decided. Its target was not judged, so it gets nothing, and the
/// requests that it has had count on.
#[test]
fn target_of_a_replaced_order_gets_nothing() {
    let mut state = ordered();
    claim(&mut state, 0, HOLDER, 1);
    assert_eq!(exposed(&mut state, 1000), SLOT_REQUESTS as usize);
    state.change(at(13_000), Change::Set(endpoint("p1", "v3")));
    confirm(&mut state, 13_000);
    assert!(state.set_order(at(13_000), order(ORDER + 1, "v3")));
    assert!(!state.set_order(at(13_000), order(ORDER, "v2")));
    for number in 0..200 {
        confirm(&mut state, 13_001 + number * 10);
        assert_eq!(version(&mut state, 13_001 + number * 10), "m");
    }
}

/// Operators turn back to the version that was to be replaced; it serves all requests and must go
/// on to.
#[test]
fn order_back_to_the_serving_version_stops_nothing() {
    let mut state = ordered();
    assert!(state.set_order(at(2000), order(ORDER + 1, "v1")));
    confirm(&mut state, 2000);
    assert_eq!(version(&mut state, 2001), "m");
}

/// After a restart of all instances every endpoint has the target's version, and the store may not
/// answer yet. Without it the order looks undecided.
#[test]
fn version_without_alternative_is_used() {
    let mut state = instance(&[endpoint("n1", "v2")]);
    assert!(state.set_order(at(10), order(ORDER, "v2")));
    assert_eq!(sent_to(&mut state, 11), "n1");
}

/// An order is removed while it runs: its target was not judged and must get nothing, and operators
/// are told.
#[test]
fn withdrawn_order_is_rolled_back() {
    let mut state = ordered();
    claim(&mut state, 0, HOLDER, 1);
    assert!(state.rollouts.withdraw("model"));
    assert!(!state.rollouts.withdraw("model"));
    assert_eq!(exposed(&mut state, 1000), 0);
    confirm(&mut state, 2000);
    let action = state.next_rollout_action(at(2000), "e1");
    let Some(Action::AppendNext(record)) = action else {
        panic!("{action:?}");
    };
    let Content::Version(version) = record.content else {
        panic!("{record:?}");
    };
    assert_eq!(version.stage, Stage::RolledBack);
}

/// A version that nobody could judge in time is rolled back before the order ends.
#[test]
fn version_without_answers_is_rolled_back_at_the_end() {
    let mut state = published_canary();
    for (millis, expected) in [(12_600, None), (12_800, Some(Stage::RolledBack))] {
        confirm(&mut state, millis);
        let recorded = match state.next_rollout_action(at(millis), "e1") {
            Some(Action::AppendNext(record)) => match record.content {
                Content::Version(version) => Some(version.stage),
                _ => None,
            },
            _ => None,
        };
        assert_eq!(recorded, expected, "{millis} ms");
    }
}

/// An instance whose order has been recorded and published.
fn published_canary() -> State {
    let mut state = ordered();
    reach(&mut state, 1000, "v2", ORDER, Stage::Canary);
    let published = Published {
        order: ORDER,
        stage: Stage::Canary,
    };
    apply(&mut state, 1000, Content::Published(published));
    state
}

fn listed(state: &State, id: &str) -> EndpointKey {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    found.expect("it is listed").0
}

/// A version whose answers do not decide by the time of the shift needs more of them. Without further
/// requests it would be rolled back at the end, whatever it is.
#[test]
fn undecided_version_gets_requests_until_its_order_ends() {
    let mut state = published_canary();
    let key = listed(&state, "m1");
    state.observe(at(2000), key, "/draft/", Outcome::Answered(12));
    let shift = 1000 + u64::try_from(order(ORDER, "v2").canary_time().as_millis()).expect("short");
    for (millis, is_claimed) in [(shift + 500, true), (13_000, false)] {
        confirm(&mut state, millis);
        // Evidence goes first.
        let actions = [0, 10].map(|later| state.next_rollout_action(at(millis + later), "e1"));
        let claims = actions.iter().any(|action| {
            matches!(
                action,
                Some(Action::Append(Record {
                    content: Content::Claim(_),
                    ..
                }))
            )
        });
        assert_eq!(claims, is_claimed, "{actions:?}");
    }
}

/// Further canaries of a version that has proved good would use up the limit, of which the shift needs the
/// rest if the version is bad under load.
#[test]
fn version_that_has_proved_good_gets_no_further_slots() {
    for (answers, is_claimed) in [(1, true), (30, false)] {
        let mut state = published_canary();
        for id in ["m1", "n1", "n2"] {
            answer(&mut state, id, 2000, answers, Outcome::Answered(12));
        }
        confirm(&mut state, 6000);
        // Evidence goes first.
        let actions = [0, 10].map(|later| state.next_rollout_action(at(6000 + later), "e1"));
        let claims = actions.iter().flatten().any(|action| {
            matches!(action, Action::Append(record) if matches!(record.content, Content::Claim(_)))
        });
        assert_eq!(claims, is_claimed, "{actions:?}");
    }
}

/// Instances without a slot know of most requests. If they kept that to themselves, the limit would
/// stay far below what it allows, and a good version would be rolled back for want of answers.
#[test]
fn instances_without_a_slot_publish_their_requests_at_a_census() {
    let mut state = published_canary();
    for slot in 0..20 {
        claim(&mut state, slot, "e2@1", u64::from(slot));
    }
    let key = listed(&state, "m1");
    let mut published = 0;
    for millis in (2000..10_000).step_by(100) {
        confirm(&mut state, millis);
        state.observe(at(millis), key, "/draft/", Outcome::Answered(12));
        let action = state.next_rollout_action(at(millis), "e1");
        published += u32::from(matches!(
            action,
            Some(Action::Append(Record {
                content: Content::Evidence(_),
                ..
            }))
        ));
    }
    assert_eq!(published, 3);
}

/// An instance, one of eight, whose order has been recorded and which owns the first slot.
fn slot_owner() -> State {
    let mut state = published_canary();
    for number in 2..9 {
        state.members.set(&format!("e{number}"), "a", 100);
    }
    claim(&mut state, 0, HOLDER, 1);
    claim(&mut state, 1, "e2@1", 2);
    claim(&mut state, 99, "e3@1", 3);
    state
}

/// Under the load of all requests a version may turn bad. Owners of slots alone see too few of its answers
/// to find that before it is completed.
#[test]
fn instances_without_a_slot_publish_answers_after_the_shift() {
    let mut state = published_canary();
    for slot in 0..20 {
        claim(&mut state, slot, "e2@1", u64::from(slot));
    }
    let shift = 9000;
    reach(&mut state, shift, "v2", ORDER, Stage::Shift);
    let key = listed(&state, "n1");
    let mut published = |from: u64| {
        confirm(&mut state, from);
        state.observe(at(from), key, "/draft/", Outcome::Failed);
        // Decisions come first.
        let actions = [0, 10].map(|later| state.next_rollout_action(at(from + later), "e1"));
        let mut records = actions.iter().filter_map(|action| match action {
            Some(Action::Append(record)) => Some(&record.content),
            _ => None,
        });
        records.any(|content| matches!(content, Content::Evidence(_)))
    };
    assert!(published(shift + 100));
    assert!(published(shift + 1900));
    // The bytes that all instances read would grow with each moment that a shift waits for runs.
    assert!(!published(shift + 2100));
}

/// Number of 400 requests, one each millisecond, that go to the new version.
fn ramped(state: &mut State, from: u64) -> usize {
    confirm(state, from);
    let sent = (from..from + 400).map(|millis| sent_to(state, millis));
    sent.filter(|id| id.starts_with('n')).count()
}

/// A version that did well by chance would get all requests at once. Only a few instances go first,
/// with a fifth of all requests, and not for long if the version stays undecided.
#[test]
fn ramp_sends_a_small_share_of_requests_to_the_version() {
    let ramp = 8000;
    // Two of eight instances send, so each of them four fifths of its requests.
    let mut state = slot_owner();
    reach(&mut state, ramp, "v2", ORDER, Stage::Ramp);
    let sent = ramped(&mut state, ramp + 1);
    assert!((290..350).contains(&sent), "{sent}");
    assert_eq!(ramped(&mut state, ramp + 1500), 0);
    // Later slots make no sender.
    let mut state = slot_owner();
    state.rollouts.set_holder("e3@1".to_string());
    reach(&mut state, ramp, "v2", ORDER, Stage::Ramp);
    let sent = ramped(&mut state, ramp + 1);
    assert!(sent <= SLOT_REQUESTS as usize, "{sent}, more than its slot");
}

/// A ramp that is rolled back or of which this instance has not heard for long gets nothing.
#[test]
fn ramp_ends_with_a_decision_and_with_stale_knowledge() {
    let mut state = slot_owner();
    confirm(&mut state, 8000);
    let outdated = 8001 + u64::try_from(MAX_AGE.as_millis()).expect("short");
    reach(&mut state, outdated, "v2", ORDER, Stage::Ramp);
    let sent = (0..400).map(|millis| sent_to(&mut state, outdated + millis));
    assert!(!sent.collect::<String>().contains('n'));
    let mut state = slot_owner();
    reach(&mut state, 8000, "v2", ORDER, Stage::Ramp);
    reach(&mut state, 8001, "v2", ORDER, Stage::RolledBack);
    assert_eq!(ramped(&mut state, 8002), 0);
}

/// Requests of a ramp have no slot. If slots did not make up for them, both together would pass the
/// limit.
#[test]
fn requests_of_a_ramp_count_against_the_limit() {
    let limit = settings("a").canary;
    let before = slots(limit, 1000, 0);
    assert_eq!(slots(limit, 1000, 7 * SLOT_REQUESTS), before - 7);
    assert_eq!(slots(limit, 1000, 1000), 0);
}

/// The stage that an instance would record at this time, if any.
fn next_stage(state: &mut State, millis: u64) -> Option<Stage> {
    confirm(state, millis);
    match state.next_rollout_action(at(millis), "e1") {
        Some(Action::AppendNext(record)) => match record.content {
            Content::Version(version) => Some(version.stage),
            _ => None,
        },
        _ => None,
    }
}

/// Lets an endpoint answer some requests, one each 10 ms.
fn answer(state: &mut State, id: &str, millis: u64, count: u64, outcome: Outcome) {
    let key = listed(state, id);
    for number in 0..count {
        state.observe(at(millis + number * 10), key, "/draft/", outcome);
    }
}

/// All requests move to a version only after it has done well with a share of them for a while.
#[test]
fn shift_follows_a_ramp() {
    let shift = 1000 + u64::try_from(order(ORDER, "v2").canary_time().as_millis()).expect("short");
    let mut state = published_canary();
    for id in ["m1", "n1", "n2"] {
        answer(&mut state, id, 2000, 30, Outcome::Answered(12));
    }
    assert_eq!(next_stage(&mut state, shift - 1001), None);
    assert_eq!(next_stage(&mut state, shift - 1000), Some(Stage::Ramp));
    // It was recorded late.
    reach(&mut state, shift - 800, "v2", ORDER, Stage::Ramp);
    assert_eq!(next_stage(&mut state, shift + 199), None);
    assert_eq!(next_stage(&mut state, shift + 200), Some(Stage::Shift));
}

/// A version that turns bad under the load of its ramp must not get all requests.
#[test]
fn version_that_fails_in_its_ramp_is_rolled_back() {
    let shift = 1000 + u64::try_from(order(ORDER, "v2").canary_time().as_millis()).expect("short");
    let mut state = published_canary();
    for id in ["m1", "n1", "n2"] {
        answer(&mut state, id, 2000, 30, Outcome::Answered(12));
    }
    reach(&mut state, shift - 1000, "v2", ORDER, Stage::Ramp);
    for id in ["n1", "n2"] {
        answer(&mut state, id, shift - 900, 8, Outcome::Failed);
    }
    assert_eq!(next_stage(&mut state, shift + 10), Some(Stage::RolledBack));
}

/// A version whose answers decide only after the time of the shift must not get all requests at once
/// either.
#[test]
fn version_that_proves_good_late_gets_a_ramp_first() {
    let shift = 1000 + u64::try_from(order(ORDER, "v2").canary_time().as_millis()).expect("short");
    let mut state = published_canary();
    assert_eq!(next_stage(&mut state, shift - 500), None);
    for id in ["m1", "n1", "n2"] {
        answer(&mut state, id, shift - 400, 30, Outcome::Answered(12));
    }
    assert_eq!(next_stage(&mut state, shift + 100), Some(Stage::Ramp));
}
