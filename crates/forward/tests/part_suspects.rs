//! Parts of prompts that may crash engines, and those that only came together with them.

mod common;

use {
    common::*,
    forward::{
        part::Part,
        part_suspects::{
            Change, Claim, Crash, MAX_CRASHES, MAX_PROVEN_CRASHES, MAX_SUSPECTS, RESULT_TIMEOUT,
            RETENTION, Suspects,
        },
        suspects,
    },
};

/// Time between two crashes, so that each is a moment of its own.
const STEP_MS: u64 = 700;

/// Time after which a refused part may be tried.
const TRIAL_MS: u64 = 3000;

fn parts(names: &str) -> Vec<Part> {
    names.split(' ').map(Part::new).collect()
}

fn blamed(suspects: &Suspects, now: Time, names: &str) -> Option<Part> {
    suspects.blamed(now, &parts(names), &suspects::Suspects::default())
}

fn refuses(suspects: &Suspects, now: Time, names: &str) -> bool {
    blamed(suspects, now, names).is_some()
}

/// Loses an engine that had begun to answer none of these prompts.
fn lose(suspects: &mut Suspects, now: Time, engine: &str, prompts: &[&str]) {
    for names in prompts {
        for part in parts(names) {
            suspects.record_crash(now, part, engine, now.before(millis(300)));
        }
    }
}

/// Loses `count` engines, `m1` and so on, under a prompt, one after another; returns the time of the last.
fn lose_engines(suspects: &mut Suspects, names: &str, count: usize) -> Time {
    let mut now = at(0);
    for number in 1..=count {
        now = now.after(millis(STEP_MS));
        lose(suspects, now, &format!("m{number}"), &[names]);
    }
    now
}

/// Loses engines under two fatal parts in turn, which account for all crashes of their companion "aa".
fn companion_of_two_fatal_parts() -> (Suspects, Time) {
    let mut suspects = Suspects::default();
    for number in 0..3_u64 {
        let now = 1000 + STEP_MS * number * 2;
        lose(&mut suspects, at(now), &format!("a{number}"), &["aa bad1"]);
        lose(
            &mut suspects,
            at(now + 300),
            &format!("b{number}"),
            &["aa bad2"],
        );
    }
    (suspects, at(1000 + STEP_MS * 4 + 300))
}

/// Claims a trial of a single part.
fn claim(suspects: &mut Suspects, now: Time, parts: &[Part], instance: u64) -> Option<Claim> {
    let requests = suspects::Suspects::default();
    let claims = suspects.claim_trial(now, parts, &requests, instance);
    assert!(claims.len() <= 1);
    claims.first().copied()
}

/// Passes on all that an instance has to publish, as the store does.
fn synchronize(now: Time, from: &mut Suspects, to: &mut Suspects) {
    for change in from.unpublished().to_vec() {
        from.apply(now, &change);
        to.apply(now, &change);
    }
}

/// Prompts share a part that takes down one engine after another. It must be refused in any prompt, while its
/// companion is served without it.
#[test]
fn part_is_refused_once_three_engines_are_lost_under_it() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bad", MAX_CRASHES - 1);
    assert!(!refuses(&suspects, now, "aa bad"));
    let now = lose_engines(&mut suspects, "aa bad", MAX_CRASHES);
    assert!(refuses(&suspects, now, "aa bad"));
    assert!(!refuses(&suspects, now, "aa cc"), "it came with the other");
    assert!(
        suspects
            .record_proof(now, &parts("aa cc"))
            .contains(&Part::new("aa"))
    );
    assert_eq!(blamed(&suspects, now, "dd bad"), Some(Part::new("bad")));
}

/// The part at fault is the first one of all prompts of its callers, and what follows it differs.
#[test]
fn first_part_is_refused_whatever_follows_it() {
    let mut suspects = Suspects::default();
    for (number, names) in ["bad 01", "bad 02", "bad 03"].iter().enumerate() {
        let now = at(1000 * (number as u64 + 1));
        lose(&mut suspects, now, &format!("m{number}"), &[names]);
    }
    assert!(refuses(&suspects, at(3000), "bad 04"));
    assert!(!refuses(&suspects, at(3000), "aa 01"));
}

/// Two parts have always come together. A prompt with one of them shows which one it is.
#[test]
fn parts_that_came_together_are_told_apart_by_prompts_with_one_of_them() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bad", MAX_CRASHES);
    assert!(!refuses(&suspects, now, "aa") && !refuses(&suspects, now, "bad"));
    // It is "bad", which crashes one more engine by itself.
    let now = now.after(millis(STEP_MS));
    lose(&mut suspects, now, "m8", &["bad"]);
    assert!(refuses(&suspects, now, "bad") && refuses(&suspects, now, "bad ee"));
    assert!(!refuses(&suspects, now, "aa") && !refuses(&suspects, now, "dd"));
}

/// So many engines were lost under two parts at once that none may be let through without a trial.
#[test]
fn parts_that_came_together_are_tried_at_once_after_many_crashes() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bad", MAX_PROVEN_CRASHES);
    assert!(refuses(&suspects, now, "aa cc") && refuses(&suspects, now, "bad"));
    assert!(claim(&mut suspects, now, &parts("aa cc"), 1).is_some());
    suspects.record_proof(now, &parts("aa cc"));
    assert!(!refuses(&suspects, now, "aa") && refuses(&suspects, now, "bad"));
    assert_eq!(claim(&mut suspects, now, &parts("bad"), 1), None);
}

/// Prompts that waited at the same engines, and lost one more for another reason, must be served.
#[test]
fn parts_that_shared_engines_with_the_one_at_fault_are_served() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        let now = at(STEP_MS * number);
        lose(
            &mut suspects,
            now,
            &format!("m{number}"),
            &["aa bad", "aa dd"],
        );
    }
    let now = at(STEP_MS * 4);
    lose(&mut suspects, now, "m4", &["ff bad"]);
    lose(&mut suspects, now, "m9", &["ee dd"]);
    assert!(refuses(&suspects, now, "gg dd"));
    assert!(
        claim(&mut suspects, now, &parts("gg dd"), 1).is_some(),
        "at once"
    );
    suspects.record_proof(now, &parts("gg dd"));
    assert!(!refuses(&suspects, now, "aa dd"));
    assert!(refuses(&suspects, now, "aa bad"));
}

/// Two parts are fatal at once. Neither may hide behind the other, and their companion is tried at once.
#[test]
fn two_fatal_parts_are_both_refused() {
    let (mut suspects, now) = companion_of_two_fatal_parts();
    assert!(refuses(&suspects, now, "aa bad1") && refuses(&suspects, now, "aa bad2"));
    assert_eq!(
        claim(&mut suspects, now, &parts("aa"), 1).map(|claim| claim.number),
        Some(1)
    );
    suspects.record_proof(now, &parts("aa cc"));
    assert!(refuses(&suspects, now, "aa bad1") && refuses(&suspects, now, "bad2"));
    assert!(!refuses(&suspects, now, "aa cc"));
}

/// A whole request is refused since it crashes engines. It accounts for the crashes under the parts of its prompt,
/// which others share.
#[test]
fn crashes_under_a_refused_request_do_not_count_against_its_parts() {
    let mut suspects = Suspects::default();
    let mut requests = suspects::Suspects::default();
    let fingerprint =
        forward::fingerprint::Fingerprint::new(None, "h.example", "/draft/7", b"fatal");
    let now = lose_engines(&mut suspects, "aa bb", MAX_CRASHES);
    assert!(suspects.blamed(now, &parts("aa bb"), &requests).is_some());
    for number in 1..=MAX_CRASHES {
        let crash = suspects::Crash {
            endpoint: format!("m{number}"),
            events: 0,
            fingerprint,
        };
        requests.record_crash(now, crash);
    }
    assert_eq!(suspects.blamed(now, &parts("aa bb"), &requests), None);
}

/// Each of several requests is repeated until it has crashed three engines itself. Their common part must be refused
/// all the same.
#[test]
fn repeated_requests_do_not_account_together_for_their_common_part() {
    let mut suspects = Suspects::default();
    let mut requests = suspects::Suspects::default();
    let mut now = at(0);
    for number in 0..2 * MAX_CRASHES {
        now = now.after(millis(STEP_MS));
        lose(&mut suspects, now, &format!("m{number}"), &["aa bad"]);
        let body = [u8::from(number >= MAX_CRASHES)];
        let crash = suspects::Crash {
            endpoint: format!("m{number}"),
            events: 0,
            fingerprint: forward::fingerprint::Fingerprint::new(None, "h", "/draft/7", &body),
        };
        requests.record_crash(now, crash);
    }
    assert!(suspects.blamed(now, &parts("aa bad"), &requests).is_some());
    assert_eq!(
        suspects.claim_trial(now, &parts("aa bad"), &requests, 1),
        []
    );
}

/// A failure domain loses power, and every popular part loses many engines at once. None may be refused for that.
#[test]
fn engines_that_are_lost_together_do_not_speak_against_parts() {
    let mut suspects = Suspects::default();
    for number in 0..9_u64 {
        lose(
            &mut suspects,
            at(1000 + 20 * number),
            &format!("m{number}"),
            &["aa bb"],
        );
    }
    assert!(!refuses(&suspects, at(1999), "aa bb"));
    // Parts that have not been answered for a second may have crashed them. One request may find out at once.
    assert!(refuses(&suspects, at(2000), "aa bb"));
    assert!(claim(&mut suspects, at(2200), &parts("aa cc"), 1).is_some());
    // Prompts that are sent after it and crash engines do.
    lose(&mut suspects, at(2000), "m9", &["aa bb"]);
    assert!(refuses(&suspects, at(2000), "aa bb"));
}

/// Engines crash a few milliseconds after they were sent a prompt, so that many are lost within a moment.
#[test]
fn crashes_under_prompts_sent_after_earlier_ones_are_later_moments() {
    let mut suspects = Suspects::default();
    for number in 0..3_u64 {
        let (sent, lost) = (at(1000 + 30 * number), at(1020 + 30 * number));
        suspects.record_crash(lost, Part::new("bad"), &format!("m{number}"), sent);
    }
    assert!(refuses(&suspects, at(1100), "bad"));
}

/// A popular part is in each prompt, and is answered between the crashes.
#[test]
fn answered_prompts_clear_their_parts() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bb", MAX_CRASHES);
    assert_eq!(suspects.record_proof(now, &parts("aa cc")), parts("aa"));
    assert_eq!(suspects.evidence(now, Part::new("aa")).crashes, 0);
    assert!(refuses(&suspects, now, "aa bb"), "bb is still a suspect");
    assert_eq!(suspects.record_proof(now, &parts("aa cc")), []);
}

/// A part was answered a moment ago, so that it takes more engines to be refused, and its runs go on.
#[test]
fn recently_answered_part_takes_more_crashes() {
    let mut suspects = Suspects::default();
    let requests = suspects::Suspects::default();
    suspects.record_proof(at(0), &parts("aa"));
    let now = lose_engines(&mut suspects, "aa", MAX_PROVEN_CRASHES - 1);
    assert!(!refuses(&suspects, now, "aa"));
    let now = lose_engines(&mut suspects, "aa", MAX_PROVEN_CRASHES);
    assert!(refuses(&suspects, now, "aa"));
    assert!(!suspects.stops(now, &parts("aa"), &requests));
    let later = now.after(millis(60_000));
    assert!(suspects.stops(later, &parts("aa"), &requests));
}

/// An engine that is back after a cut has not crashed.
#[test]
fn engine_that_lives_on_counts_against_no_part() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bb", MAX_CRASHES);
    assert_eq!(suspects.retract("m2"), 2);
    assert!(!refuses(&suspects, now, "aa bb"));
    assert_eq!(suspects.retract("m2"), 0);
}

/// Instances see different crashes, and one that has just started learns of all of them at once.
#[test]
fn crashes_of_all_instances_add_up_and_are_cleared_together() {
    let [mut a, mut b, mut new] = [(); 3].map(|()| Suspects::default());
    for number in 0..3_u64 {
        let now = at(1000 + STEP_MS * number);
        let (seer, other) = if number % 2 == 0 {
            (&mut a, &mut b)
        } else {
            (&mut b, &mut a)
        };
        lose(seer, now, &format!("m{number}"), &["aa bad"]);
        for change in seer.unpublished().to_vec() {
            seer.apply(now, &change);
            other.apply(now, &change);
            new.apply(at(9000), &change);
        }
        assert!(seer.unpublished().is_empty());
    }
    for suspects in [&a, &b, &new] {
        assert!(refuses(suspects, at(9000), "aa bad"));
    }
    b.record_proof(at(9000), &parts("aa bad"));
    synchronize(at(9000), &mut b, &mut new);
    assert!(!refuses(&new, at(9000), "aa bad") && new.unpublished().is_empty());
    assert_eq!(new.evidence(at(9000), Part::new("bad")).crashes, 0);
}

/// A part is refused by mistake. One request over all instances is let through to find out, and no second one
/// while its result is not known.
#[test]
fn one_request_over_all_instances_tries_a_refused_part() {
    let [mut a, mut b] = [(); 2].map(|()| Suspects::default());
    let now = lose_engines(&mut a, "aa", MAX_CRASHES);
    synchronize(now, &mut a, &mut b);
    assert_eq!(
        claim(&mut a, now.after(millis(TRIAL_MS - 1)), &parts("aa"), 1),
        None
    );
    let now = now.after(millis(TRIAL_MS));
    let of_a = claim(&mut a, now, &parts("aa cc"), 1).expect("a claim");
    let of_b = claim(&mut b, now, &parts("aa"), 2).expect("a claim");
    assert_eq!(
        claim(&mut a, now, &parts("aa"), 1),
        None,
        "one is on its way"
    );
    assert_eq!(a.has_won(&[of_a]), None);
    // The store has the claim of b first.
    let records = [Change::Claimed(of_b), Change::Claimed(of_a)];
    for record in &records {
        a.apply(now, record);
        b.apply(now, record);
    }
    assert_eq!(
        (a.has_won(&[of_a]), b.has_won(&[of_b])),
        (Some(false), Some(true))
    );
    assert!(a.unpublished().is_empty() && b.unpublished().is_empty());
    let soon = now.after(millis(TRIAL_MS));
    assert_eq!(claim(&mut a, soon, &parts("aa"), 1), None);
    b.record_proof(soon, &parts("aa"));
    synchronize(soon, &mut b, &mut a);
    assert!(!refuses(&a, soon, "aa"));
}

/// Guards against a trial that begins while the result of another one is awaited, and crashes the engine that works on
/// it: both would count against a sound part, which is refused for long then.
#[test]
fn trial_waits_for_the_result_of_the_one_before() {
    let (mut suspects, now) = companion_of_two_fatal_parts();
    // Others account for all crashes, so that nothing else delays it.
    let first = claim(&mut suspects, now, &parts("aa cc"), 1).expect("a claim");
    suspects.apply(now, &Change::Claimed(first));
    for waited in [0, 260, 999] {
        let soon = now.after(millis(waited));
        let second = claim(&mut suspects, soon, &parts("aa dd"), 2);
        assert_eq!(second, None, "{waited} ms");
    }
    let later = now.after(RESULT_TIMEOUT);
    let second = claim(&mut suspects, later, &parts("aa dd"), 2);
    assert_eq!(second.map(|claim| claim.number), Some(2));
}

/// Guards against two requests at one instance that make the same claim, the second one while the first is on its way,
/// once the result of the last trial is no longer awaited: both would win it.
#[test]
fn one_request_of_an_instance_claims_the_next_trial() {
    let (mut suspects, now) = companion_of_two_fatal_parts();
    let first = claim(&mut suspects, now, &parts("aa cc"), 1).expect("a claim");
    suspects.apply(now, &Change::Claimed(first));
    for waited in [1000, 1005, 5000] {
        let later = now.after(millis(waited));
        let second = claim(&mut suspects, later, &parts("aa dd"), 1);
        assert_eq!(second.is_some(), waited == 1000, "{waited} ms");
    }
    // Others may wait for its result.
    let requests = suspects::Suspects::default();
    let other = forward::fingerprint::Fingerprint::new(None, "h.example", "/draft/7", b"others");
    let due = suspects.result_due(now.after(millis(1005)), other, &parts("aa dd"), &requests);
    assert_eq!(due, Some(RESULT_TIMEOUT));
}

/// A sound part came with two fatal ones, so that it has lost more engines than either. Prompts without other
/// suspects are its first trial: the engine that another one crashes would count against it for long.
#[test]
fn prompts_with_other_suspects_are_tried_last() {
    let mut suspects = Suspects::default();
    for (number, names) in ["bad1 aa", "bad2 aa", "bad1 aa", "bad2 aa"]
        .iter()
        .enumerate()
    {
        let now = at(STEP_MS * number as u64);
        lose(&mut suspects, now, &format!("m{number}"), &[names]);
    }
    let now = at(STEP_MS * 3 + TRIAL_MS);
    assert!(refuses(&suspects, now, "bad1 aa") && refuses(&suspects, now, "cc aa"));
    assert_eq!(claim(&mut suspects, now, &parts("bad1 aa"), 1), None);
    assert!(claim(&mut suspects, now, &parts("cc aa"), 1).is_some());
    let now = at(STEP_MS * 3 + TRIAL_MS + 2000);
    assert!(
        claim(&mut suspects, now, &parts("bad1 aa"), 1).is_none(),
        "one is on its way"
    );
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bb", MAX_CRASHES).after(millis(TRIAL_MS));
    let requests = suspects::Suspects::default();
    let both = parts("aa bb");
    assert_eq!(suspects.claim_trial(now, &both, &requests, 1), []);
    let now = now.after(millis(2000));
    let claims = suspects.claim_trial(now, &both, &requests, 1);
    assert_eq!(claims.len(), 2);
    for claim in &claims {
        assert_eq!(suspects.has_won(&claims), None);
        suspects.apply(now, &Change::Claimed(*claim));
    }
    assert_eq!(suspects.has_won(&claims), Some(true));
    lose(&mut suspects, now, "m9", &["aa bb"]);
    // The second trial should tell them apart.
    let now = now.after(millis(15_000));
    assert_eq!(suspects.claim_trial(now, &both, &requests, 1), []);
    assert!(claim(&mut suspects, now, &parts("aa"), 1).is_some());
}

/// A fatal part is tried from time to time, which costs an engine each. That must end.
#[test]
fn number_of_trials_is_bounded() {
    let mut suspects = Suspects::default();
    let mut now = lose_engines(&mut suspects, "bad", MAX_CRASHES);
    let mut trials = 0;
    for _ in 0..RETENTION.as_secs() / 60 {
        now = now.after(millis(60_000));
        let Some(claim) = claim(&mut suspects, now, &parts("bad"), 1) else {
            continue;
        };
        trials += 1;
        suspects.apply(now, &Change::Claimed(claim));
        assert_eq!(suspects.has_won(&[claim]), Some(true));
        lose(&mut suspects, now, &format!("t{trials}"), &["bad"]);
        assert!(refuses(&suspects, now, "bad"));
    }
    assert_eq!(trials, 3);
    let end = now.after(RETENTION);
    assert!(!suspects.expire(end).is_empty());
    assert!(!refuses(&suspects, end, "bad"));
}

/// A harmless request was blamed for crashes that another one has caused, and no run of it is left that could clear
/// it. One over all instances is let through, and no second one if that crashes an engine.
#[test]
fn refused_request_is_tried_once() {
    let [mut a, mut b] = [(); 2].map(|()| Suspects::default());
    let mut requests = suspects::Suspects::default();
    let stream = forward::fingerprint::Fingerprint::new(None, "h.example", "/draft/7", b"stream");
    for number in 0..3 {
        let crash = suspects::Crash {
            endpoint: format!("m{number}"),
            events: 4,
            fingerprint: stream,
        };
        requests.record_crash(at(1000), crash);
    }
    assert_eq!(a.claim_request_trial(at(6999), stream, &requests, 1), None);
    let of_a = a.claim_request_trial(at(7000), stream, &requests, 1);
    let of_a = of_a.expect("a claim");
    assert_eq!(a.claim_request_trial(at(7000), stream, &requests, 1), None);
    let of_b = b.claim_request_trial(at(7000), stream, &requests, 2);
    let of_b = of_b.expect("a claim");
    for claim in [of_a, of_b] {
        a.apply(at(7100), &Change::Claimed(claim));
        b.apply(at(7100), &Change::Claimed(claim));
    }
    assert_eq!(
        (a.has_won(&[of_a]), b.has_won(&[of_b])),
        (Some(true), Some(false))
    );
    assert_eq!(
        b.claim_request_trial(at(60_000), stream, &requests, 2),
        None
    );
    a.clear_request_trial(stream);
    synchronize(at(60_000), &mut a, &mut b);
    requests.record_completion(at(60_000), stream);
    assert_eq!(
        b.claim_request_trial(at(60_000), stream, &requests, 2),
        None
    );
    assert_eq!(b.evidence(at(60_000), Part::of_request(stream)).trials, 0);
}

/// A request that has crashed its engines before its first event is at fault.
#[test]
fn request_that_never_began_is_not_tried() {
    let mut suspects = Suspects::default();
    let mut requests = suspects::Suspects::default();
    let fatal = forward::fingerprint::Fingerprint::new(None, "h.example", "/draft/7", b"fatal");
    for number in 0..3 {
        let crash = suspects::Crash {
            endpoint: format!("m{number}"),
            events: 0,
            fingerprint: fatal,
        };
        requests.record_crash(at(1000), crash);
    }
    assert_eq!(
        suspects.claim_request_trial(at(60_000), fatal, &requests, 1),
        None
    );
}

/// A claim that was read before the crashes counts, and one that is void does not.
#[test]
fn claims_are_kept_while_their_part_is_a_suspect() {
    let mut suspects = Suspects::default();
    let claim = Claim {
        instance: 7,
        number: 2,
        part: Part::new("bad"),
    };
    suspects.apply(at(0), &Change::Claimed(claim));
    let now = lose_engines(&mut suspects, "bad", MAX_CRASHES);
    assert_eq!(suspects.evidence(now, claim.part).trials, 2);
    suspects.record_proof(now, &parts("bad"));
    assert!(
        suspects
            .unpublished()
            .contains(&Change::ClaimsCleared(claim.part))
    );
    assert_eq!(suspects.evidence(now, claim.part).trials, 0);
    suspects.apply(now, &Change::Claimed(claim));
    suspects.apply(now, &Change::ClaimsCleared(claim.part));
    assert_eq!(suspects.evidence(now, claim.part).trials, 0);
}

/// A caller misspells the id of a part that crashes engines. That must neither spare the part nor blame others.
#[test]
fn parts_with_invalid_ids_are_told_apart() {
    let ids = ["bad", "bad!", "x", "", "0bad"].map(Part::new);
    assert_eq!(ids[0], ids[4], "leading zeros");
    for (index, id) in ids[..4].iter().enumerate() {
        assert!(!ids[..index].contains(id), "{id}");
    }
}

/// Callers can make up any number of parts.
#[test]
fn number_of_suspects_is_bounded() {
    let mut suspects = Suspects::default();
    lose_engines(&mut suspects, "bad", MAX_CRASHES);
    for number in 0..3 * MAX_SUSPECTS {
        let now = at(10_000 + number as u64);
        lose(&mut suspects, now, "m9", &[&format!("{number:x}f")]);
    }
    let now = at(20_000);
    assert_eq!(suspects.expire(now).len(), 2 * MAX_SUSPECTS + 1);
    assert!(suspects.expire(now).is_empty());
    assert!(refuses(&suspects, now, "bad"));
    assert!(suspects.unpublished().len() <= 2 * MAX_SUSPECTS);
    for number in 0..1000 {
        lose(&mut suspects, now, &format!("n{number}"), &["bad"]);
    }
    assert!(suspects.evidence(now, Part::new("bad")).crashes < 20);
    for number in 0..5000 {
        suspects.record_proof(now, &[Part::new(&format!("{number:x}"))]);
    }
}

/// The store has lost the history in which another instance cleared a part.
#[test]
fn crashes_that_the_store_no_longer_has_are_dropped() {
    let mut suspects = Suspects::default();
    let now = lose_engines(&mut suspects, "aa bad", MAX_CRASHES);
    for change in suspects.unpublished().to_vec() {
        suspects.apply(now, &change);
    }
    lose(&mut suspects, now, "m9", &["own"]);
    let listed = (1..=MAX_CRASHES).map(|number| Crash {
        endpoint: format!("m{number}"),
        moment: 1,
        part: Part::new("bad"),
    });
    suspects.drop_unlisted(&listed.collect::<Vec<_>>());
    let crashes = |name| suspects.evidence(now, Part::new(name)).crashes;
    assert_eq!(
        (crashes("aa"), crashes("bad"), crashes("own")),
        (0, MAX_CRASHES, 1)
    );
}

/// Other requests are refused for a part, or are equal to a refused one, while one of them is tried elsewhere. They
/// must wait for the result, and not longer than it can come.
#[test]
fn requests_wait_for_the_result_of_a_trial() {
    let left_after = |ms| RESULT_TIMEOUT.saturating_sub(millis(ms));
    let [mut a, mut b] = [(); 2].map(|()| Suspects::default());
    let mut requests = suspects::Suspects::default();
    let [stream, other] = [b"stream", b"others"]
        .map(|body| forward::fingerprint::Fingerprint::new(None, "h.example", "/draft/7", body));
    let now = lose_engines(&mut a, "aa", MAX_PROVEN_CRASHES).after(millis(TRIAL_MS));
    synchronize(now, &mut a, &mut b);
    assert_eq!(b.result_due(now, other, &parts("aa cc"), &requests), None);
    claim(&mut a, now, &parts("aa"), 1).expect("a claim");
    synchronize(now, &mut a, &mut b);
    let due = |suspects: &Suspects, requests: &_, now| {
        suspects.result_due(now, other, &parts("aa cc"), requests)
    };
    assert_eq!(due(&b, &requests, now), Some(RESULT_TIMEOUT));
    let soon = now.after(millis(400));
    assert_eq!(due(&b, &requests, soon), Some(left_after(400)));
    assert_eq!(due(&b, &requests, now.after(RESULT_TIMEOUT)), None);
    lose(&mut a, soon, "m9", &["aa"]);
    synchronize(soon, &mut a, &mut b);
    assert_eq!(due(&b, &requests, soon), None);
    let crash = |number: u32| suspects::Crash {
        endpoint: format!("m{number}"),
        events: 4,
        fingerprint: stream,
    };
    for number in 0..3 {
        requests.record_crash(at(1000), crash(number));
    }
    let due = |suspects: &Suspects, requests: &_| {
        suspects.result_due(at(7100), stream, &parts("cc"), requests)
    };
    assert_eq!(due(&b, &requests), None);
    a.claim_request_trial(at(7000), stream, &requests, 1);
    synchronize(at(7000), &mut a, &mut b);
    assert_eq!(due(&b, &requests), Some(left_after(100)));
    requests.record_crash(at(7050), crash(3));
    assert_eq!(due(&b, &requests), None);
}
