//! What customers ask an instance for, over a short window.

use {super::Key, crate::prelude::*};

/// Number of slots of the window.
const SLOTS: u8 = 5;

/// Length of a slot. A customer that no longer presses is free again once the window has passed.
const SLOT_MICROS: u64 = 250_000;

/// Length of the window, in seconds.
const WINDOW_SECONDS: f64 = 1.25;

/// Maximum number of customers with rows of their own, over all services.
const MAX_ROWS: usize = 512;

/// What a customer asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Row {
    /// The customer.
    pub key: Key,
    /// Room that its requests would take if all were admitted.
    pub offered: f64,
    /// Number of its requests in the window, by which the estimate is trusted.
    pub requests: u32,
}

/// The window of one customer.
#[derive(Clone, Copy, Debug)]
struct Window {
    key: Key,
    /// Number of the slot that was written last.
    last: u64,
    /// Cost and number of requests by slot.
    slots: [(f64, u32); SLOTS as usize],
}

impl Window {
    /// Empties the slots that are older than the window.
    fn advance(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.last);
        for step in 1..=passed.min(u64::from(SLOTS)) {
            self.slots[index(self.last + step)] = (0.0, 0);
        }
        self.last = self.last.max(slot);
    }

    fn row(&self) -> Row {
        let cost = self.slots.iter().map(|(cost, _)| cost).sum::<f64>();
        Row {
            key: self.key,
            offered: cost / WINDOW_SECONDS,
            requests: self.slots.iter().map(|(_, requests)| requests).sum(),
        }
    }
}

/// What customers ask this instance for.
#[derive(Debug, Default)]
pub struct Rates {
    /// Sorted by key.
    windows: Vec<Window>,
}

impl Rates {
    /// Records a request.
    pub fn add(&mut self, now: Time, key: Key, cost: f64) {
        let slot = slot(now);
        let window = self.window(slot, key);
        window.advance(slot);
        let (total, requests) = &mut window.slots[index(slot)];
        *total += cost;
        *requests += 1;
    }

    /// What each customer asks for, sorted by key.
    pub fn rows(&mut self, now: Time) -> Vec<Row> {
        self.advance(slot(now));
        self.windows.iter().map(Window::row).collect()
    }

    /// Drops customers without requests in the window.
    fn advance(&mut self, slot: u64) {
        self.windows.retain_mut(|window| {
            window.advance(slot);
            window.slots.iter().any(|(_, requests)| *requests > 0)
        });
    }

    /// The window of a customer; the one for all others if there are too many.
    fn window(&mut self, slot: u64, key: Key) -> &mut Window {
        let mut key = key;
        let mut found = self.find(key);
        if found.is_err() && self.windows.len() >= MAX_ROWS {
            self.advance(slot);
            if self.windows.len() >= MAX_ROWS {
                key.customer = Key::OTHERS;
            }
            found = self.find(key);
        }
        let index = found.unwrap_or_else(|index| {
            let window = Window {
                key,
                last: slot,
                slots: [(0.0, 0); SLOTS as usize],
            };
            self.windows.insert(index, window);
            index
        });
        &mut self.windows[index]
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.windows.binary_search_by_key(&key, |window| window.key)
    }
}

/// Adds `rows` to `sums`; both are sorted by key.
pub fn add_rows(sums: &mut Vec<Row>, rows: &[Row]) {
    for row in rows {
        match sums.binary_search_by_key(&row.key, |sum| sum.key) {
            Ok(index) => {
                sums[index].offered += row.offered;
                sums[index].requests = sums[index].requests.saturating_add(row.requests);
            }
            Err(index) => sums.insert(index, *row),
        }
    }
}

/// Subtracts rows that were added before.
pub fn subtract_rows(sums: &mut [Row], rows: &[Row]) {
    for row in rows {
        if let Ok(index) = sums.binary_search_by_key(&row.key, |sum| sum.key) {
            sums[index].offered = (sums[index].offered - row.offered).max(0.0);
            sums[index].requests = sums[index].requests.saturating_sub(row.requests);
        }
    }
}

/// The rows of the customers that ask for most at each service, at most `limit` in total; the others
/// are added up to one row for each service. Rows are sorted by key, before and after.
#[must_use]
pub fn heaviest(rows: &[Row], limit: usize) -> Vec<Row> {
    let services = rows.chunk_by(|one, other| one.key.service == other.key.service);
    let share = limit / services.clone().count().max(1);
    let mut kept = Vec::new();
    for rows in services {
        let mut rows = rows.to_vec();
        rows.sort_by(|one, other| other.offered.total_cmp(&one.offered));
        let mut others = Row {
            key: Key {
                customer: Key::OTHERS,
                service: rows[0].key.service,
            },
            ..Row::default()
        };
        let keep = if rows.len() > share {
            share.saturating_sub(1)
        } else {
            rows.len()
        };
        for (index, row) in rows.into_iter().enumerate() {
            if index < keep && row.key.is_customer() {
                kept.push(row);
            } else {
                others.offered += row.offered;
                others.requests = others.requests.saturating_add(row.requests);
            }
        }
        if others.requests > 0 {
            kept.push(others);
        }
    }
    kept.sort_unstable_by_key(|row| row.key);
    kept
}

const fn slot(now: Time) -> u64 {
    now.micros() / SLOT_MICROS
}

/// Index of a slot in the window.
fn index(slot: u64) -> usize {
    usize::try_from(slot % u64::from(SLOTS)).unwrap_or_default()
}
