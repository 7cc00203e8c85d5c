//! What an instance takes from the words of others.

use {
    super::{records, role, tell},
    crate::{
        clock, follow,
        message::{Answer, Batch, Message, RawWord, Report, Sum, load},
        prelude::*,
        topic,
    },
    forward::{
        aggregate::{domains::Part, members::Role, table::Changes, view},
        reader::{Mark, TOPICS, Word},
    },
    peer::datagram::DatagramSocket,
    tokio::sync::mpsc,
};

/// Hears for ever.
pub async fn run(shared: &Shared, datagrams: &DatagramSocket, mut messages: mpsc::Receiver<Bytes>) {
    while let Some(data) = messages.recv().await {
        match postcard::from_bytes::<Message>(&data) {
            Ok(Message::Answer(answer)) => hear_answer(shared, answer),
            Ok(Message::Records(data)) => match Batch::unpack(&data) {
                Ok(batch) => records::take(shared, batch),
                Err(error) => log::warn!(error:%; "records of a fellow instance cannot be read"),
            },
            Ok(Message::Report(report)) => hear_report(shared, datagrams, report),
            Ok(Message::Sum(sum)) => hear_sum(shared, sum),
            Err(error) => log::warn!(error:%; "message of a fellow instance cannot be read"),
        }
    }
}

fn hear_report(shared: &Shared, datagrams: &DatagramSocket, mut report: Report) {
    let now = clock::now();
    note(shared, &report.name, report.life, report.number);
    let loads = report.loads.drain(..).map(load).collect();
    let role = role(shared);
    if role == Role::Equal {
        let mut state = shared.state.borrow_mut();
        state.fellows.hear(&report.name, now, report.number, loads);
    } else if shared.is_near(&report.name) {
        // A report of another domain, whose sender takes instances for few yet, is counted
        // in the sum of its own domain.
        shared.take_report(now, &report.name, report.number, loads);
        tell::answer(shared, datagrams, &report);
        if report.holds.is_some() {
            shared.fellows.listens(&report.name, now);
            records::send_missing(shared, &report);
        }
    }
    hear_words(shared, &report.name, false, report.echo, report.words);
}

fn hear_answer(shared: &Shared, answer: Answer) {
    let (life, echo) = answer.echo;
    if life != shared.life {
        return;
    }
    note(shared, &answer.name, answer.life, answer.number);
    let has_rows = answer.changes.is_some();
    let changes = answer.changes.map(|changes| Changes {
        anew: changes.anew,
        rows: changes.loads.into_iter().map(load).collect(),
        version: changes.version,
    });
    let taken = view::Answer {
        changes,
        echo,
        life: answer.life,
        members: answer.members,
    };
    {
        let mut state = shared.state.borrow_mut();
        state.members.heard(&answer.name);
        if let Some(rank) = state.members.rank(&answer.name) {
            state.sums.views.hear(&answer.name, rank, taken);
        }
    }
    shared.settle(role(shared));
    if has_rows {
        shared.told.notify_waiters();
    }
    hear_words(shared, &answer.name, true, answer.echo, answer.words);
}

fn hear_sum(shared: &Shared, sum: Sum) {
    note(shared, &sum.name, sum.life, sum.number);
    {
        let mut state = shared.state.borrow_mut();
        state.members.heard(&sum.name);
        let domain = state.members.domain(&sum.name).map(ToString::to_string);
        let (Some(domain), Some(rank)) = (domain, state.members.rank(&sum.name)) else {
            return;
        };
        if domain != shared.settings.instance.domain {
            let part = Part {
                covers: sum.covers,
                life: sum.life,
                members: sum.members,
                number: sum.number,
                rows: sum.loads.into_iter().map(load).collect(),
            };
            let now = clock::now();
            state
                .sums
                .domains
                .hear(now, &domain, &sum.name, rank, &part);
        }
    }
    hear_words(shared, &sum.name, true, sum.echo, sum.words);
}

/// Notes life and number of a fellow's message; what it said in an earlier life is over.
fn note(shared: &Shared, name: &str, life: u64, number: u64) {
    if shared.fellows.note(name, life, number) {
        log::info!(fellow = name; "fellow instance has started anew");
        shared.state.borrow_mut().fellows.forget(name);
    }
}

fn hear_words(
    shared: &Shared,
    name: &str,
    aggregates: bool,
    echo: (u64, u64),
    words: [RawWord; TOPICS],
) {
    let words = words.map(|(age, position)| Word {
        age: age.map(|age| Duration::from_millis(u64::from(age))),
        position,
    });
    let now = clock::now();
    shared
        .readers
        .borrow_mut()
        .hear(name, now, aggregates, words);
    let (life, micros) = echo;
    let echo = Mark {
        at: Time::from_micros(micros),
        life,
    };
    for (topic, word) in topic::ALL.into_iter().zip(words) {
        let known = shared.topic(topic).position.get();
        if let Some(asked) = known.and_then(|position| word.proves(echo, shared.life, position)) {
            follow::prove(shared, topic, asked);
        }
    }
}
