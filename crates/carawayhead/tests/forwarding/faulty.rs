//! Streams at engines that make more of their connections than they must.

use {
    crate::{
        instance::wait_until,
        silences::{MAX_OVERLAPPING_EVENTS, assert_complete, start_stream, start_streams},
        streams::{Deployment, deployment},
    },
    http::StatusCode,
    platform::standin::{
        caller::{CallerRequest, send_request},
        fault::Fault,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// How long each of the copies takes that an engine makes one after the other.
const COPY_TIME: Duration = Duration::from_millis(30);

/// The same where a copy takes half of the time for which two engines may work on a run.
const SLOW_COPY_TIME: Duration = Duration::from_millis(200);

/// Longer than the first intervals at which an engine is asked to stop a run together.
const LONG_COPY_TIME: Duration = Duration::from_millis(700);

/// Age of a stream whose copy may not have been begun.
const YOUNG_AGE: Duration = Duration::from_millis(60);

/// Times that an engine is asked to stop a run within the two seconds of a stream, at intervals that double from 40 ms.
const MAX_STOPS: usize = 6;

/// Index of the engine with the backup copy of the only run.
fn backup(deployment: &Deployment) -> usize {
    let sent = deployment.instance.log_lines_containing("\"sent\"");
    let mut engines = deployment.engines.iter();
    let backup = engines.position(|engine| {
        let copy = format!("\"copy\":\"{}\"", engine.id());
        sent.iter().any(|line| line.contains(&copy))
    });
    backup.expect("the run has a backup copy")
}

/// Index of the engine with most runs.
fn busiest(deployment: &Deployment) -> usize {
    let runs = deployment.engines.iter().enumerate();
    let runs = runs.map(|(index, engine)| (engine.executed_calls().len(), index));
    runs.max().expect("there are engines").1
}

/// Guards against a move that takes the late second copy of the answer to another move for its own, and has a stream go on
/// from the memory of another request.
#[tokio::test]
async fn stream_does_not_go_on_from_the_memory_of_another() {
    let deployment = deployment(2).await;
    let streams = start_streams(&deployment).await;
    let index = busiest(&deployment);
    let engine = &deployment.engines[index];
    deployment.shared_runs.drop_copies();
    deployment.shared_runs.set_copy_time(COPY_TIME);
    engine.refuse_first_moves();
    engine.faults().set(1.0, &[Fault::LateSecondCopy], 1);
    deployment.announce_leaving(index);
    assert_complete(streams).await;
    assert_eq!(deployment.shared_runs.foreign_copies(), 0);
}

/// Guards against an engine that works on streams which go on elsewhere: it leaves, and does not notice that their connections
/// are closed.
#[tokio::test]
async fn leaving_engine_does_not_work_on_streams_that_go_on_elsewhere() {
    let deployment = deployment(3).await;
    for engine in &deployment.engines {
        engine.ignore_disconnects();
    }
    let streams = start_streams(&deployment).await;
    deployment.announce_leaving(busiest(&deployment));
    assert_complete(streams).await;
    let overlapping = deployment.shared_runs.max_overlapping_events();
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against an engine that works on a stream beside its own: it was asked to take the stream over, does not answer, and does
/// not notice that the takeover is given up.
#[tokio::test]
async fn engine_does_not_work_on_after_its_takeover_is_given_up() {
    let deployment = deployment(2).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let (engine, other) = (&deployment.engines[index], &deployment.engines[1 - index]);
    other.set_mute(true);
    other.ignore_disconnects();
    engine.freeze();
    wait_until("the other engine runs it", || async {
        !other.executed_calls().is_empty()
    })
    .await;
    engine.thaw();
    assert_complete(vec![stream]).await;
    let overlapping = deployment.shared_runs.max_overlapping_events();
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against an engine that works on a stream which goes on elsewhere after the engine has closed its connection.
#[tokio::test]
async fn engine_does_not_work_on_after_it_has_closed_the_connection_of_a_stream() {
    let deployment = deployment(2).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let engine = &deployment.engines[index];
    engine.ignore_disconnects();
    engine.cut_connections();
    assert_complete(vec![stream]).await;
    let overlapping = deployment.shared_runs.max_overlapping_events();
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against an engine that works on a stream beside the next one, which is silent: it has closed the connection of the
/// stream, and is told to stop only when the next one is given up.
#[tokio::test]
async fn engine_that_closed_a_stream_stops_before_the_next_one_answers() {
    let deployment = deployment(3).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let (engine, next) = (
        &deployment.engines[index],
        &deployment.engines[backup(&deployment)],
    );
    next.set_mute(true);
    next.ignore_disconnects();
    engine.ignore_disconnects();
    engine.cut_connections();
    assert_complete(vec![stream]).await;
    assert_eq!(next.executed_calls().len(), 1);
    let overlapping = deployment.shared_runs.max_overlapping_events();
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against an engine that works on a stream beside the next one, which is silent: it has closed the connection of the
/// stream while the stream was moved, and is told to stop only when the move is given up.
#[tokio::test]
async fn engine_that_closed_a_stream_stops_while_the_stream_is_moved() {
    close_during_move(SLOW_COPY_TIME).await;
}

/// Guards against the same where the engine cannot stop the run for so long, as it copies it, that it is asked at long intervals.
#[tokio::test]
async fn engine_that_copies_a_closed_stream_for_long_stops_after_it() {
    close_during_move(LONG_COPY_TIME).await;
}

/// Has an engine close the connection of a stream that is moved to one that does not answer. A copy takes this time.
async fn close_during_move(copy_time: Duration) {
    let deployment = deployment(3).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let engine = &deployment.engines[index];
    let others = deployment
        .engines
        .iter()
        .filter(|other| other.id() != engine.id());
    let others = others.collect::<Vec<_>>();
    deployment.shared_runs.drop_copies();
    deployment.shared_runs.set_copy_time(copy_time);
    engine.ignore_disconnects();
    deployment.announce_leaving(index);
    wait_until("the stream is moved", || async {
        let lines = deployment.instance.log_lines_containing("takeover");
        !lines.is_empty()
    })
    .await;
    for other in &others {
        other.ignore_disconnects();
        other.set_mute(true);
    }
    engine.cut_connections();
    wait_until("the next engine runs it", || async {
        others
            .iter()
            .any(|other| !other.executed_calls().is_empty())
    })
    .await;
    let free = others
        .iter()
        .filter(|other| other.executed_calls().is_empty());
    free.for_each(|other| other.set_mute(false));
    assert_complete(vec![stream]).await;
    let overlapping = deployment.shared_runs.max_overlapping_events();
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against a stream that is moved, which takes time, while another engine that does not answer may be working on it: its
/// engine has refused to stop it.
#[tokio::test]
async fn engine_that_refuses_to_stop_is_asked_again_while_another_one_may_work() {
    let deployment = deployment(3).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let (engine, next) = (
        &deployment.engines[index],
        &deployment.engines[backup(&deployment)],
    );
    deployment.shared_runs.set_copy_time(SLOW_COPY_TIME);
    engine.ignore_disconnects();
    engine.refuse_first_stops();
    next.set_mute(true);
    next.ignore_disconnects();
    deployment.announce_leaving(index);
    wait_until("the next engine runs it", || async {
        !next.executed_calls().is_empty()
    })
    .await;
    next.ignore_calls();
    assert_complete(vec![stream]).await;
    let overlapping = deployment.shared_runs.overlapping_events_of(engine.id());
    assert!(overlapping <= MAX_OVERLAPPING_EVENTS, "{overlapping}");
}

/// Guards against a stream that begins a second time at an engine without a copy: it was so young when its engine fell silent that
/// its copy may not have been begun.
#[tokio::test]
async fn young_stream_is_not_taken_over_where_no_copy_is_known() {
    let deployment = deployment(2).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = || {
        let mut engines = deployment.engines.iter();
        engines.position(|engine| !engine.executed_calls().is_empty())
    };
    wait_until("an engine has the run", || async { index().is_some() }).await;
    let index = index().expect("an engine has the run");
    let (engine, other) = (&deployment.engines[index], &deployment.engines[1 - index]);
    sleep(YOUNG_AGE).await;
    deployment.shared_runs.drop_copies();
    engine.freeze();
    wait_until("the stream has been silent several times", || async {
        let lines = deployment.instance.log_lines_containing("stream is silent");
        lines.len() >= 3
    })
    .await;
    engine.thaw();
    assert_complete(vec![stream]).await;
    assert_eq!(other.rejected_takeovers(), 0);
}

/// Guards against an engine that is asked without a pause to stop a run which it does not stop.
#[tokio::test]
async fn engine_that_refuses_to_stop_a_run_is_asked_at_growing_intervals() {
    let deployment = deployment(2).await;
    let stream = start_stream(deployment.instance.caller_address, "r1".to_string());
    let index = deployment.wait_for_run().await;
    let engine = &deployment.engines[index];
    engine.ignore_disconnects();
    engine.refuse_moves();
    deployment.announce_leaving(index);
    assert_complete(vec![stream]).await;
    let asked = deployment.instance.log_lines_containing("\"stop requested");
    assert!((2..=MAX_STOPS).contains(&asked.len()), "{}", asked.len());
}

/// Guards against engines that accept connections and answer nothing, and are chosen again and again beside engines that answer.
#[tokio::test]
async fn engines_that_answer_nothing_are_not_chosen_again() {
    let deployment = deployment(4).await;
    let silent = &deployment.engines[..2];
    silent.iter().for_each(platform::standin::Engine::freeze);
    let mut unserved = 0;
    for number in 0..6 {
        let id = format!("r{number}");
        let mut request = CallerRequest::new(&id, "/draft/7");
        request.deadline_ms = 2500;
        let response = send_request(deployment.instance.caller_address, &request).await;
        let response = response.expect("the instance responds");
        unserved += usize::from(response.status != StatusCode::OK);
    }
    assert!(unserved <= silent.len(), "{unserved}");
}
