//! Arrival and admission of requests.

use crate::active_request;
use crate::admission;
use crate::config;
use crate::effect;
use crate::ledger;
use crate::reduce::{close, dispatch};
use crate::refusal;
use crate::request;
use crate::state;
use crate::time;

/// Handles a request from a caller: admits, queues or refuses it.
pub fn arrive(state: &mut state::State, now: time::Time, request: request::Request) {
    let id = request.id;
    match accept(state, now, request) {
        Ok(active) => enqueue(state, now, active),
        Err(refusal) => {
            close::refuse(state, id, refusal);
            state.emit(effect::Effect::Ended { request: id });
        }
    }
}

/// Dispatches the requests that admission has granted and refuses those that it has dropped.
pub fn poll(state: &mut state::State, now: time::Time) {
    if state.admission.wake().is_some() {
        update_capacities(state, now);
    }
    let polled = state.admission.poll(now);
    for request in polled.granted {
        dispatch::advance(state, now, request);
    }
    for refusal in polled.refused {
        if state.active_requests.contains_key(&refusal.request) {
            close::give_up(state, now, refusal.request, refusal_of(refusal));
        }
    }
}

/// Updates the capacity of each service, so that queued requests can use slots that were freed or
/// reported since the last request.
fn update_capacities(state: &mut state::State, now: time::Time) {
    let Some(config) = &state.config else {
        return;
    };
    for service in &config.declaration.services {
        let capacity = state.fleet.capacity(now, &service.name);
        state.admission.set_capacity(now, &service.name, capacity);
    }
}

fn accept(
    state: &state::State,
    now: time::Time,
    request: request::Request,
) -> Result<active_request::ActiveRequest, refusal::Refusal> {
    if let Some(stop) = state.stop.filter(|s| s.refuse_at <= now) {
        return Err(refusal::Refusal::not_run(
            refusal::Code::Stopping,
            Some(now.min(stop.deadline)),
        ));
    }
    let Some(config) = &state.config else {
        return Err(refusal::Refusal::not_run(
            refusal::Code::NotReady,
            Some(now.after(close::DEFAULT_RETRY_DELAY)),
        ));
    };
    activate(config, now, request)
}

fn activate(
    config: &config::Config,
    now: time::Time,
    request: request::Request,
) -> Result<active_request::ActiveRequest, refusal::Refusal> {
    let route = config
        .route(&request.path)
        .ok_or(refusal::Refusal::not_run(refusal::Code::NoRoute, None))?;
    let service = config
        .service(&route.service)
        .ok_or(refusal::Refusal::not_run(refusal::Code::NoRoute, None))?;
    if !config.has_workspace(&request.workspace) {
        return Err(refusal::Refusal::not_run(refusal::Code::NoWorkspace, None));
    }
    let route_deadline = now.after(std::time::Duration::from_millis(route.timeout));
    let max_deadline = now.after(ledger::RETENTION / 2);
    let deadline = request
        .deadline
        .unwrap_or(time::Time::MAX)
        .min(route_deadline)
        .min(max_deadline);
    Ok(active_request::ActiveRequest {
        route: route.clone(),
        service: service.clone(),
        stage: active_request::Stage::Queued,
        paused: None,
        deadline,
        timer: deadline,
        tries: 0,
        version: None,
        excluded: Vec::new(),
        offset: request.offset,
        started: false,
        may_have_run: false,
        detached: false,
        claim: None,
        request,
    })
}

fn enqueue(state: &mut state::State, now: time::Time, active: active_request::ActiveRequest) {
    let id = active.request.id;
    let ticket = ticket(&active);
    let deadline = active.deadline;
    state.budget.record(now, &active.service.name);
    let capacity = state.fleet.capacity(now, &active.service.name);
    state
        .admission
        .set_capacity(now, &active.service.name, capacity);
    state.active_requests.insert(id, active);
    state.set_timer(id, deadline);
    match state.admission.offer(now, ticket) {
        admission::Decision::Admit => dispatch::advance(state, now, id),
        admission::Decision::Queue => {}
        admission::Decision::Refuse(refusal) => {
            close::give_up(state, now, id, refusal_of(refusal));
        }
    }
}

fn ticket(active: &active_request::ActiveRequest) -> admission::Ticket {
    admission::Ticket {
        request: active.request.id,
        workspace: active.request.workspace.clone(),
        service: active.service.name.clone(),
        priority: active.route.priority,
        cost: active
            .request
            .prompt
            .tokens
            .saturating_add(active.request.output),
        deadline: active.deadline,
    }
}

fn refusal_of(refusal: admission::Refusal) -> refusal::Refusal {
    let code = match refusal.reason {
        admission::Reason::Rate | admission::Reason::Concurrency => refusal::Code::Limited,
        admission::Reason::QueueFull | admission::Reason::Deadline => refusal::Code::Overloaded,
        admission::Reason::UnknownWorkspace => refusal::Code::NoWorkspace,
    };
    refusal::Refusal::not_run(code, Some(refusal.retry_at))
}
