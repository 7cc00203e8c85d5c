//! Work that leaves its failure domain, under load. Each test names the load that it answers.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "counts of a simulation are small"
)]

mod domains;

use {
    domains::{Count, Service},
    forward::overflow::{Side, Sides, Strain},
    rand::{SeedableRng as _, rngs::SmallRng},
    std::time::Duration,
};

/// Numbers of instances over all failure domains.
const INSTANCES: [usize; 3] = [7, 80, 300];

/// Endpoints of a failure domain.
const ENDPOINTS: usize = 10;

/// Time until a service is in balance: what waits since the start has been served by then.
const SETTLE_MS: u64 = 10_000;

/// Time over which a balance is measured.
const SPAN_MS: u64 = 4000;

/// Share of answers that may be late: callers' targets hold for 95 in 100.
const MAX_LATE: f64 = 0.05;

/// Demand of a failure domain that its endpoints serve well.
const CALM: f64 = 0.5;

/// Plays a service until it is in balance, then for a while.
fn settle(service: &mut Service) -> Vec<Count> {
    service.play(SETTLE_MS);
    service.play(SPAN_MS)
}

// A domain that has room sends its requests elsewhere, over slower links, for nothing.
#[test]
fn a_domain_with_room_keeps_its_requests() {
    for instances in INSTANCES {
        let mut service = Service::new(1, instances, &[(ENDPOINTS, CALM); 3]);
        for count in settle(&mut service) {
            assert!(count.share_left() <= 0.01, "{count:?}");
            assert!(count.share_late() <= 0.01, "{count:?}");
        }
    }
}

// Callers of a domain whose endpoints are too few wait, though other domains have room.
#[test]
fn a_domain_that_is_short_by_10_30_or_60_in_100_is_served_in_time() {
    for short in [0.1, 0.3, 0.6] {
        let demand = 1.0 / (1.0 - short);
        let mut shares = Vec::new();
        for instances in INSTANCES {
            let loads = [
                (ENDPOINTS, demand),
                (3 * ENDPOINTS, CALM),
                (3 * ENDPOINTS, CALM),
            ];
            let mut service = Service::new(2, instances, &loads);
            let counts = settle(&mut service);
            for count in &counts {
                assert!(count.share_late() <= MAX_LATE, "{short} {counts:?}");
            }
            assert!(counts[0].share_left() >= short, "{short} {counts:?}");
            assert!(counts[1].share_left() <= 0.01, "{short} {counts:?}");
            shares.push(counts[0].share_left());
        }
        // The number of instances does not change what leaves.
        let (least, most) = shares
            .iter()
            .fold((1.0_f64, 0.0_f64), |(least, most), share| {
                (least.min(*share), most.max(*share))
            });
        assert!(most <= least * 1.1, "{short} {shares:?}");
    }
}

// Two domains that are short at once fill the third one until its own callers wait.
#[test]
fn two_short_domains_leave_the_third_one_in_time() {
    for instances in INSTANCES {
        let loads = [(ENDPOINTS, 1.2), (ENDPOINTS, 1.2), (4 * ENDPOINTS, CALM)];
        let mut service = Service::new(3, instances, &loads);
        let counts = settle(&mut service);
        for count in &counts {
            assert!(count.share_late() <= MAX_LATE, "{counts:?}");
        }
    }
}

// Domains that are all short exchange their requests, which costs transfers and helps nobody.
#[test]
fn domains_that_are_all_short_keep_their_requests() {
    for instances in INSTANCES {
        let mut service = Service::new(4, instances, &[(ENDPOINTS, 1.1); 3]);
        let counts = settle(&mut service);
        let left = counts.iter().map(|count| count.left).sum::<u32>();
        let sent = counts.iter().map(|count| count.sent).sum::<u32>();
        assert!(f64::from(left) <= 0.1 * f64::from(sent), "{counts:?}");
    }
}

// All instances of a domain leave it together and come back together.
#[test]
fn what_leaves_does_not_swing_with_late_knowledge() {
    for instances in INSTANCES {
        let loads = [
            (ENDPOINTS, 1.4),
            (2 * ENDPOINTS, CALM),
            (2 * ENDPOINTS, CALM),
        ];
        let mut service = Service::new(5, instances, &loads);
        service.delay_ms = 250;
        service.play(SETTLE_MS);
        let shares = (0..20).map(|_| service.play(200)[0].share_left());
        let shares = shares.collect::<Vec<_>>();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let swings = shares.windows(2).filter(|pair| {
            let apart = (pair[0] - pair[1]).abs() > mean;
            apart && (pair[0] - mean) * (pair[1] - mean) < 0.0
        });
        assert!(swings.count() <= 2, "{shares:?}");
    }
}

// A domain that is cut off must serve its callers itself, and overflow again once the cut has ended.
#[test]
fn a_cut_keeps_requests_at_home_and_leaves_nothing_behind() {
    for instances in INSTANCES {
        let loads = [
            (ENDPOINTS, 1.2),
            (2 * ENDPOINTS, CALM),
            (2 * ENDPOINTS, CALM),
        ];
        let mut service = Service::new(6, instances, &loads);
        let before = settle(&mut service);
        service.cut = Some(0);
        let during = service.play(SPAN_MS);
        assert_eq!(during[0].left, 0, "{during:?}");
        service.cut = None;
        service.play(SETTLE_MS);
        let after = service.play(SPAN_MS);
        assert!(after[0].share_late() <= MAX_LATE, "{before:?} {after:?}");
    }
}

// Requests stay away although the endpoints of their domain have come back.
#[test]
fn requests_come_home_with_their_endpoints() {
    for instances in INSTANCES {
        let loads = [
            (ENDPOINTS, 1.5),
            (2 * ENDPOINTS, CALM),
            (2 * ENDPOINTS, CALM),
        ];
        let mut service = Service::new(7, instances, &loads);
        let short = settle(&mut service);
        assert!(short[0].share_left() >= 0.3, "{short:?}");
        service.resize(0, 3 * ENDPOINTS);
        let back = settle(&mut service);
        assert!(back[0].share_left() <= 0.01, "{back:?}");
    }
}

// A request is kept from the only endpoint that there is because that is elsewhere.
#[test]
fn a_request_without_endpoints_at_home_leaves() {
    let mut random = SmallRng::seed_from_u64(8);
    let away = Some(Strain::of_slots(5, 6));
    let sides = Sides { away, home: None };
    assert_eq!(sides.choose(&mut random), Some(Side::Away));
    assert_eq!(Sides::default().choose(&mut random), None);
}

// Transfers that operators pay for are made for a gain that callers hardly notice.
#[test]
fn an_expensive_transfer_keeps_requests_at_home() {
    let left = Duration::from_millis(1500);
    let home = Strain::of_wait(Duration::from_millis(1400), left);
    let idle = Strain::of_wait(Duration::from_millis(100), left);
    let mut random = SmallRng::seed_from_u64(9);
    let mut left_of = |away: Strain| {
        let sides = Sides {
            away: Some(away),
            home: Some(home),
        };
        let chosen = (0..100).filter(|_| sides.choose(&mut random) == Some(Side::Away));
        chosen.count()
    };
    assert_eq!(left_of(idle), 100);
    let expensive = idle.with_transfer(75_000.0, Duration::from_secs(20), left);
    assert_eq!(left_of(expensive), 0);
}
