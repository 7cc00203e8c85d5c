//! What is published is in force everywhere alike and never reverts.

use decision::{
    config::{ApplyResult, Config},
    record::{Body, Change, Domain, Item, Kind, Record},
};

fn domain(out: bool, replaces: Option<u64>) -> Record {
    Record {
        changes: vec![Change {
            body: Some(Body::Domain(Domain { out })),
            item: Item {
                kind: Kind::Domain,
                name: "sor".to_string(),
            },
            replaces,
        }],
        schema: 1,
    }
}

/// Two operators change the same failure domain at once. Without a rule each
/// would believe to have won; the first in the log wins, and the second is told
/// which record beat it.
#[test]
fn the_second_of_two_racing_records_is_beaten_by_name() {
    let mut config = Config::default();
    assert_eq!(config.apply(0, &domain(true, None)), ApplyResult::InForce);
    assert_eq!(
        config.apply(1, &domain(false, Some(0))),
        ApplyResult::InForce
    );
    let beaten = config.apply(2, &domain(true, Some(0)));
    let ApplyResult::Conflict { item, winner } = beaten else {
        panic!("{beaten:?}");
    };
    assert_eq!((item.to_string().as_str(), winner), ("domain.sor", Some(1)));
    assert!(!config.domain_out("sor"));
}

/// A record that was read before comes again, from a fellow instance or after a
/// new connection. Applied again it would take back what came after it.
#[test]
fn an_old_record_changes_nothing() {
    let mut config = Config::default();
    config.apply(0, &domain(true, None));
    config.apply(1, &domain(false, Some(0)));
    assert_eq!(
        config.apply(0, &domain(true, None)),
        ApplyResult::AlreadyApplied
    );
    assert!(!config.domain_out("sor"));
    assert_eq!(config.next(), 2);
}

/// A snapshot older than what is in force comes late, from a fellow instance. It
/// must not take back what was accepted since; a newer one brings all of it,
/// removals included.
#[test]
fn only_a_newer_snapshot_changes_anything() {
    let mut config = Config::default();
    config.apply(0, &domain(true, None));
    let old = config.snapshot();
    config.apply(1, &domain(false, Some(0)));
    assert!(!config.restore(old.clone()));
    assert!(!config.domain_out("sor"));
    let mut fresh = Config::default();
    assert!(fresh.restore(config.snapshot()));
    assert_eq!((fresh.next(), fresh.domain_out("sor")), (2, false));
    let mut behind = Config::default();
    assert!(behind.restore(old));
    assert!(behind.domain_out("sor"));
    assert!(behind.restore(config.snapshot()));
    assert!(!behind.domain_out("sor"));
}

/// A record changes two items and lost the race for one. Half of it in force would
/// be a configuration that nobody published.
#[test]
fn a_record_is_in_force_whole_or_not_at_all() {
    let mut config = Config::default();
    config.apply(0, &domain(true, None));
    let mut both = domain(false, Some(0));
    both.changes.push(Change {
        body: None,
        item: Item {
            kind: Kind::Domain,
            name: "ndar-toute".to_string(),
        },
        replaces: Some(7),
    });
    assert!(matches!(
        config.apply(1, &both),
        ApplyResult::Conflict { winner: None, .. }
    ));
    assert!(config.domain_out("sor"));
}
