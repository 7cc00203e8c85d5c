//! Application of configuration records and snapshots.

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

/// Of two concurrent changes of an item, the first in the log is applied, and the second
/// reports the offset of the first.
#[test]
fn second_of_two_concurrent_changes_conflicts() {
    let mut config = Config::default();
    assert_eq!(config.apply(0, &domain(true, None)), ApplyResult::InForce);
    assert_eq!(
        config.apply(1, &domain(false, Some(0))),
        ApplyResult::InForce
    );
    let conflict = config.apply(2, &domain(true, Some(0)));
    let ApplyResult::Conflict { item, winner } = conflict else {
        panic!("{conflict:?}");
    };
    assert_eq!((item.to_string().as_str(), winner), ("domain.sor", Some(1)));
    assert!(!config.domain_disabled("sor"));
}

/// A record that is received again must not revert later records.
#[test]
fn repeated_record_is_ignored() {
    let mut config = Config::default();
    config.apply(0, &domain(true, None));
    config.apply(1, &domain(false, Some(0)));
    assert_eq!(
        config.apply(0, &domain(true, None)),
        ApplyResult::AlreadyApplied
    );
    assert!(!config.domain_disabled("sor"));
    assert_eq!(config.next(), 2);
}

/// A snapshot older than the configuration in force must not revert it; a newer one replaces
/// all of it.
#[test]
fn only_a_newer_snapshot_is_restored() {
    let mut config = Config::default();
    config.apply(0, &domain(true, None));
    let old = config.snapshot();
    config.apply(1, &domain(false, Some(0)));
    assert!(!config.restore(old.clone()));
    assert!(!config.domain_disabled("sor"));
    let mut fresh = Config::default();
    assert!(fresh.restore(config.snapshot()));
    assert_eq!((fresh.next(), fresh.domain_disabled("sor")), (2, false));
    let mut behind = Config::default();
    assert!(behind.restore(old));
    assert!(behind.domain_disabled("sor"));
    assert!(behind.restore(config.snapshot()));
    assert!(!behind.domain_disabled("sor"));
}

/// If one change of a record conflicts, the others must not be applied either.
#[test]
fn conflicting_record_is_not_applied_partially() {
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
    assert!(config.domain_disabled("sor"));
}
