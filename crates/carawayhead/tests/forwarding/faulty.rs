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
};

/// How long each of the copies takes that an engine makes one after the other.
const COPY_TIME: Duration = Duration::from_millis(30);

/// Times that an engine is asked to stop a run within the two seconds of a stream, at intervals that double from 40 ms.
const MAX_STOPS: usize = 6;

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
