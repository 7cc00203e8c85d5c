//! Reports of load and watermarks to peers.

use {
    super::{connections, role},
    crate::{
        clock,
        message::{
            Answer, BASE_TOPICS, Message, RawChanges, RawWatermark, Report, Row, Sum, Trailer, row,
        },
        prelude::*,
        topic,
    },
    forward::{
        aggregate::members::{Link, Role},
        load::{self, digest},
    },
    peer::datagram::DatagramSocket,
    platform::store::Topic,
};

/// Shortest time between two reports. Placement uses the last reports, so this is shorter
/// than the usual time between two arrivals.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest time between two reports of a member, which has a fraction of the load.
const MEMBER_MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time between two reports. Watermarks are confirmed by an echoed number, so this
/// adds twice to the age of data.
const MAX_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two complete sums of an aggregator.
const SUM_INTERVAL: Duration = Duration::from_millis(120);

/// Time for which grown rows are batched before they are sent.
const GROWN_ROWS_DELAY: Duration = Duration::from_millis(8);

/// Maximum number of datagrams for one answer; further rows follow with the next one.
const MAX_ANSWER_DATAGRAMS: usize = 4;

/// Age up to which an aggregator's rows are used for placement without a refresh.
const RECENT_ROWS_AGE: Duration = Duration::from_millis(20);

/// How long placement waits for newer rows.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(15);

/// Maximum number of rows in one report, the busiest endpoints first, so that it fits into a
/// datagram.
const MAX_REPORT_ROWS: usize = 90;

/// Maximum number of rows in one datagram of a sum or an answer.
const MAX_DATAGRAM_ROWS: usize = 64;

/// Sends reports and sums; never returns.
pub async fn run(shared: &Shared, datagrams: &DatagramSocket) {
    let mut full_sum_at = clock::now();
    loop {
        let role = role(shared);
        match role {
            Role::Aggregator => sum_due(shared, full_sum_at).await,
            Role::Equal => load_changed(shared, MAX_INTERVAL.saturating_sub(MIN_INTERVAL)).await,
            Role::Member => report_due(shared).await,
        }
        connections::skip_unresponsive(shared, datagrams);
        shared.select_load_source(role);
        let loads = own_loads(shared);
        let links = shared.links();
        match role {
            Role::Aggregator => {
                let now = clock::now();
                let is_full = now >= full_sum_at;
                if is_full {
                    full_sum_at = now.after(SUM_INTERVAL);
                }
                shared.publish(loads.clone());
                send_report(shared, datagrams, &links, &loads);
                send_sum(shared, datagrams, &links, &loads, is_full);
            }
            Role::Equal => {
                send_report(shared, datagrams, &links, &loads);
                sleep(MIN_INTERVAL).await;
            }
            Role::Member => send_report(shared, datagrams, &links, &loads),
        }
    }
}

/// Waits until an aggregator's next sum is due: a complete one at `full_sum_at`, or an earlier
/// one of grown rows after [`GROWN_ROWS_DELAY`].
async fn sum_due(shared: &Shared, full_sum_at: Time) {
    let left = full_sum_at.since(clock::now());
    let now = timeout(left, shared.report_now.notified());
    if now.await.is_ok() {
        sleep(GROWN_ROWS_DELAY).await;
    }
}

/// Requests the aggregator's newest rows before a placement, and waits for them.
///
/// Members place few requests, but often several of them at the same time: with the rows of their
/// last reports, those that do so within the same quarter of a second would all pick the same
/// engine.
pub async fn refresh(shared: &Shared) {
    let now = clock::now();
    if role(shared) != Role::Member
        || shared
            .state
            .borrow()
            .sums
            .views
            .is_recent(now, RECENT_ROWS_AGE)
    {
        return;
    }
    let rows_received = shared.rows_received.notified();
    shared.report_now.notify_one();
    let _received = timeout(REFRESH_TIMEOUT, rows_received).await;
}

/// Waits until a member's next report is due: immediately if one is requested, otherwise when
/// the load has changed and [`MEMBER_MIN_INTERVAL`] has passed, at the latest after
/// [`MAX_INTERVAL`].
async fn report_due(shared: &Shared) {
    let now = timeout(MEMBER_MIN_INTERVAL, shared.report_now.notified());
    if now.await.is_ok() {
        return;
    }
    tokio::select! {
        () = load_changed(shared, MAX_INTERVAL.saturating_sub(MEMBER_MIN_INTERVAL)) => {}
        () = shared.report_now.notified() => {}
    }
}

/// Waits until the load has changed, at most for `limit`.
async fn load_changed(shared: &Shared, limit: Duration) {
    let _changed = timeout(limit, shared.load.notified()).await;
}

/// Load of this instance, sorted by digest.
fn own_loads(shared: &Shared) -> load::Report {
    let mut loads = shared.state.borrow().report();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    loads.truncate(MAX_REPORT_ROWS);
    let mut loads = loads
        .into_iter()
        .map(|(id, load)| (digest(&id), load))
        .collect::<Vec<_>>();
    loads.sort_unstable_by_key(|(digest, _)| *digest);
    loads
}

/// This instance's watermarks of the topics that all versions follow.
fn watermarks(shared: &Shared) -> [RawWatermark; BASE_TOPICS] {
    let mut watermarks = [RawWatermark::default(); BASE_TOPICS];
    for (watermark, topic) in watermarks.iter_mut().zip(topic::ALL) {
        *watermark = raw_watermark(shared, topic);
    }
    watermarks
}

/// The trailer of all messages; empty while no rollout is in progress.
fn trailer(shared: &Shared) -> Trailer {
    if !shared.state.borrow().rollouts.is_active() {
        return Trailer::default();
    }
    let topics = topic::ALL.into_iter().skip(BASE_TOPICS);
    Trailer {
        watermarks: topics.map(|topic| raw_watermark(shared, topic)).collect(),
    }
}

fn raw_watermark(shared: &Shared, topic: Topic) -> RawWatermark {
    let watermark = shared.topic(topic).watermark();
    let age = watermark
        .age
        .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
    (age, watermark.position)
}

/// Reports the load to the aggregators of the own failure domain, or to all peers if instances
/// are few.
fn send_report(shared: &Shared, datagrams: &DatagramSocket, links: &[Link], loads: &load::Report) {
    let now = clock::now();
    let role = role(shared);
    let number = now.micros();
    let many = role != Role::Equal;
    let rows = loads.iter().copied().map(row).collect::<Vec<_>>();
    let mut report = Report {
        echo: (0, 0),
        held_version: None,
        incarnation: shared.incarnation,
        loads: rows,
        name: shared.settings.instance.name.clone(),
        number,
        watermarks: watermarks(shared),
    };
    let mut reported = false;
    for link in links.iter().filter(|link| link.same_domain || !many) {
        let name = shared.state.borrow().members.name(link.key).to_string();
        let Some(address) = shared.peers.address(&name) else {
            continue;
        };
        report.echo = shared.peers.echo(&name);
        if role == Role::Member {
            report.held_version = shared.held_version(&name, now);
        }
        if many && !reported {
            let mut state = shared.state.borrow_mut();
            state.sums.views.record_report(number, loads.clone());
            reported = true;
        }
        if many {
            shared.expect_answer(datagrams, link.key, address);
        }
        send(shared, datagrams, address, &Message::Report(report.clone()));
    }
}

/// Sends this failure domain's load to the aggregators of others: all rows, or those that have
/// grown.
fn send_sum(
    shared: &Shared,
    datagrams: &DatagramSocket,
    links: &[Link],
    own: &load::Report,
    is_full: bool,
) {
    let now = clock::now();
    let mut names = shared.state.borrow().sums.domains.senders();
    for link in links.iter().filter(|link| !link.same_domain) {
        let name = shared.state.borrow().members.name(link.key).to_string();
        if let Some(address) = shared.peers.address(&name) {
            shared.expect_answer(datagrams, link.key, address);
        }
        names.push(name);
    }
    names.sort_unstable();
    names.dedup();
    let (loads, members) = shared.domain_load(own, now);
    let grown = shared.grown.take();
    let parts = if is_full {
        parts(&loads)
    } else {
        grown_rows(&loads, grown, own)
    };
    let watermarks = watermarks(shared);
    for name in names {
        let Some(address) = shared.peers.address(&name) else {
            continue;
        };
        for (covers, rows) in parts.clone() {
            let sum = Sum {
                covers,
                echo: shared.peers.echo(&name),
                incarnation: shared.incarnation,
                loads: rows,
                members,
                name: shared.settings.instance.name.clone(),
                number: now.micros(),
                watermarks,
            };
            send(shared, datagrams, address, &Message::Sum(sum));
        }
    }
}

/// Rows of one datagram of a sum, with the range of digests that it covers; without a range
/// it holds changed rows only.
type SumRows = (Option<(u32, u32)>, Vec<Row>);

/// The rows that have grown, and those of this instance, split into datagrams.
fn grown_rows(loads: &load::Report, mut grown: Vec<u32>, own: &load::Report) -> Vec<SumRows> {
    grown.extend(own.iter().map(|(digest, _)| *digest));
    grown.sort_unstable();
    grown.dedup();
    let rows = loads
        .iter()
        .filter(|(digest, _)| grown.binary_search(digest).is_ok())
        .copied()
        .map(row)
        .collect::<Vec<_>>();
    rows.chunks(MAX_DATAGRAM_ROWS)
        .map(|rows| (None, rows.to_vec()))
        .collect()
}

/// Splits sorted rows into datagrams, each with the range of digests that it covers.
fn parts(loads: &load::Report) -> Vec<SumRows> {
    let mut parts = Vec::new();
    let mut from = 0;
    let mut chunks = loads.chunks(MAX_DATAGRAM_ROWS).peekable();
    while let Some(chunk) = chunks.next() {
        let next = chunks.peek().and_then(|next| next.first());
        let to = next.map_or(u32::MAX, |(digest, _)| digest - 1);
        parts.push((Some((from, to)), chunk.iter().copied().map(row).collect()));
        from = to.saturating_add(1);
    }
    if parts.is_empty() {
        parts.push((Some((0, u32::MAX)), Vec::new()));
    }
    parts
}

/// Answers the report of a member.
pub fn send_answer(shared: &Shared, datagrams: &DatagramSocket, report: &Report) {
    let Some(address) = shared.peers.address(&report.name) else {
        return;
    };
    let now = clock::now();
    let mut answer = Answer {
        changes: None,
        echo: (report.incarnation, report.number),
        incarnation: shared.incarnation,
        members: shared.reporting_instances(now),
        name: shared.settings.instance.name.clone(),
        number: now.micros(),
        watermarks: watermarks(shared),
    };
    let Some((incarnation, version)) = report.held_version else {
        send(shared, datagrams, address, &Message::Answer(answer));
        return;
    };
    let mut version = if incarnation == shared.incarnation {
        version
    } else {
        0
    };
    for _ in 0..MAX_ANSWER_DATAGRAMS {
        let changes = shared
            .state
            .borrow()
            .sums
            .table
            .changes(version, MAX_DATAGRAM_ROWS);
        let complete = changes.rows.len() < MAX_DATAGRAM_ROWS;
        version = changes.version;
        answer.changes = Some(RawChanges {
            reset: changes.snapshot,
            loads: changes.rows.into_iter().map(row).collect(),
            version,
        });
        send(shared, datagrams, address, &Message::Answer(answer.clone()));
        if complete {
            return;
        }
    }
}

fn send(shared: &Shared, datagrams: &DatagramSocket, address: SocketAddr, message: &Message) {
    let Some(data) = message.encode(&trailer(shared)) else {
        return;
    };
    if let Err(error) = datagrams.send(address, data) {
        log::trace!(address:%, error:%; "cannot send message");
    }
}
