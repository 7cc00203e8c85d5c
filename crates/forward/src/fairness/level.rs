//! How much of what customers ask for fits into a service.

use super::Key;

/// Share of a service's room in use from which on customers that press get less than the estimate of what
/// is left. The estimate knows neither copies of runs nor engines that are slower than others.
const CROWDED_FILL: f64 = 0.7;

/// Share of the room in use at which they get no more than usual.
const FULL_FILL: f64 = 0.9;

/// Growth of a customer's demand, relative to that of all others together, from which on it presses.
const PRESSING_GROWTH: f64 = 2.0;

/// Number of standard deviations by which a customer's demand must exceed what chance would give.
const CONFIDENCE: f64 = 3.0;

/// What a customer asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The customer.
    pub key: Key,
    /// Room that its requests would take if all were admitted.
    pub offered: f64,
    /// Number of requests that this is estimated from.
    pub requests: u32,
    /// What it usually asks for.
    pub usual: f64,
    /// Its share relative to that of others.
    pub weight: f64,
}

/// A customer that is held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Share of its requests that is admitted.
    pub admitted: f64,
    /// The customer.
    pub key: Key,
}

/// The customers that are held back for a service with this room.
///
/// Room is shared by max-min fairness, weighted by what customers usually ask for. Only customers whose
/// demand has grown far more than that of the others are held to it: if all ask for more, no one's share is
/// in the way of another's.
#[must_use]
pub fn holds(demands: &[Demand], room: f64, fill: f64) -> Vec<Hold> {
    let left = ((FULL_FILL - fill) / (FULL_FILL - CROWDED_FILL)).clamp(0.0, 1.0);
    let Some(level) = fair_level(demands, room * left) else {
        return Vec::new();
    };
    // What is usual fits, unless all ask for more than the room.
    let entitled = fair_level(demands, room).map_or(1.0, |level| level.min(1.0));
    let level = level.max(entitled);
    let offered = demands.iter().map(|demand| demand.offered).sum::<f64>();
    let usual = demands.iter().map(|demand| demand.usual).sum::<f64>();
    let mut holds = Vec::new();
    for demand in demands {
        let others = (offered - demand.offered, usual - demand.usual);
        let share = level * demand.weight;
        if share < demand.offered && is_pressing(demand, others) {
            holds.push(Hold {
                admitted: share / demand.offered,
                key: demand.key,
            });
        }
    }
    holds
}

/// Demand per weight up to which all demands together fit into `room`; `None` if all of them fit.
#[must_use]
pub fn fair_level(demands: &[Demand], room: f64) -> Option<f64> {
    let mut growths = demands
        .iter()
        .filter(|demand| demand.weight > 0.0)
        .map(|demand| (demand.offered / demand.weight, demand.weight))
        .collect::<Vec<_>>();
    growths.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let mut weights = growths.iter().map(|(_, weight)| weight).sum::<f64>();
    let mut room = room;
    for (growth, weight) in growths {
        if growth * weights > room {
            return Some(room.max(0.0) / weights);
        }
        room -= growth * weight;
        weights -= weight;
    }
    None
}

/// Whether a customer's demand has grown far more than that of the others (offered, and usual).
fn is_pressing(demand: &Demand, (offered, usual): (f64, f64)) -> bool {
    if !demand.key.is_customer() || offered <= 0.0 || usual <= 0.0 {
        return false;
    }
    let certainty = 1.0 - CONFIDENCE / f64::from(demand.requests.max(1)).sqrt();
    let growth = demand.offered / demand.weight * certainty;
    growth > PRESSING_GROWTH * (offered / usual).max(1.0)
}
