//! Whether a request has run, for its verdict and for the usage report.

use crate::relay::state;
use crate::time;

/// Counts a request that has begun to run, once.
pub(super) fn count_run(state: &mut state::State, at: time::Time, id: u64) {
    let window = state.window(at);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.may_have_run = true;
    if std::mem::replace(&mut flight.counted, true) {
        return;
    }
    if let Some(workspace) = &flight.request.workspace {
        state.usage_counts.record(window, workspace);
    }
}

/// Records that an engine may have run a request without reporting it.
pub(super) fn mark_may_have_run(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.may_have_run = true;
    if !flight.request.route.retry_policy.is_stream() {
        count_run(state, now, id);
    }
}
