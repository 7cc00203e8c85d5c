//! Handling of messages from peers.

use {
    super::{customers, limits, paces, records, report, role, statements},
    crate::{
        clock, follow,
        message::{
            Answer, Batch, Message, RawWatermark, Report, Sum, Trailer, all_watermarks, load,
        },
        prelude::*,
        topic,
    },
    forward::{
        aggregate::{domains::SumPart, members::Role, table::Changes, view},
        reader::{EchoTimestamp, TOPICS, Watermark},
    },
    peer::datagram::DatagramSocket,
    tokio::sync::mpsc,
};

/// Handles messages until the channel closes.
pub async fn run(shared: &Shared, datagrams: &DatagramSocket, mut messages: mpsc::Receiver<Bytes>) {
    while let Some(data) = messages.recv().await {
        let (message, trailer) = match Message::decode(&data) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::warn!(error:%; "cannot decode message from peer instance");
                continue;
            }
        };
        match message {
            Message::Answer(answer) => handle_answer(shared, answer, &trailer),
            Message::Customers(customers) => {
                customers::receive(shared, datagrams, &customers);
            }
            Message::Limits(told) => limits::receive(shared, told),
            Message::Records(data) => match Batch::decompress(&data) {
                Ok(batch) => records::receive(shared, batch),
                Err(error) => log::warn!(error:%; "cannot decode records from peer instance"),
            },
            Message::Report(report) => handle_report(shared, datagrams, report, &trailer),
            Message::Sum(sum) => handle_sum(shared, sum, &trailer),
            Message::Statements(told) => statements::receive(shared, &told),
            Message::Paces(told) => paces::receive(shared, datagrams, &told),
        }
    }
}

fn handle_report(
    shared: &Shared,
    datagrams: &DatagramSocket,
    mut report: Report,
    trailer: &Trailer,
) {
    let now = clock::now();
    let watermarks = all_watermarks(report.watermarks, trailer);
    note_sender(shared, &report.name, report.incarnation, report.number);
    let loads = report.loads.drain(..).map(load).collect();
    let role = role(shared);
    if role == Role::Equal {
        let mut state = shared.state.borrow_mut();
        state
            .peer_loads
            .update(&report.name, now, report.number, loads);
    } else if shared.in_own_domain(&report.name) {
        // Load reported from other domains, by senders that do not yet know that instances are
        // many, is ignored: it is part of their own domain's sum.
        shared.apply_report(now, &report.name, report.number, loads);
        report::send_answer(shared, datagrams, &report);
        if report.held_version.is_some() {
            shared.peers.note_subscriber(&report.name, now);
            records::send_missing(shared, &report.name, watermarks);
        }
    }
    handle_watermarks(shared, &report.name, false, report.echo, watermarks);
}

fn handle_answer(shared: &Shared, answer: Answer, trailer: &Trailer) {
    let (incarnation, echo) = answer.echo;
    if incarnation != shared.incarnation {
        return;
    }
    note_sender(shared, &answer.name, answer.incarnation, answer.number);
    let has_rows = answer.changes.is_some();
    let changes = answer.changes.map(|changes| Changes {
        snapshot: changes.reset,
        rows: changes.loads.into_iter().map(load).collect(),
        version: changes.version,
    });
    let taken = view::Answer {
        changes,
        echo,
        incarnation: answer.incarnation,
        members: answer.members,
    };
    {
        let mut state = shared.state.borrow_mut();
        state.members.mark_responsive(&answer.name);
        if let Some(rank) = state.members.rank(&answer.name) {
            state.sums.views.update(&answer.name, rank, taken);
        }
    }
    shared.select_load_source(role(shared));
    if has_rows {
        shared.rows_received.notify_waiters();
    }
    let watermarks = all_watermarks(answer.watermarks, trailer);
    handle_watermarks(shared, &answer.name, true, answer.echo, watermarks);
}

fn handle_sum(shared: &Shared, sum: Sum, trailer: &Trailer) {
    note_sender(shared, &sum.name, sum.incarnation, sum.number);
    {
        let mut state = shared.state.borrow_mut();
        state.members.mark_responsive(&sum.name);
        let domain = state.members.domain(&sum.name).map(ToString::to_string);
        let (Some(domain), Some(rank)) = (domain, state.members.rank(&sum.name)) else {
            return;
        };
        if domain != shared.settings.instance.domain {
            let part = SumPart {
                covers: sum.covers,
                incarnation: sum.incarnation,
                members: sum.members,
                number: sum.number,
                rows: sum.loads.into_iter().map(load).collect(),
            };
            let now = clock::now();
            state
                .sums
                .domains
                .update(now, &domain, &sum.name, rank, &part);
        }
    }
    let watermarks = all_watermarks(sum.watermarks, trailer);
    handle_watermarks(shared, &sum.name, true, sum.echo, watermarks);
}

/// Records incarnation and number of a peer's message; drops reports of an earlier incarnation.
fn note_sender(shared: &Shared, name: &str, incarnation: u64, number: u64) {
    let mut state = shared.state.borrow_mut();
    state.record_peer_report(clock::now(), name);
    drop(state);
    if shared.peers.record_report(name, incarnation, number) {
        log::info!(fellow = name; "peer instance restarted");
        let mut state = shared.state.borrow_mut();
        state.peer_loads.forget(name);
        state.shares.sums.forget(name);
    }
}

fn handle_watermarks(
    shared: &Shared,
    name: &str,
    aggregates: bool,
    echo: (u64, u64),
    watermarks: [RawWatermark; TOPICS],
) {
    let watermarks = watermarks.map(|(age, position)| Watermark {
        age: age.map(|age| Duration::from_millis(u64::from(age))),
        position,
    });
    let now = clock::now();
    shared
        .readers
        .borrow_mut()
        .update(name, now, aggregates, watermarks);
    let (incarnation, micros) = echo;
    let echo = EchoTimestamp {
        at: Time::from_micros(micros),
        incarnation,
    };
    for (topic, watermark) in topic::ALL.into_iter().zip(watermarks) {
        let known = shared.topic(topic).position.get();
        if let Some(confirmed_at) =
            known.and_then(|position| watermark.confirms(echo, shared.incarnation, position))
        {
            follow::confirm(shared, topic, confirmed_at);
        }
    }
}
